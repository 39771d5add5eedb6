#pragma once

#include <optional>
#include <string_view>
#include <unordered_map>

#include "policy/local_view.h"

namespace jd {

/// Baseline that draws two usable endpoints and takes the one with the lower share of busy slots in
/// its last load report; an endpoint without a report counts as idle. It never waits for a slot.
class ReportedLoad {
 public:
  static constexpr std::string_view kName = "reported_load";

  std::optional<EndpointId> Acquire(MonoTime now,
                                    const AcquireRequest& request,
                                    RandomEngine& random);
  void Release(MonoTime, const EndpointId& endpoint, const AttemptResult&) {
    view_.Remove(endpoint);
  }
  void SetService(MonoTime, const ServiceView& view) { view_.SetService(view); }
  void RemoveService(MonoTime, const ServiceId& service) { view_.RemoveService(service); }
  void SetWaiting(MonoTime, const ServiceId&, int32_t) {}
  void OnLoadReport(MonoTime, const EndpointId& endpoint, const LoadReport& report);

  int32_t in_flight(const EndpointId& endpoint) const { return view_.in_flight(endpoint); }

 private:
  LocalView view_;
  std::unordered_map<EndpointId, double> load_;
};

static_assert(RoutingPolicy<ReportedLoad>);

}  // namespace jd
