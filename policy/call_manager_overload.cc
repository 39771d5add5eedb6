#include <algorithm>

#include "policy/call_manager.h"

namespace jd {
namespace {

/// A call is not sent later than this multiple of the usual service time before its target time,
/// because service times vary.
constexpr double kServiceTimeMargin = 1.25;
/// Upper limit of the retry-after time, as a share of the time that the caller has left.
constexpr double kMaxRetryAfterShare = 0.33;
/// The retry-after time is drawn at random between this share of the longest useful time and that
/// time itself, so that refused callers do not all retry at once.
constexpr double kMinRetryAfterShare = 0.3;
/// With less slack than this before the target time, a retry by the caller cannot be answered in
/// time.
constexpr Duration kMinSlack = 40ms;

}  // namespace

Duration CallManager::ExpectedWait(const Call& call) const {
  const ServiceState& state = StateOf(call);
  const auto queued = static_cast<int32_t>(state.queue.size());
  // Each attempt in progress frees a slot after about the usual service time.
  const int32_t in_progress = std::max(state.calls - queued - 1, 1);
  const double turn = state.queue.CallsAhead(call.ToQueued()) + 1;
  return Scale(UsualServiceTime(call), turn / in_progress);
}

bool CallManager::MustYield(MonoTime now, const Call& call) const {
  const RoomShortage& shortage = StateOf(call).shortage;
  // A late answer is worth less than one in time, whatever the ranks of the calls.
  return now > LatestStart(call) ? shortage.HasAny(now)
                                 : shortage.HasMoreUrgent(now, call.admission_rank());
}

MonoTime CallManager::LatestStart(const Call& call) const {
  return call.target_time - Scale(UsualServiceTime(call), kServiceTimeMargin);
}

bool CallManager::MayWaitForRoom(MonoTime now, const Call& call) const {
  const ServiceState& state = StateOf(call);
  return call.attempts == 0 && call.running.empty() && !state.usable.empty() &&
         static_cast<int64_t>(state.queue.size()) < call.limits.max_queue &&
         now + ExpectedWait(call) < LatestStart(call);
}

bool CallManager::WaitForRoom(MonoTime now, Call* call) {
  if (now <= LatestStart(*call)) {
    StateOf(*call).shortage.Record(now, call->limits.rank);
  }
  if (!MayWaitForRoom(now, *call)) {
    return false;
  }
  call->waited = true;
  call->latest_start = LatestStart(*call);
  timers_.emplace(*call->latest_start, call->request.id, TimerKind::kWait);
  InsertIntoQueue(call);
  return true;
}

void CallManager::ClearWaitTimer(Call* call) {
  if (call->latest_start) {
    timers_.erase(Timer(*call->latest_start, call->request.id, TimerKind::kWait));
    call->latest_start.reset();
  }
}

void CallManager::HandleNoProbedCapacity(MonoTime now,
                                         Call* call,
                                         RandomEngine& random,
                                         CallActions* actions) {
  if (!call->running.empty()) {
    AbandonHedge(call);
    return;
  }
  if (call->attempts > 0) {
    Refuse(call, RefusalReason::kUpstreamFailed, RetryAfterFailedAttempt(now, *call, true),
           "The attempt failed and no other endpoint has room.", actions);
    return;
  }
  if (StateOf(*call).usable.empty()) {
    Refuse(call, RefusalReason::kNoEndpoint, kRetryAfterFailure,
           "The service has no usable endpoint.", actions);
    return;
  }
  Refuse(call, RefusalReason::kOverload, RetryAfterOverload(now, *call, random),
         "No measured endpoint can finish the call in time.", actions);
}

Duration CallManager::RetryAfterOverload(MonoTime now,
                                         const Call& call,
                                         RandomEngine& random) const {
  const Duration timeout = call.request.timeout.value_or(call.deadline - call.arrival);
  const Duration longest = Scale(call.arrival + timeout - now, kMaxRetryAfterShare);
  // A caller that retries within this slack may still get its answer before the target time.
  const Duration slack = call.target_time - now - UsualServiceTime(call);
  const Duration until = slack > kMinSlack ? std::min(slack, longest) : longest;
  const double share = std::uniform_real_distribution<double>(kMinRetryAfterShare, 1.0)(random);
  return Scale(until, share);
}

}  // namespace jd
