#pragma once

#include <map>
#include <optional>
#include <string_view>

#include "policy/local_view.h"

namespace jd {

/// Baseline policy that uses the usable endpoints of a service in turn. It never waits for a slot.
class RoundRobin {
 public:
  static constexpr std::string_view kName = "round_robin";

  std::optional<EndpointId> Acquire(MonoTime now,
                                    const AcquireRequest& request,
                                    RandomEngine& random);
  void Release(MonoTime, const EndpointId& endpoint, const AttemptResult&) {
    view_.RemoveAttempt(endpoint);
  }
  void SetService(MonoTime, const ServiceView& view) { view_.SetService(view); }
  void RemoveService(MonoTime, const ServiceId& service);
  void SetQueueLength(MonoTime, const ServiceId&, int32_t) {}
  void OnLoadReport(MonoTime, const EndpointId&, const LoadReport&) {}

  int32_t in_flight(const EndpointId& endpoint) const { return view_.in_flight(endpoint); }

 private:
  LocalView view_;
  std::map<ServiceId, size_t> next_index_;
};

static_assert(RoutingPolicy<RoundRobin>);

}  // namespace jd
