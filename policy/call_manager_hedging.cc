// The part of CallManager that decides when a call is hedged: a second attempt is sent to another
// endpoint while the first one is still running.
#include <algorithm>

#include "policy/call_manager.h"

namespace jd {
namespace {

/// A hedge is sent this many service times before the call's target time.
constexpr double kHedgeServiceTimes = 1.2;

}  // namespace

void CallManager::ScheduleHedge(MonoTime now, Call* call) {
  ClearHedgeTimer(call);
  const MonoTime at = HedgeTime(now, *call);
  if (!call->limits.hedge || !call->idempotent || call->hedged || at >= call->deadline ||
      call->attempts >= call->limits.max_attempts) {
    return;
  }
  call->hedge_at = at;
  timers_.emplace(at, call->request.id, TimerKind::kHedge);
}

MonoTime CallManager::HedgeTime(MonoTime now, const Call& call) const {
  if (call.target_time == call.deadline) {
    return now + call.limits.hedge_after;
  }
  // The latest time at which the hedge can still be answered before the target, so that as few
  // calls as possible are hedged.
  const Duration service_time = UsualServiceTime(call);
  return std::max(call.target_time - Scale(service_time, kHedgeServiceTimes), now + service_time);
}

void CallManager::ClearHedgeTimer(Call* call) {
  if (call->hedge_at) {
    timers_.erase(Timer(*call->hedge_at, call->request.id, TimerKind::kHedge));
    call->hedge_at.reset();
  }
}

bool CallManager::TryChargeHedge(MonoTime now, Call* call) {
  ServiceState& state = StateOf(*call);
  // A hedge must not take a slot that a waiting call needs, nor resend a request that crashes
  // upstreams.
  if (call->deadline <= now || !state.queue.empty() ||
      attempts_.crash_guard().Blocks(now, call->request.fingerprint) ||
      !state.budget.TryTakeToken(now)) {
    return false;
  }
  call->hedged = true;
  return true;
}

void CallManager::AbandonHedge(Call* call) {
  StateOf(*call).budget.Refund();
}

}  // namespace jd
