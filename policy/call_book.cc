#include "policy/call_book.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>

#include "common/route_table.h"

namespace jd {
namespace {

/// Callers of a service without a usable endpoint, or whose attempts failed, may try again then.
constexpr Duration kRetryAfterFailure = 1s;
/// Before an upstream has answered, a call is taken to need this share of its target latency.
constexpr double kAssumedWorkShare = 0.35;
/// Callers wait no longer than this share of the time they have left before they return.
constexpr double kMaxReturnShare = 0.33;
/// The time of a return is drawn from this share of the longest useful one upwards, so that refused
/// callers do not return together.
constexpr double kMinReturnShare = 0.3;
/// With less time than this to spare, a caller that returns cannot be answered in time.
constexpr Duration kMinSpare = 40ms;
constexpr int kFirstServerError = 500;
/// An upstream with room that refused a call may take it a moment later.
constexpr Duration kReturnAfterRefusal = 10ms;

uint64_t HashOf(const RequestId& request) {
  return XXH3_64bits(request.value.data(), request.value.size());
}

void Record(EventKind kind,
            const RequestId& request,
            const EndpointId& endpoint,
            std::string detail,
            CallActions* actions) {
  Event event;
  event.kind = kind;
  event.request = request;
  event.endpoint = endpoint;
  event.detail = std::move(detail);
  actions->push_back(RecordEvent{std::move(event)});
}

std::string RefusalDetail(RefusalReason reason, Verdict verdict, Duration retry_after) {
  return "reason=" + std::string(RefusalReasonName(reason)) +
         " verdict=" + std::string(VerdictName(verdict)) +
         " retry_after_us=" + std::to_string(retry_after.count());
}

}  // namespace

Call* CallBook::Admit(MonoTime now, const CallRequest& request, CallActions* actions) {
  if (stopping_) {
    RefuseNew(request, RefusalReason::kShuttingDown, kRetryAfterFailure, "The gateway is stopping.",
              actions);
    return nullptr;
  }
  if (configuration_ == nullptr) {
    RefuseNew(request, RefusalReason::kNotReady, kRetryAfterFailure,
              "The gateway has no configuration yet.", actions);
    return nullptr;
  }
  CallRequest resolved = request;
  const Profile* profile = FindProfile(&resolved, actions);
  if (profile == nullptr) {
    return nullptr;
  }
  const Duration age =
      request.timeout ? history_.AgeOf(resolved.profile, *request.timeout) : Duration(0);
  const auto [entry, added] = calls_.emplace(
      request.id, MakeCall(now, resolved, configuration_->services.at(resolved.service), *profile,
                           *configuration_, age, next_sequence_++));
  assert(added);
  Call* call = &entry->second;
  ServiceState& state = StateOf(*call);
  ++state.calls;
  timers_.emplace(call->deadline, request.id, TimerKind::kDeadline);
  Record(EventKind::kCallStarted, request.request, {},
         "service=" + resolved.service.value + " profile=" + resolved.profile.value +
             " version=" + std::to_string(configuration_->version.value) +
             " deadline_us=" + std::to_string((call->deadline - now).count()) +
             " age_us=" + std::to_string(age.count()),
         actions);
  if (!MaySend(now, call, actions)) {
    return nullptr;
  }
  state.budget.OnCall(now, call->limits.retry_budget);
  return call;
}

const Profile* CallBook::FindProfile(CallRequest* request, CallActions* actions) {
  if (configuration_->routes != nullptr) {
    const Route* route = configuration_->routes->Find(request->host, request->path);
    if (route == nullptr) {
      RefuseNew(*request, RefusalReason::kUnknownRoute, Duration(0), "No route matches.", actions);
      return nullptr;
    }
    request->service = ChooseTarget(*route, HashOf(request->request));
    request->profile = route->profile.id;
    if (configuration_->services.contains(request->service)) {
      return &route->profile;
    }
  } else {
    const auto service = configuration_->services.find(request->service);
    if (service != configuration_->services.end()) {
      request->profile = service->second.profile;
      const auto profile = configuration_->profiles.find(request->profile);
      if (profile != configuration_->profiles.end()) {
        return &profile->second;
      }
    }
  }
  RefuseNew(*request, RefusalReason::kUnknownService, Duration(0), "No such service.", actions);
  return nullptr;
}

Duration CallBook::WorkOf(const Call& call) const {
  const std::optional<Duration> work = history_.WorkOf(call.request.profile);
  return work.value_or(Scale(call.target - call.arrival, kAssumedWorkShare));
}

void CallBook::BeginMeasuring(MonoTime now, Call* call) {
  if (call->queued) {
    StateOf(*call).load.OnDequeued(now);
    Dequeue(call);
  }
}

void CallBook::GiveUpMeasuring(MonoTime now,
                               Call* call,
                               RandomEngine& random,
                               CallActions* actions) {
  if (!call->running.empty()) {
    AbandonHedge(call);
    return;
  }
  if (call->attempts > 0) {
    Refuse(call, RefusalReason::kUpstreamFailed, kReturnAfterRefusal,
           "The attempt failed and no other endpoint has room.", actions);
    return;
  }
  if (StateOf(*call).usable.empty()) {
    Refuse(call, RefusalReason::kNoEndpoint, kRetryAfterFailure,
           "The service has no usable endpoint.", actions);
    return;
  }
  Refuse(call, RefusalReason::kOverload, ReturnAfter(now, *call, random),
         "No measured endpoint can finish the call in time.", actions);
}

Duration CallBook::ReturnAfter(MonoTime now, const Call& call, RandomEngine& random) const {
  const Duration patience = call.request.timeout.value_or(call.deadline - call.arrival);
  const Duration longest = Scale(call.arrival + patience - now, kMaxReturnShare);
  // A caller that comes back soon enough may still get its answer in time.
  const Duration spare = call.target - now - WorkOf(call);
  const Duration until = spare > kMinSpare ? std::min(spare, longest) : longest;
  const double share = std::uniform_real_distribution<double>(kMinReturnShare, 1.0)(random);
  return Scale(until, share);
}

void CallBook::Enqueue(MonoTime now, Call* call, CallActions* actions) {
  ServiceState& state = StateOf(*call);
  const QueuedCall queued = call->ToQueued();
  const auto wait = state.load.EstimateWait(now, state.queue.CallsAhead(queued) + 1);
  if (wait && *wait > call->deadline - now) {
    Refuse(call, RefusalReason::kOverload, state.RetryAfter(now),
           "The queue cannot be served before the deadline.", actions);
    return;
  }
  if (static_cast<int64_t>(state.queue.size()) >= call->limits.max_queue) {
    const CallId refused = state.queue.ChooseRefused(queued);
    Refuse(Find(refused), RefusalReason::kOverload, state.RetryAfter(now),
           "The queue is full and the workspace is furthest above its share.", actions);
    if (refused == queued.id) {
      return;
    }
  }
  Push(call);
}

void CallBook::Requeue(Call* call) {
  Push(call);
}

void CallBook::Push(Call* call) {
  call->queued = true;
  StateOf(*call).queue.Push(call->ToQueued());
  queue_changed_.insert(call->request.service);
}

void CallBook::Dequeue(Call* call) {
  if (!call->queued) {
    return;
  }
  call->queued = false;
  ServiceState& state = StateOf(*call);
  state.queue.Remove(call->ToQueued());
  if (state.queue.empty()) {
    state.load.OnQueueEmpty();
  }
  queue_changed_.insert(call->request.service);
}

Call* CallBook::NextWaiting(const ServiceId& service, const std::vector<CallId>& skipped) {
  const auto state = services_.find(service);
  if (state == services_.end() || state->second.queue.empty()) {
    return nullptr;
  }
  const std::optional<CallId> next = state->second.queue.Next(skipped);
  return next ? Find(*next) : nullptr;
}

bool CallBook::HasWaiting(const ServiceId& service) const {
  const auto state = services_.find(service);
  return state != services_.end() && !state->second.queue.empty();
}

std::vector<ServiceId> CallBook::ServicesWaiting() const {
  std::vector<ServiceId> waiting;
  for (const auto& [id, state] : services_) {
    if (!state.queue.empty()) {
      waiting.push_back(id);
    }
  }
  return waiting;
}

bool CallBook::MaySend(MonoTime now, Call* call, CallActions* actions) {
  if (call->deadline <= now) {
    Expire(call, actions);
    return false;
  }
  if (attempts_.guard().Blocks(now, call->request.fingerprint)) {
    Refuse(call, RefusalReason::kCrashesUpstreams, Duration(0),
           "The same request has crashed upstreams and is not sent to another one.", actions);
    return false;
  }
  const auto fast = StateOf(*call).load.TenthPercentileLatency(now);
  if (fast && *fast > call->deadline - now) {
    Refuse(call, RefusalReason::kDeadline, Duration(0),
           "The deadline is nearer than the service's fastest tenth of answers.", actions);
    return false;
  }
  return true;
}

std::vector<EndpointId> CallBook::Excluded(const Call& call) const {
  return StateOf(call).Excluded(call);
}

void CallBook::Send(MonoTime now,
                    Call* call,
                    const EndpointId& endpoint,
                    std::string basis,
                    CallActions* actions) {
  assert(call->attempts < call->limits.max_attempts);
  assert(call->idempotent || call->present_verdict() == Verdict::kNotRun);
  ServiceState& state = StateOf(*call);
  if (call->queued) {
    state.load.OnDequeued(now);
    Dequeue(call);
  }
  state.queue.Charge(call->request.workspace, call->weight);
  const AttemptId attempt =
      attempts_.Start(now, {call->request.id, call->request.request, call->request.service,
                            endpoint, call->request.fingerprint, call->idempotent});
  call->running.push_back(attempt);
  call->tried.push_back(endpoint);
  ++call->attempts;
  ScheduleHedge(now, call);
  Record(EventKind::kAttemptStarted, call->request.request, endpoint, std::move(basis), actions);
  actions->push_back(SendAttempt{call->request.id, attempt, endpoint, call->deadline - now});
}

std::optional<EndedAttempt> CallBook::EndAttempt(MonoTime now,
                                                 const AttemptResult& result,
                                                 CallActions* actions) {
  std::optional<EndedAttempt> ended = attempts_.End(now, result, actions);
  if (!ended) {
    return std::nullopt;
  }
  const AttemptOrigin& origin = ended->attempt.origin();
  const auto state = services_.find(origin.service);
  if (state != services_.end() && result.outcome == AttemptOutcome::kAnswered) {
    state->second.load.OnAnswered(now, result.latency);
    const Call* call = Find(origin.call);
    if (call != nullptr && result.status < 300) {
      history_.OnAnswered(call->request.profile, result.latency);
    }
  }
  Record(EventKind::kAttemptEnded, origin.request, origin.endpoint,
         "verdict=" + std::string(VerdictName(ended->verdict)) +
             " status=" + std::to_string(result.status) +
             " latency_us=" + std::to_string(result.latency.count()),
         actions);
  return ended;
}

Call* CallBook::Resolve(MonoTime now, const EndedAttempt& ended, CallActions* actions) {
  const AttemptId id = ended.result.attempt;
  Call* call = Find(ended.attempt.origin().call);
  if (call == nullptr) {
    return nullptr;
  }
  std::erase(call->running, id);
  ClearHedge(call);
  call->verdict = Combine(call->verdict, ended.verdict);
  if (ended.result.outcome == AttemptOutcome::kAnswered) {
    if (RetriesError(now, call, ended.result.status)) {
      call->error_answer = id;
      return call->running.empty() ? call : nullptr;
    }
    Answer(call, id, ended.attempt.origin().endpoint, actions);
    return nullptr;
  }
  if (!call->running.empty()) {
    return nullptr;  // The other attempt may still win.
  }
  const char* text = nullptr;
  if (call->deadline <= now) {
    Expire(call, actions);
    return nullptr;
  }
  if (!call->idempotent && call->verdict != Verdict::kNotRun) {
    text = "The attempt failed after it may have run, and the request must not run twice.";
  } else if (call->attempts >= call->limits.max_attempts) {
    text = "Every attempt failed.";
  } else if (!StateOf(*call).budget.TryTake(now)) {
    text = "The attempt failed and the retry budget of the service is used up.";
  }
  if (text != nullptr) {
    const bool refused = ended.result.outcome == AttemptOutcome::kRefused;
    Refuse(call, RefusalReason::kUpstreamFailed, refused ? kReturnAfterRefusal : kRetryAfterFailure,
           text, actions);
    return nullptr;
  }
  return call;
}

bool CallBook::RetriesError(MonoTime now, Call* call, int status) {
  return status >= kFirstServerError && call->idempotent &&
         call->attempts < call->limits.max_attempts && call->deadline > now &&
         StateOf(*call).budget.TryTake(now);
}

void CallBook::Answer(Call* call,
                      AttemptId attempt,
                      const EndpointId& endpoint,
                      CallActions* actions) {
  CancelRunning(call, false, actions);
  Record(EventKind::kCallFinished, call->request.request, endpoint, "end=answered", actions);
  actions->push_back(AnswerCall{call->request.id, attempt});
  Forget(call);
}

void CallBook::CallerGone(CallId id, CallActions* actions) {
  Call* call = Find(id);
  if (call == nullptr) {
    return;
  }
  CancelRunning(call, false, actions);
  Record(EventKind::kCallFinished, call->request.request, {}, "end=caller-gone", actions);
  Forget(call);
}

Call* CallBook::TakeDue(MonoTime now, CallActions* actions) {
  attempts_.Announce(now, actions);
  while (!timers_.empty() && std::get<MonoTime>(*timers_.begin()) <= now) {
    const auto [due, id, kind] = *timers_.begin();
    Call* call = Find(id);
    if (kind == TimerKind::kDeadline) {
      Expire(call, actions);
      continue;
    }
    ClearHedge(call);
    if (MayHedge(now, call)) {
      return call;
    }
  }
  return nullptr;
}

std::optional<MonoTime> CallBook::next_timer() const {
  std::optional<MonoTime> next = attempts_.guard().next_timer();
  if (!timers_.empty()) {
    const MonoTime first = std::get<MonoTime>(*timers_.begin());
    next = std::min(next.value_or(first), first);
  }
  return next;
}

std::vector<std::pair<ServiceId, int32_t>> CallBook::TakeWaitingChanges() {
  std::vector<std::pair<ServiceId, int32_t>> changes;
  for (const ServiceId& id : queue_changed_) {
    ServiceState& state = services_.at(id);
    const auto waiting = static_cast<int32_t>(state.queue.size());
    if (waiting != std::exchange(state.told_waiting, waiting)) {
      changes.emplace_back(id, waiting);
    }
  }
  queue_changed_.clear();
  return changes;
}

Call* CallBook::Find(CallId id) {
  const auto call = calls_.find(id);
  return call == calls_.end() ? nullptr : &call->second;
}

void CallBook::Expire(Call* call, CallActions* actions) {
  CancelRunning(call, true, actions);
  const bool no_endpoint = call->attempts == 0 && !StateOf(*call).UsableSince(call->arrival);
  Refuse(call, no_endpoint ? RefusalReason::kNoEndpoint : RefusalReason::kDeadline,
         no_endpoint ? kRetryAfterFailure : Duration(0),
         no_endpoint ? "The service had no usable endpoint." : "The deadline passed.", actions);
}

void CallBook::RefuseNew(const CallRequest& request,
                         RefusalReason reason,
                         Duration retry_after,
                         std::string text,
                         CallActions* actions) {
  Record(EventKind::kCallRefused, request.request, {},
         RefusalDetail(reason, Verdict::kNotRun, retry_after), actions);
  actions->push_back(
      RefuseCall{request.id, Refusal{reason, Verdict::kNotRun, retry_after, std::move(text)}});
}

void CallBook::Refuse(Call* call,
                      RefusalReason reason,
                      Duration retry_after,
                      std::string text,
                      CallActions* actions) {
  if (call->error_answer) {
    Answer(call, *call->error_answer, {}, actions);
    return;
  }
  const Verdict verdict = call->present_verdict();
  CancelRunning(call, false, actions);
  Record(
      EventKind::kCallRefused, call->request.request, {},
      RefusalDetail(reason, verdict, retry_after) + " attempts=" + std::to_string(call->attempts),
      actions);
  actions->push_back(
      RefuseCall{call->request.id, Refusal{reason, verdict, retry_after, std::move(text)}});
  Forget(call);
}

void CallBook::CancelRunning(Call* call, bool expired, CallActions* actions) {
  for (const AttemptId attempt : call->running) {
    attempts_.Cancel(attempt, expired, actions);
    call->verdict = Combine(call->verdict, Verdict::kMayHaveRun);
  }
  call->running.clear();
}

void CallBook::Forget(Call* call) {
  Dequeue(call);
  ClearHedge(call);
  timers_.erase(Timer(call->deadline, call->request.id, TimerKind::kDeadline));
  --StateOf(*call).calls;
  calls_.erase(call->request.id);
}

}  // namespace jd
