#pragma once

#include <optional>
#include <string_view>

#include "policy/local_view.h"

namespace jd {

/// Baseline policy that picks two usable endpoints at random and chooses the one with fewer
/// requests of this gateway in flight. It never waits for a slot.
class LeastRequest {
 public:
  static constexpr std::string_view kName = "least_request";

  std::optional<EndpointId> Acquire(MonoTime now,
                                    const AcquireRequest& request,
                                    RandomEngine& random);
  void Release(MonoTime, const EndpointId& endpoint, const AttemptResult&) {
    view_.RemoveAttempt(endpoint);
  }
  void SetService(MonoTime, const ServiceView& view) { view_.SetService(view); }
  void RemoveService(MonoTime, const ServiceId& service) { view_.RemoveService(service); }
  void SetQueueLength(MonoTime, const ServiceId&, int32_t) {}
  void OnLoadReport(MonoTime, const EndpointId&, const LoadReport&) {}

  int32_t in_flight(const EndpointId& endpoint) const { return view_.in_flight(endpoint); }

 private:
  LocalView view_;
};

static_assert(RoutingPolicy<LeastRequest>);

}  // namespace jd
