#include "policy/attempt_book.h"

#include <utility>

namespace jd {

AttemptId AttemptBook::Start(MonoTime now, const AttemptOrigin& origin) {
  const AttemptId id(next_++);
  attempts_.emplace(id, Attempt(now, origin));
  return id;
}

void AttemptBook::Cancel(AttemptId id, bool expired, CallActions* actions) {
  attempts_.at(id).Cancel(expired);
  actions->push_back(CancelAttempt{id});
}

std::optional<EndedAttempt> AttemptBook::End(MonoTime now,
                                             const AttemptResult& result,
                                             CallActions* actions) {
  const auto found = attempts_.find(result.attempt);
  if (found == attempts_.end()) {
    return std::nullopt;
  }
  EndedAttempt ended{std::move(found->second), Verdict::kMayHaveRun, result};
  attempts_.erase(found);
  ended.verdict = ended.attempt.End(result);
  Learn(now, ended.attempt, result, &ended.result, actions);
  Announce(now, actions);
  return ended;
}

void AttemptBook::Learn(MonoTime now,
                        const Attempt& attempt,
                        const AttemptResult& seen,
                        AttemptResult* told,
                        CallActions* actions) {
  const AttemptOrigin& origin = attempt.origin();
  if (seen.outcome == AttemptOutcome::kAnswered) {
    guard_.OnAnswered(origin.fingerprint);
    silent_.OnAnswered(now, origin.endpoint, seen.connection_opened, seen.latency);
    return;
  }
  if (seen.outcome == AttemptOutcome::kConnectionLost && !attempt.cancelled()) {
    if (silent_.ClosedByGateway(now, origin.endpoint, seen.connection_opened, attempt.sent())) {
      told->outcome = AttemptOutcome::kCancelled;
    } else if (seen.request_written) {
      guard_.OnConnectionLost(now, {origin.fingerprint, origin.call, origin.service,
                                    origin.endpoint, attempt.sent(), origin.idempotent});
    }
    return;
  }
  if (seen.outcome == AttemptOutcome::kCancelled && attempt.expired()) {
    told->outcome = AttemptOutcome::kTimedOut;
  }
  if (!attempt.IsSilent(seen)) {
    return;
  }
  const SilentAttempt silent{origin.endpoint, attempt.sent(), seen.connection_opened,
                             seen.new_connection};
  if (!silent_.OnSilentAttempt(now, silent, actions)) {
    told->outcome = AttemptOutcome::kCancelled;
  }
}

void AttemptBook::Announce(MonoTime now, CallActions* actions) {
  for (const Fingerprint fingerprint : guard_.TakeFound(now)) {
    actions->push_back(AnnounceCrash{fingerprint});
    Event event;
    event.kind = EventKind::kCrashFingerprint;
    event.detail = std::to_string(fingerprint.value);
    actions->push_back(RecordEvent{std::move(event)});
  }
}

}  // namespace jd
