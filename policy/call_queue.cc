#include "policy/call_queue.h"

#include <algorithm>
#include <utility>

namespace jd {
namespace {

/// Number of stored tags above which those not ahead of the virtual time are removed. The number of
/// workspaces is not bounded otherwise, because their names come from the callers.
constexpr size_t kMaxStartTags = 256;

}  // namespace

CallQueue::SubQueueKey CallQueue::KeyOf(const QueuedCall& call) {
  return {
      call.idempotent, {call.workspace_priority, call.priority}, call.workspace, call.came_back};
}

CallQueue::Order CallQueue::OrderOf(bool idempotent, const CallRank& rank) const {
  return {degraded_ && idempotent, -static_cast<int>(rank.workspace),
          -static_cast<int>(rank.profile)};
}

double CallQueue::StartTagOf(const WorkspaceId& workspace) const {
  const auto tag = start_tags_.find(workspace);
  return tag == start_tags_.end() ? virtual_time_ : std::max(tag->second, virtual_time_);
}

void CallQueue::Push(const QueuedCall& call) {
  SubQueue& sub_queue = sub_queues_[KeyOf(call)];
  // A retried call keeps its place in the order of arrival.
  const auto place = std::upper_bound(
      sub_queue.begin(), sub_queue.end(), call,
      [](const QueuedCall& a, const QueuedCall& b) { return a.sequence < b.sequence; });
  sub_queue.insert(place, call);
  WorkspaceWaiting& waiting = waiting_[call.workspace];
  ++waiting.calls;
  waiting.weight = call.weight;
  ++size_;
}

bool CallQueue::Remove(const QueuedCall& call) {
  const auto sub_queue = sub_queues_.find(KeyOf(call));
  if (sub_queue == sub_queues_.end()) {
    return false;
  }
  const auto found = std::find_if(sub_queue->second.begin(), sub_queue->second.end(),
                                  [&](const QueuedCall& queued) { return queued.id == call.id; });
  if (found == sub_queue->second.end()) {
    return false;
  }
  sub_queue->second.erase(found);
  if (sub_queue->second.empty()) {
    sub_queues_.erase(sub_queue);
  }
  const auto waiting = waiting_.find(call.workspace);
  if (--waiting->second.calls == 0) {
    waiting_.erase(waiting);
  }
  --size_;
  return true;
}

std::optional<CallId> CallQueue::Next(const std::vector<CallId>& skipped) const {
  const QueuedCall* next = nullptr;
  std::tuple<Order, double, bool, uint64_t> next_order;
  for (const auto& [key, sub_queue] : sub_queues_) {
    const auto first =
        std::find_if(sub_queue.begin(), sub_queue.end(), [&](const QueuedCall& call) {
          return std::find(skipped.begin(), skipped.end(), call.id) == skipped.end();
        });
    if (first == sub_queue.end()) {
      continue;
    }
    const auto order = std::tuple(OrderOf(key.idempotent, key.rank), StartTagOf(key.workspace),
                                  !key.came_back, first->sequence);
    if (next == nullptr || order < next_order) {
      next = &*first;
      next_order = order;
    }
  }
  return next == nullptr ? std::nullopt : std::optional(next->id);
}

void CallQueue::ChargeWorkspace(const WorkspaceId& workspace, double weight) {
  const double start = StartTagOf(workspace);
  virtual_time_ = start;
  start_tags_[workspace] = start + 1.0 / weight;
  if (start_tags_.size() > kMaxStartTags) {
    std::erase_if(start_tags_, [this](const auto& tag) { return tag.second <= virtual_time_; });
  }
}

CallId CallQueue::ChooseCallToRefuse(const QueuedCall& arriving) const {
  const auto own = waiting_.find(arriving.workspace);
  double highest_use = ((own == waiting_.end() ? 0 : own->second.calls) + 1) / arriving.weight;
  const WorkspaceId* workspace = &arriving.workspace;
  for (const auto& [id, waiting] : waiting_) {
    const double use = waiting.calls / waiting.weight;
    if (use > highest_use) {
      highest_use = use;
      workspace = &id;
    }
  }
  const bool own_workspace = *workspace == arriving.workspace;
  const QueuedCall* last = own_workspace ? &arriving : nullptr;
  const auto order = [this](const QueuedCall& call) {
    return std::tuple(OrderOf(call.idempotent, {call.workspace_priority, call.priority}),
                      !call.came_back, call.sequence);
  };
  for (const auto& [key, sub_queue] : sub_queues_) {
    if (key.workspace != *workspace) {
      continue;
    }
    for (const QueuedCall& call : sub_queue) {
      if (call.untried && (last == nullptr || order(*last) < order(call))) {
        last = &call;
      }
    }
  }
  return last == nullptr ? arriving.id : last->id;
}

double CallQueue::CallsAhead(const QueuedCall& arriving) const {
  const Order order =
      OrderOf(arriving.idempotent, {arriving.workspace_priority, arriving.priority});
  double own = 0;
  double ahead = 0;
  std::map<WorkspaceId, double> others;
  for (const auto& [key, sub_queue] : sub_queues_) {
    const Order sub_queue_order = OrderOf(key.idempotent, key.rank);
    if (sub_queue_order < order) {
      ahead += static_cast<double>(sub_queue.size());
    } else if (sub_queue_order == order) {
      (key.workspace == arriving.workspace ? own : others[key.workspace]) +=
          static_cast<double>(sub_queue.size());
    }
  }
  for (const auto& [workspace, calls] : others) {
    // While this workspace is served own + 1 times, another one is served in proportion to its
    // weight.
    ahead += std::min(calls, (own + 1) * waiting_.at(workspace).weight / arriving.weight);
  }
  return ahead + own;
}

}  // namespace jd
