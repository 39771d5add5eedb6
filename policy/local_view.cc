#include "policy/local_view.h"

#include <algorithm>
#include <cassert>

namespace jd {

std::vector<const EndpointView*> LocalView::UsableEndpoints(const AcquireRequest& request) const {
  std::vector<const EndpointView*> candidates;
  const auto service = services_.find(request.service);
  if (service == services_.end()) {
    return candidates;
  }
  candidates.reserve(service->second.endpoints.size());
  for (const EndpointView& endpoint : service->second.endpoints) {
    if (endpoint.usable && Admits(request.side, endpoint.side) &&
        std::find(request.excluded.begin(), request.excluded.end(), endpoint.id) ==
            request.excluded.end()) {
      candidates.push_back(&endpoint);
    }
  }
  return candidates;
}

void LocalView::RemoveAttempt(const EndpointId& endpoint) {
  const auto found = in_flight_.find(endpoint);
  assert(found != in_flight_.end() && found->second > 0);
  if (--found->second == 0) {
    in_flight_.erase(found);
  }
}

int32_t LocalView::in_flight(const EndpointId& endpoint) const {
  const auto found = in_flight_.find(endpoint);
  return found == in_flight_.end() ? 0 : found->second;
}

}  // namespace jd
