#include "policy/least_request.h"

namespace jd {

std::optional<EndpointId> LeastRequest::Acquire(MonoTime,
                                                const AcquireRequest& request,
                                                RandomEngine& random) {
  const EndpointView* endpoint =
      BetterOfTwo(view_.Candidates(request), random,
                  [this](const EndpointView& candidate) { return in_flight(candidate.id); });
  if (endpoint == nullptr) {
    return std::nullopt;
  }
  view_.Add(endpoint->id);
  return endpoint->id;
}

}  // namespace jd
