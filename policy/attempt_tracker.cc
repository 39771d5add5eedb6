#include "policy/attempt_tracker.h"

#include <utility>

namespace jd {

AttemptId AttemptTracker::Start(MonoTime now, const AttemptContext& context) {
  const AttemptId id(next_id_++);
  attempts_.emplace(id, Attempt(now, context));
  return id;
}

void AttemptTracker::Cancel(AttemptId id, bool expired, CallActions* actions) {
  attempts_.at(id).Cancel(expired);
  actions->push_back(CancelAttempt{id});
}

std::optional<EndedAttempt> AttemptTracker::End(MonoTime now,
                                                const AttemptResult& result,
                                                CallActions* actions) {
  const auto found = attempts_.find(result.attempt);
  if (found == attempts_.end()) {
    return std::nullopt;
  }
  EndedAttempt ended{std::move(found->second), Verdict::kMayHaveRun, result};
  attempts_.erase(found);
  ended.verdict = ended.attempt.End(result);
  UpdateDetectors(now, ended.attempt, result, &ended.result, actions);
  AnnounceCrashes(now, actions);
  return ended;
}

void AttemptTracker::UpdateDetectors(MonoTime now,
                                     const Attempt& attempt,
                                     const AttemptResult& observed,
                                     AttemptResult* reported,
                                     CallActions* actions) {
  const AttemptContext& context = attempt.context();
  if (observed.outcome == AttemptOutcome::kAnswered) {
    crash_guard_.OnAnswered(now, context.fingerprint);
    silent_connections_.OnAnswered(now, context.endpoint, observed.connection_opened,
                                   observed.latency);
    return;
  }
  if (observed.outcome == AttemptOutcome::kConnectionLost && !attempt.cancelled()) {
    if (silent_connections_.ClosedByGateway(now, context.endpoint, observed.connection_opened,
                                            attempt.sent())) {
      reported->outcome = AttemptOutcome::kCancelled;
    } else if (observed.request_written) {
      crash_guard_.OnConnectionLost(now, {context.fingerprint, context.call, context.service,
                                          context.endpoint, attempt.sent(), context.idempotent});
    }
    return;
  }
  if (observed.outcome == AttemptOutcome::kCancelled && attempt.expired()) {
    reported->outcome = AttemptOutcome::kTimedOut;
  }
  if (!attempt.IsSilent(observed)) {
    return;
  }
  const SilentAttempt silent{context.endpoint, attempt.sent(), observed.connection_opened,
                             observed.new_connection};
  if (!silent_connections_.OnSilentAttempt(now, silent, actions)) {
    reported->outcome = AttemptOutcome::kCancelled;
  }
}

void AttemptTracker::AnnounceCrashes(MonoTime now, CallActions* actions) {
  for (const Fingerprint fingerprint : crash_guard_.TakeNewlyBlocked(now)) {
    actions->push_back(AnnounceCrash{fingerprint});
    Event event;
    event.kind = EventKind::kCrashFingerprint;
    event.detail = std::to_string(fingerprint.value);
    actions->push_back(RecordEvent{std::move(event)});
  }
  CrashEvidence evidence = crash_guard_.TakeEvidence(now);
  if (!evidence.empty()) {
    actions->push_back(TellCrashEvidence{std::move(evidence)});
  }
}

}  // namespace jd
