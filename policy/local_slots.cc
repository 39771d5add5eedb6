#include "policy/local_slots.h"

#include <algorithm>
#include <cassert>

namespace jd {

std::optional<EndpointId> LocalSlots::Acquire(MonoTime,
                                              const AcquireRequest& request,
                                              RandomEngine& random) {
  const auto service = services_.find(request.service);
  if (service == services_.end() || service->second.endpoints.empty()) {
    return std::nullopt;
  }
  const auto& endpoints = service->second.endpoints;
  const EndpointView* best = nullptr;
  double best_cost = 0;
  // The search starts at a random endpoint, so that ties are broken evenly.
  const size_t start = random() % endpoints.size();
  for (size_t i = 0; i < endpoints.size(); ++i) {
    const EndpointView& endpoint = endpoints[(start + i) % endpoints.size()];
    const int32_t used = in_use(endpoint.id);
    if (!endpoint.usable || used >= endpoint.slots ||
        std::find(request.excluded.begin(), request.excluded.end(), endpoint.id) !=
            request.excluded.end()) {
      continue;
    }
    const double cost = static_cast<double>(used) / endpoint.slots +
                        (endpoint.zone == request.local_zone ? 0.0 : 1.0);
    if (best == nullptr || cost < best_cost) {
      best = &endpoint;
      best_cost = cost;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  ++in_use_[best->id];
  return best->id;
}

void LocalSlots::Release(MonoTime, const EndpointId& endpoint, const AttemptResult&) {
  const auto used = in_use_.find(endpoint);
  assert(used != in_use_.end() && used->second > 0);
  if (--used->second == 0) {
    in_use_.erase(used);
  }
}

void LocalSlots::SetService(MonoTime, const ServiceView& view) {
  services_[view.id] = view;
}

void LocalSlots::RemoveService(MonoTime, const ServiceId& service) {
  services_.erase(service);
}

int32_t LocalSlots::in_use(const EndpointId& endpoint) const {
  const auto used = in_use_.find(endpoint);
  return used == in_use_.end() ? 0 : used->second;
}

}  // namespace jd
