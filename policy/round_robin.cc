#include "policy/round_robin.h"

namespace jd {

std::optional<EndpointId> RoundRobin::Acquire(MonoTime,
                                              const AcquireRequest& request,
                                              RandomEngine& random) {
  const auto candidates = view_.UsableEndpoints(request);
  if (candidates.empty()) {
    return std::nullopt;
  }
  // Each gateway starts at a random endpoint; otherwise all gateways would send to the same
  // endpoint at the same time.
  const auto [next, added] = next_index_.try_emplace(request.service, 0);
  if (added) {
    next->second = random() % candidates.size();
  }
  const EndpointId endpoint = candidates[next->second++ % candidates.size()]->id;
  view_.AddAttempt(endpoint);
  return endpoint;
}

void RoundRobin::RemoveService(MonoTime, const ServiceId& service) {
  view_.RemoveService(service);
  next_index_.erase(service);
}

}  // namespace jd
