// The part of CallBook that decides when a call is hedged: a second attempt is sent to another
// endpoint while the first one is still running.
#include <algorithm>

#include "policy/call_book.h"

namespace jd {
namespace {

/// A hedge is sent this many service times before the call's target time.
constexpr double kHedgeMargin = 1.2;

}  // namespace

void CallBook::ScheduleHedge(MonoTime now, Call* call) {
  ClearHedge(call);
  const MonoTime at = HedgeTime(now, *call);
  if (!call->limits.hedge || !call->idempotent || call->hedged || at >= call->deadline ||
      call->attempts >= call->limits.max_attempts) {
    return;
  }
  call->hedge_at = at;
  timers_.emplace(at, call->request.id, TimerKind::kHedge);
}

MonoTime CallBook::HedgeTime(MonoTime now, const Call& call) const {
  if (call.target == call.deadline) {
    return now + call.limits.hedge_after;
  }
  // The latest time at which the hedge can still be answered before the target, so that as few
  // calls as possible are hedged.
  const Duration work = WorkOf(call);
  return std::max(call.target - Scale(work, kHedgeMargin), now + work);
}

void CallBook::ClearHedge(Call* call) {
  if (call->hedge_at) {
    timers_.erase(Timer(*call->hedge_at, call->request.id, TimerKind::kHedge));
    call->hedge_at.reset();
  }
}

bool CallBook::MayHedge(MonoTime now, Call* call) {
  ServiceState& state = StateOf(*call);
  // A hedge must not take a slot that a waiting call needs, nor resend a request that crashes
  // upstreams.
  if (call->deadline <= now || !state.queue.empty() ||
      attempts_.guard().Blocks(now, call->request.fingerprint) || !state.budget.TryTake(now)) {
    return false;
  }
  call->hedged = true;
  return true;
}

void CallBook::AbandonHedge(Call* call) {
  StateOf(*call).budget.Return();
}

}  // namespace jd
