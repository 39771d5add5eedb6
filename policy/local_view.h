#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "policy/routing_policy.h"

namespace jd {

/// Endpoints and in-flight counts as one gateway sees them without the other gateways; shared by
/// the baseline policies.
class LocalView {
 public:
  void SetService(const ServiceView& view) { services_[view.id] = view; }
  void RemoveService(const ServiceId& service) { services_.erase(service); }

  /// Returns the usable endpoints that the request does not exclude, in configuration order.
  /// Pointers are valid until the next SetService or RemoveService.
  std::vector<const EndpointView*> Candidates(const AcquireRequest& request) const;
  /// Counts one more attempt at the endpoint.
  void Add(const EndpointId& endpoint) { ++in_flight_[endpoint]; }
  /// Counts one attempt less. The endpoint may have left the configuration meanwhile.
  void Remove(const EndpointId& endpoint);
  int32_t in_flight(const EndpointId& endpoint) const;

 private:
  std::map<ServiceId, ServiceView> services_;
  std::unordered_map<EndpointId, int32_t> in_flight_;
};

/// Draws two different candidates and returns the one with the lower cost, the first on a tie.
/// @return null if there is no candidate.
template <typename Cost>
const EndpointView* BetterOfTwo(const std::vector<const EndpointView*>& candidates,
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
