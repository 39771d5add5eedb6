#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "common/configuration.h"
#include "common/ids.h"

namespace jd {

/// A call as its service's queue sees it.
struct QueuedCall {
  CallId id;
  WorkspaceId workspace;
  double weight = 1.0;  ///< The workspace's share of the service.
  Priority priority = Priority::kNormal;
  bool idempotent = false;
  bool untried = true;    ///< No attempt was made, so it may be refused as not run.
  uint64_t sequence = 0;  ///< Order of arrival at the gateway.
};

/// The waiting calls of one service, ordered by priority, then workspace share, then arrival. While
/// the service is degraded, idempotent calls come after all others.
///
/// Shares follow start-time fair queueing: each send moves a workspace's tag ahead by 1 / weight,
/// and the workspace with the lowest tag is next. A workspace that sent nothing starts at the
/// present virtual time, so that it cannot save up an advantage.
class CallQueue {
 public:
  void Push(const QueuedCall& call);
  /// @return whether the call was in the queue.
  bool Remove(const QueuedCall& call);
  /// Returns the next call that is not skipped, or nothing.
  std::optional<CallId> Next(const std::vector<CallId>& skipped) const;
  /// Counts a send against the workspace's share.
  void Charge(const WorkspaceId& workspace, double weight);

  /// Chooses the call to refuse in order to admit a new one: of the workspace furthest above its
  /// share, the untried call that would be served last. @return `arriving.id` if that is the new
  /// call.
  CallId ChooseRefused(const QueuedCall& arriving) const;
  /// Returns about how many queued calls will be served before a new one of this workspace.
  double CallsAhead(const QueuedCall& arriving) const;

  void SetDegraded(bool degraded) { degraded_ = degraded; }
  bool degraded() const { return degraded_; }
  size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

 private:
  struct LaneKey {
    bool idempotent = false;
    Priority priority = Priority::kNormal;
    WorkspaceId workspace;
    auto operator<=>(const LaneKey&) const = default;
  };
  using Lane = std::deque<QueuedCall>;
  struct Waiting {
    int32_t calls = 0;
    double weight = 1.0;
  };

  static LaneKey KeyOf(const QueuedCall& call);
  /// Sorts by class of service: lower is served first.
  std::pair<bool, int> RankOf(bool idempotent, Priority priority) const;
  double TagOf(const WorkspaceId& workspace) const;

  std::map<LaneKey, Lane> lanes_;  ///< None is empty.
  std::map<WorkspaceId, Waiting> waiting_;
  std::map<WorkspaceId, double> tags_;  ///< Only those ahead of virtual_time_ matter.
  double virtual_time_ = 0;
  size_t size_ = 0;
  bool degraded_ = false;
};

}  // namespace jd
