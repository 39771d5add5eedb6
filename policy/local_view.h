#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "policy/routing_policy.h"

namespace jd {

/// The endpoints of each service and the number of attempts that this gateway has in flight at each
/// endpoint, without knowledge of other gateways. Used by the baseline policies.
class LocalView {
 public:
  void SetService(const ServiceView& view) { services_[view.id] = view; }
  void RemoveService(const ServiceId& service) { services_.erase(service); }

  /// Returns the usable endpoints that the request does not exclude, in configuration order. The
  /// pointers are valid until the next SetService or RemoveService.
  std::vector<const EndpointView*> UsableEndpoints(const AcquireRequest& request) const;
  /// Increments the number of attempts in flight at the endpoint.
  void AddAttempt(const EndpointId& endpoint) { ++in_flight_[endpoint]; }
  /// Decrements the number of attempts in flight at the endpoint, which may have left the
  /// configuration.
  void RemoveAttempt(const EndpointId& endpoint);
  /// Returns the number of attempts in flight at the endpoint.
  int32_t in_flight(const EndpointId& endpoint) const;

 private:
  std::map<ServiceId, ServiceView> services_;
  std::unordered_map<EndpointId, int32_t> in_flight_;
};

/// Picks two different candidates at random and returns the one with the lower cost ("power of two
/// choices"), or the first one picked if the costs are equal.
/// @return null if there are no candidates.
template <typename Cost>
const EndpointView* PickLowerCostOfTwo(const std::vector<const EndpointView*>& candidates,
                                       RandomEngine& random,
                                       Cost cost) {
  if (candidates.empty()) {
    return nullptr;
  }
  const size_t first = random() % candidates.size();
  if (candidates.size() == 1) {
    return candidates[first];
  }
  const size_t second = (first + 1 + random() % (candidates.size() - 1)) % candidates.size();
  return cost(*candidates[second]) < cost(*candidates[first]) ? candidates[second]
                                                              : candidates[first];
}

}  // namespace jd
