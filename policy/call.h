#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "common/configuration.h"
#include "common/units.h"
#include "common/verdict.h"
#include "policy/call_queue.h"
#include "policy/call_rank.h"
#include "policy/call_request.h"
#include "policy/version_side.h"

namespace jd {

/// The settings of a profile that limit a call. They are copied when the call arrives, so that a
/// configuration change never affects a call in progress.
struct CallLimits {
  int32_t max_attempts = 1;
  bool hedge = false;
  Duration hedge_after{0};
  double retry_budget = 0;
  int32_t max_queue = 0;
  CallRank rank = {};
};

/// A call in progress: its request, its limits and the state of its attempts.
struct Call {
  static constexpr uint64_t kPromotionInterval = 6;

  CallRequest request;
  CallLimits limits;
  MonoTime arrival;
  MonoTime deadline;
  /// An answer after this time is worth little to the caller; at most the deadline.
  MonoTime target_time;
  bool side_drawn = false;               ///< `side` was set.
  VersionSide side = VersionSide::kAny;  ///< Side of the service's roll-out for the first attempt.
  int probe_stage = 0;  ///< Next stage of probing: 0 is the local zone, 1 the others.
  double weight = 1.0;  ///< The workspace's share of the service.
  bool idempotent = false;
  uint64_t sequence = 0;  ///< Arrival number; rises with each call of the gateway.
  int32_t attempts = 0;   ///< Number of attempts sent.
  bool hedged = false;
  bool queued = false;
  bool waited = false;          ///< The call has found no room and waited for it.
  bool permit_refused = false;  ///< An endpoint with a limit had no permit for the call.
  bool came_back = false;       ///< The caller has been refused before.
  /// While the call waits for a free slot: the latest time at which it can be sent and still be
  /// answered by its target time.
  std::optional<MonoTime> latest_start;
  /// The table that the workspace was found in; null if callers are not identified by keys.
  std::shared_ptr<const WorkspaceTable> workspace_table;
  Verdict verdict = Verdict::kNotRun;  ///< Combined verdict of the ended attempts.
  std::vector<EndpointId> tried;       ///< Endpoints that attempts were sent to.
  std::vector<AttemptId> running;      ///< Attempts without a result yet.
  std::optional<MonoTime> hedge_at;    ///< When the hedge timer is due.
  /// An attempt that the upstream answered with a server error. The error is relayed to the caller
  /// if no other attempt gets an answer.
  std::optional<AttemptId> error_answer;

  /// Returns the verdict that the call would have if it ended now: a request whose attempt is still
  /// running may have run.
  Verdict verdict_if_ended_now() const {
    return running.empty() ? verdict : CombineVerdicts(verdict, Verdict::kMayHaveRun);
  }
  /// Returns the rank by which the call is admitted when there is too little room. One of
  /// kPromotionInterval calls has the highest rank, so that no rank is shut out by more urgent
  /// ones.
  CallRank admission_rank() const {
    return sequence % kPromotionInterval == 0 ? CallRank{Priority::kHigh, Priority::kHigh}
                                              : limits.rank;
  }
  QueuedCall ToQueued() const {
    const CallRank rank = waited ? admission_rank() : limits.rank;
    QueuedCall queued{request.id, request.workspace, weight,  rank.profile,
                      idempotent, attempts == 0,     sequence};
    queued.workspace_priority = rank.workspace;
    queued.came_back = came_back && waited;
    return queued;
  }
};

/// Creates a call with the limits of a profile.
/// @param caller_wait how long the caller has already waited, in earlier calls that were refused.
/// @param sequence arrival number, which rises with each call of the gateway.
Call MakeCall(MonoTime now,
              const CallRequest& request,
              const Service& service,
              const Profile& profile,
              const Configuration& configuration,
              Duration caller_wait,
              uint64_t sequence);

}  // namespace jd
