#pragma once

#include <optional>
#include <vector>

#include "common/configuration.h"
#include "common/units.h"
#include "common/verdict.h"
#include "policy/call_queue.h"
#include "policy/call_request.h"

namespace jd {

/// The parts of a profile that bind a call, copied at its arrival so that a change of the
/// configuration never alters a call under way.
struct CallLimits {
  int32_t max_attempts = 1;
  bool hedge = false;
  Duration hedge_after{0};
  double retry_budget = 0;
  int32_t max_queue = 0;
  Priority priority = Priority::kNormal;
};

/// A call between its arrival and its end.
struct Call {
  CallRequest request;
  CallLimits limits;
  MonoTime arrival;
  MonoTime deadline;
  /// An answer after this time is worth little to the caller; at most the deadline.
  MonoTime target;
  int stage = 0;        ///< Of measuring, see ProbingPolicy.
  double weight = 1.0;  ///< Share of the caller's workspace.
  bool idempotent = false;
  uint64_t sequence = 0;  ///< Order of arrival.
  int32_t attempts = 0;
  bool hedged = false;
  bool queued = false;
  Verdict verdict = Verdict::kNotRun;  ///< Over the attempts that ended.
  std::vector<EndpointId> tried;
  std::vector<AttemptId> running;
  std::optional<MonoTime> hedge_at;
  /// An attempt whose answer, an error of the upstream, is relayed if no other attempt gives one.
  std::optional<AttemptId> error_answer;

  /// Returns the verdict if the call ended now: a running attempt may have run.
  Verdict present_verdict() const {
    return running.empty() ? verdict : Combine(verdict, Verdict::kMayHaveRun);
  }
  QueuedCall ToQueued() const {
    return {request.id, request.workspace, weight,  limits.priority,
            idempotent, attempts == 0,     sequence};
  }
};

/// Makes a call under a profile.
/// @param age how long the caller has waited before this call, in calls that were refused.
/// @param sequence rises with each call of the gateway.
Call MakeCall(MonoTime now,
              const CallRequest& request,
              const Service& service,
              const Profile& profile,
              const Configuration& configuration,
              Duration age,
              uint64_t sequence);

}  // namespace jd
