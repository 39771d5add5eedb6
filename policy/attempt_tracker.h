#pragma once

#include <optional>
#include <unordered_map>

#include "policy/attempt.h"
#include "policy/attempt_result.h"
#include "policy/call_action.h"
#include "policy/crash_guard.h"
#include "policy/silent_connections.h"

namespace jd {

/// An attempt that has ended but whose call has not been updated yet.
struct EndedAttempt {
  Attempt attempt;
  Verdict verdict = Verdict::kMayHaveRun;
  /// The result as reported to the routing policy. An attempt that was cancelled because its call's
  /// deadline passed counts as timed out. An attempt counts as cancelled if its connection caused
  /// the failure rather than the endpoint, or if the gateway closed that connection.
  AttemptResult result;
};

/// Keeps the attempts in flight on one gateway. From their results it detects requests that crash
/// upstreams and connections that have gone silent.
class AttemptTracker {
 public:
  /// Adds a new attempt. @return its id.
  AttemptId Start(MonoTime now, const AttemptContext& context);
  /// Cancels an attempt that is in flight.
  /// @param expired whether the call's deadline has passed.
  void Cancel(AttemptId id, bool expired, CallActions* actions);
  /// Removes an attempt that has ended and evaluates its result.
  /// @return the ended attempt, or nothing if the attempt is unknown.
  std::optional<EndedAttempt> End(MonoTime now, const AttemptResult& result, CallActions* actions);
  /// Announces the requests that were newly found to crash upstreams to the peers, and records an
  /// event for each of them. Tells the peers the losses that they must know.
  void AnnounceCrashes(MonoTime now, CallActions* actions);

  /// Discards the state of an endpoint that was removed from the configuration.
  void RemoveEndpoint(const EndpointId& endpoint) { silent_connections_.RemoveEndpoint(endpoint); }

  CrashGuard& crash_guard() { return crash_guard_; }
  const CrashGuard& crash_guard() const { return crash_guard_; }
  size_t size() const { return attempts_.size(); }

 private:
  /// Updates the crash guard and the silent connection detector with a result.
  /// @param observed the result as the event loop reported it.
  /// @param reported its outcome is corrected to what the routing policy must see.
  void UpdateDetectors(MonoTime now,
                       const Attempt& attempt,
                       const AttemptResult& observed,
                       AttemptResult* reported,
                       CallActions* actions);

  uint64_t next_id_ = 1;
  std::unordered_map<AttemptId, Attempt> attempts_;
  CrashGuard crash_guard_;
  SilentConnections silent_connections_;
};

}  // namespace jd
