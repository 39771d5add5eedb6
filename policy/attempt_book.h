#pragma once

#include <optional>
#include <unordered_map>

#include "policy/attempt.h"
#include "policy/attempt_result.h"
#include "policy/call_action.h"
#include "policy/crash_guard.h"
#include "policy/silent_connections.h"

namespace jd {

/// An attempt that has ended, with the call still to be told.
struct EndedAttempt {
  Attempt attempt;
  Verdict verdict = Verdict::kMayHaveRun;
  /// The result as the routing policy is to see it: an attempt that ran out of time counts as timed
  /// out, also if the gateway cancelled it. It counts as cancelled if only its connection is to
  /// blame, or if the gateway closed that connection.
  AttemptResult result;
};

/// The attempts in flight of one gateway and what their ends tell about requests and connections.
class AttemptBook {
 public:
  AttemptId Start(MonoTime now, const AttemptOrigin& origin);
  /// Cancels an attempt that is in flight. @param expired the call's deadline passed.
  void Cancel(AttemptId id, bool expired, CallActions* actions);
  /// Takes in a result. @return nothing if the attempt is unknown.
  std::optional<EndedAttempt> End(MonoTime now, const AttemptResult& result, CallActions* actions);
  /// Announces the requests found to crash upstreams.
  void Announce(MonoTime now, CallActions* actions);

  /// Forgets an endpoint that has left the configuration.
  void RemoveEndpoint(const EndpointId& endpoint) { silent_.RemoveEndpoint(endpoint); }

  CrashGuard& guard() { return guard_; }
  const CrashGuard& guard() const { return guard_; }
  size_t size() const { return attempts_.size(); }

 private:
  void Learn(MonoTime now,
             const Attempt& attempt,
             const AttemptResult& seen,
             AttemptResult* told,
             CallActions* actions);

  uint64_t next_ = 1;
  std::unordered_map<AttemptId, Attempt> attempts_;
  CrashGuard guard_;
  SilentConnections silent_;
};

}  // namespace jd
