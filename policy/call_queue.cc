#include "policy/call_queue.h"

#include <algorithm>
#include <utility>

namespace jd {
namespace {

/// Number of stored tags above which those not ahead of the virtual time are removed. The number of
/// workspaces is not bounded otherwise, because their names come from the callers.
constexpr size_t kMaxTags = 256;

}  // namespace

CallQueue::LaneKey CallQueue::KeyOf(const QueuedCall& call) {
  return {call.idempotent, call.priority, call.workspace};
}

std::pair<bool, int> CallQueue::RankOf(bool idempotent, Priority priority) const {
  return {degraded_ && idempotent, -static_cast<int>(priority)};
}

double CallQueue::TagOf(const WorkspaceId& workspace) const {
  const auto tag = tags_.find(workspace);
  return tag == tags_.end() ? virtual_time_ : std::max(tag->second, virtual_time_);
}

void CallQueue::Push(const QueuedCall& call) {
  Lane& lane = lanes_[KeyOf(call)];
  // A retried call keeps its place in the order of arrival.
  const auto place = std::upper_bound(
      lane.begin(), lane.end(), call,
      [](const QueuedCall& a, const QueuedCall& b) { return a.sequence < b.sequence; });
  lane.insert(place, call);
  Waiting& waiting = waiting_[call.workspace];
  ++waiting.calls;
  waiting.weight = call.weight;
  ++size_;
}

bool CallQueue::Remove(const QueuedCall& call) {
  const auto lane = lanes_.find(KeyOf(call));
  if (lane == lanes_.end()) {
    return false;
  }
  const auto found = std::find_if(lane->second.begin(), lane->second.end(),
                                  [&](const QueuedCall& queued) { return queued.id == call.id; });
  if (found == lane->second.end()) {
    return false;
  }
  lane->second.erase(found);
  if (lane->second.empty()) {
    lanes_.erase(lane);
  }
  const auto waiting = waiting_.find(call.workspace);
  if (--waiting->second.calls == 0) {
    waiting_.erase(waiting);
  }
  --size_;
  return true;
}

std::optional<CallId> CallQueue::Next(const std::vector<CallId>& skipped) const {
  const QueuedCall* best = nullptr;
  std::tuple<std::pair<bool, int>, double, uint64_t> best_order;
  for (const auto& [key, lane] : lanes_) {
    const auto first = std::find_if(lane.begin(), lane.end(), [&](const QueuedCall& call) {
      return std::find(skipped.begin(), skipped.end(), call.id) == skipped.end();
    });
    if (first == lane.end()) {
      continue;
    }
    const auto order =
        std::tuple(RankOf(key.idempotent, key.priority), TagOf(key.workspace), first->sequence);
    if (best == nullptr || order < best_order) {
      best = &*first;
      best_order = order;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->id);
}

void CallQueue::Charge(const WorkspaceId& workspace, double weight) {
  const double start = TagOf(workspace);
  virtual_time_ = start;
  tags_[workspace] = start + 1.0 / weight;
  if (tags_.size() > kMaxTags) {
    std::erase_if(tags_, [this](const auto& tag) { return tag.second <= virtual_time_; });
  }
}

CallId CallQueue::ChooseRefused(const QueuedCall& arriving) const {
  const auto own = waiting_.find(arriving.workspace);
  double furthest = ((own == waiting_.end() ? 0 : own->second.calls) + 1) / arriving.weight;
  const WorkspaceId* workspace = &arriving.workspace;
  for (const auto& [id, waiting] : waiting_) {
    const double use = waiting.calls / waiting.weight;
    if (use > furthest) {
      furthest = use;
      workspace = &id;
    }
  }
  const bool own_workspace = *workspace == arriving.workspace;
  const QueuedCall* last = own_workspace ? &arriving : nullptr;
  const auto order = [this](const QueuedCall& call) {
    return std::pair(RankOf(call.idempotent, call.priority), call.sequence);
  };
  for (const auto& [key, lane] : lanes_) {
    if (key.workspace != *workspace) {
      continue;
    }
    for (const QueuedCall& call : lane) {
      if (call.untried && (last == nullptr || order(*last) < order(call))) {
        last = &call;
      }
    }
  }
  return last == nullptr ? arriving.id : last->id;
}

double CallQueue::CallsAhead(const QueuedCall& arriving) const {
  const auto rank = RankOf(arriving.idempotent, arriving.priority);
  double own = 0;
  double ahead = 0;
  std::map<WorkspaceId, double> others;
  for (const auto& [key, lane] : lanes_) {
    const auto lane_rank = RankOf(key.idempotent, key.priority);
    if (lane_rank < rank) {
      ahead += static_cast<double>(lane.size());
    } else if (lane_rank == rank) {
      (key.workspace == arriving.workspace ? own : others[key.workspace]) +=
          static_cast<double>(lane.size());
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
