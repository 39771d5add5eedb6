#pragma once

#include <optional>
#include <string_view>
#include <unordered_map>

#include "policy/local_view.h"

namespace jd {

/// Baseline policy that picks two usable endpoints at random and chooses the one with the lower
/// share of busy slots in its latest load report. An endpoint without a report counts as idle. The
/// policy never waits for a slot.
class ReportedLoad {
 public:
  static constexpr std::string_view kName = "reported_load";

  std::optional<EndpointId> Acquire(MonoTime now,
                                    const AcquireRequest& request,
                                    RandomEngine& random);
  void Release(MonoTime, const EndpointId& endpoint, const AttemptResult&) {
    view_.RemoveAttempt(endpoint);
  }
  void SetService(MonoTime, const ServiceView& view) { view_.SetService(view); }
  void RemoveService(MonoTime, const ServiceId& service) { view_.RemoveService(service); }
  void SetQueueLength(MonoTime, const ServiceId&, int32_t) {}
  void OnLoadReport(MonoTime, const EndpointId& endpoint, const LoadReport& report);

  int32_t in_flight(const EndpointId& endpoint) const { return view_.in_flight(endpoint); }

 private:
  LocalView view_;
  /// Share of busy slots in the latest report.
  std::unordered_map<EndpointId, double> busy_share_;
};

static_assert(RoutingPolicy<ReportedLoad>);

}  // namespace jd
