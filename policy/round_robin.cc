#include "policy/round_robin.h"

namespace jd {

std::optional<EndpointId> RoundRobin::Acquire(MonoTime,
                                              const AcquireRequest& request,
                                              RandomEngine& random) {
  const auto candidates = view_.Candidates(request);
  if (candidates.empty()) {
    return std::nullopt;
  }
  // Gateways start at different endpoints; otherwise all would send to the same one in step.
  const auto [next, added] = next_.try_emplace(request.service, 0);
  if (added) {
    next->second = random() % candidates.size();
  }
  const EndpointId endpoint = candidates[next->second++ % candidates.size()]->id;
  view_.Add(endpoint);
  return endpoint;
}

void RoundRobin::RemoveService(MonoTime, const ServiceId& service) {
  view_.RemoveService(service);
  next_.erase(service);
}

}  // namespace jd
