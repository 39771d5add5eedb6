#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "policy/routing_policy.h"

namespace jd {

/// Policy for a single gateway, which knows the use of all slots exactly. It chooses the endpoint
/// with the lowest share of busy slots, prefers the local zone, and never uses more slots than an
/// endpoint has. The benchmarks use it with one gateway as the theoretical best case, named
/// `pooled`.
class LocalSlots {
 public:
  static constexpr std::string_view kName = "pooled";

  std::optional<EndpointId> Acquire(MonoTime now,
                                    const AcquireRequest& request,
                                    RandomEngine& random);
  void Release(MonoTime now, const EndpointId& endpoint, const AttemptResult& result);
  void SetService(MonoTime now, const ServiceView& view);
  void RemoveService(MonoTime now, const ServiceId& service);
  void SetQueueLength(MonoTime, const ServiceId&, int32_t) {}
  void OnLoadReport(MonoTime, const EndpointId&, const LoadReport&) {}

  /// Returns the number of slots in use at an endpoint.
  int32_t in_use(const EndpointId& endpoint) const;

 private:
  std::map<ServiceId, ServiceView> services_;
  std::unordered_map<EndpointId, int32_t> in_use_;
};

static_assert(RoutingPolicy<LocalSlots>);

}  // namespace jd
