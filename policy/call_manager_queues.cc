// The part of CallManager that reports the state of the queues.
#include <utility>

#include "policy/call_manager.h"

namespace jd {

bool CallManager::HasWaitingCalls(const ServiceId& service) const {
  const auto state = services_.find(service);
  return state != services_.end() && !state->second.queue.empty();
}

std::vector<ServiceId> CallManager::ServicesWithWaitingCalls() const {
  std::vector<ServiceId> waiting;
  for (const auto& [id, state] : services_) {
    if (!state.queue.empty()) {
      waiting.push_back(id);
    }
  }
  return waiting;
}

std::vector<std::pair<ServiceId, int32_t>> CallManager::TakeQueueLengthChanges() {
  std::vector<std::pair<ServiceId, int32_t>> changes;
  for (const ServiceId& id : services_with_changed_queue_) {
    ServiceState& state = services_.at(id);
    const auto waiting = static_cast<int32_t>(state.queue.size());
    if (waiting != std::exchange(state.reported_queue_length, waiting)) {
      changes.emplace_back(id, waiting);
    }
  }
  services_with_changed_queue_.clear();
  return changes;
}

}  // namespace jd
