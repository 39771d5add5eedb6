#include "policy/least_request.h"

namespace jd {

std::optional<EndpointId> LeastRequest::Acquire(MonoTime,
                                                const AcquireRequest& request,
                                                RandomEngine& random) {
  const EndpointView* endpoint =
      PickLowerCostOfTwo(view_.UsableEndpoints(request), random,
                         [this](const EndpointView& candidate) { return in_flight(candidate.id); });
  if (endpoint == nullptr) {
    return std::nullopt;
  }
  view_.AddAttempt(endpoint->id);
  return endpoint->id;
}

}  // namespace jd
