#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "common/configuration.h"
#include "common/ids.h"
#include "policy/call_rank.h"

namespace jd {

/// The parts of a call that its service's queue needs.
struct QueuedCall {
  CallId id;
  WorkspaceId workspace;
  double weight = 1.0;  ///< The workspace's share of the service.
  Priority priority = Priority::kNormal;
  bool idempotent = false;
  bool untried = true;    ///< No attempt was sent, so the call can be refused as not run.
  uint64_t sequence = 0;  ///< Order of arrival at the gateway.
  Priority workspace_priority = Priority::kNormal;  ///< Goes before `priority`.
  bool came_back = false;  ///< Served before the workspace's calls that were not refused before.
};

/// The waiting calls of one service, ordered by priority, then by workspace share, then by arrival.
/// While the service is degraded, idempotent calls come after all others.
///
/// Shares are enforced by start-time fair queueing: each call that is sent advances the start tag
/// of its workspace by 1 / weight, and the workspace with the lowest start tag is served next. A
/// workspace that has sent nothing starts at the current virtual time, so that an idle workspace
/// cannot accumulate an advantage.
class CallQueue {
 public:
  void Push(const QueuedCall& call);
  /// @return whether the call was in the queue.
  bool Remove(const QueuedCall& call);
  /// Returns the next call that is not among `skipped`, or nothing.
  std::optional<CallId> Next(const std::vector<CallId>& skipped) const;
  /// Counts a call that is sent against the workspace's share.
  void ChargeWorkspace(const WorkspaceId& workspace, double weight);

  /// Chooses the call to refuse when a call arrives at a full queue: among the calls of the
  /// workspace furthest above its share, the untried call that would be served last.
  /// @return `arriving.id` if the arriving call itself is to be refused.
  CallId ChooseCallToRefuse(const QueuedCall& arriving) const;
  /// Returns an estimate of how many queued calls will be served before an arriving call.
  double CallsAhead(const QueuedCall& arriving) const;

  void SetDegraded(bool degraded) { degraded_ = degraded; }
  bool degraded() const { return degraded_; }
  size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

 private:
  struct SubQueueKey {
    bool idempotent = false;
    CallRank rank;
    WorkspaceId workspace;
    bool came_back = false;
    auto operator<=>(const SubQueueKey&) const = default;
  };
  /// Calls of the same key in order of arrival.
  using SubQueue = std::deque<QueuedCall>;
  /// Number of waiting calls of a workspace and its latest weight.
  struct WorkspaceWaiting {
    int32_t calls = 0;
    double weight = 1.0;
  };

  static SubQueueKey KeyOf(const QueuedCall& call);
  /// The order of service by degradation and rank; the lowest is served first.
  using Order = std::tuple<bool, int, int>;
  Order OrderOf(bool idempotent, const CallRank& rank) const;
  /// Returns the start tag of a workspace: at least the virtual time.
  double StartTagOf(const WorkspaceId& workspace) const;

  std::map<SubQueueKey, SubQueue> sub_queues_;  ///< Contains no empty entries.
  std::map<WorkspaceId, WorkspaceWaiting> waiting_;
  std::map<WorkspaceId, double> start_tags_;  ///< A tag behind virtual_time_ has no effect.
  double virtual_time_ = 0;
  size_t size_ = 0;
  bool degraded_ = false;
};

}  // namespace jd
