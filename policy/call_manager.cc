#include "policy/call_manager.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>

#include "common/route_table.h"
#include "policy/call_profile.h"

namespace jd {
namespace {

/// Until an upstream has answered, the service time of a call is assumed to be this share of its
/// target latency.
constexpr double kDefaultServiceTimeShare = 0.35;
constexpr int kFirstServerError = 500;

uint64_t HashRequestId(const RequestId& request) {
  return XXH3_64bits(request.value.data(), request.value.size());
}

void RecordCallEvent(EventKind kind,
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

Call* CallManager::Admit(MonoTime now, const CallRequest& request, CallActions* actions) {
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
  const Profile* profile = ResolveProfile(&resolved, actions);
  if (profile == nullptr) {
    return nullptr;
  }
  const Duration caller_wait = request.timeout
                                   ? history_.EstimateCallerWait(resolved.profile, *request.timeout)
                                   : Duration(0);
  const auto [entry, added] = calls_.emplace(
      request.id, MakeCall(now, resolved, configuration_->services.at(resolved.service), *profile,
                           *configuration_, caller_wait, next_sequence_++));
  assert(added);
  Call* call = &entry->second;
  LimitDeadline(call);
  ServiceState& state = StateOf(*call);
  ++state.calls;
  timers_.emplace(call->deadline, request.id, TimerKind::kDeadline);
  RecordCallEvent(
      EventKind::kCallStarted, request.request_id, {},
      "service=" + resolved.service.value + " profile=" + resolved.profile.value +
          (call->workspace_table == nullptr ? std::string()
                                            : " workspace=" + resolved.workspace.value) +
          " version=" + std::to_string(configuration_->version.value) +
          " deadline_us=" + std::to_string((call->deadline - now).count()) +
          " age_us=" + std::to_string(caller_wait.count()),
      actions);
  if (!CheckBeforeAttempt(now, call, actions)) {
    return nullptr;
  }
  state.budget.EarnTokens(now, call->limits.retry_budget);
  return call;
}

void CallManager::LimitDeadlines(MonoTime latest) {
  latest_deadline_ = latest;
  for (auto& [id, call] : calls_) {
    timers_.erase(Timer(call.deadline, id, TimerKind::kDeadline));
    LimitDeadline(&call);
    timers_.emplace(call.deadline, id, TimerKind::kDeadline);
  }
}

void CallManager::LimitDeadline(Call* call) const {
  call->deadline = std::min(call->deadline, latest_deadline_.value_or(call->deadline));
  call->target_time = std::min(call->target_time, call->deadline);
}

const Profile* CallManager::ResolveProfile(CallRequest* request, CallActions* actions) {
  if (configuration_->routes != nullptr) {
    const Route* route = configuration_->routes->Find(request->host, request->path);
    if (route == nullptr) {
      RefuseNew(*request, RefusalReason::kUnknownRoute, Duration(0), "No route matches.", actions);
      return nullptr;
    }
    request->service = ChooseTarget(*route, HashRequestId(request->request_id));
    request->profile = route->profile.id;
    if (!Identify(route->is_public, request, actions)) {
      return nullptr;
    }
    if (configuration_->services.contains(request->service)) {
      return &route->profile;
    }
  } else {
    if (!Identify(false, request, actions)) {
      return nullptr;
    }
    if (const Profile* profile = FindProfile(*configuration_, *request)) {
      request->profile = configuration_->services.at(request->service).profile;
      return profile;
    }
  }
  RefuseNew(*request, RefusalReason::kUnknownService, Duration(0), "No such service.", actions);
  return nullptr;
}

Duration CallManager::UsualServiceTime(const Call& call) const {
  const std::optional<Duration> service_time = history_.UsualServiceTime(call.request.profile);
  return service_time.value_or(Scale(call.target_time - call.arrival, kDefaultServiceTimeShare));
}

void CallManager::DequeueForProbing(MonoTime now, Call* call) {
  if (call->queued) {
    StateOf(*call).load.OnDequeued(now);
    Dequeue(call);
  }
  ClearWaitTimer(call);
}

void CallManager::Enqueue(MonoTime now, Call* call, CallActions* actions) {
  ServiceState& state = StateOf(*call);
  const QueuedCall queued = call->ToQueued();
  const auto wait = state.load.EstimateWait(now, state.queue.CallsAhead(queued) + 1);
  if (wait && *wait > call->deadline - now) {
    Refuse(call, RefusalReason::kOverload, state.RetryAfter(now),
           "The queue cannot be served before the deadline.", actions);
    return;
  }
  if (static_cast<int64_t>(state.queue.size()) >= call->limits.max_queue) {
    const CallId refused = state.queue.ChooseCallToRefuse(queued);
    Refuse(Find(refused), RefusalReason::kOverload, state.RetryAfter(now),
           "The queue is full and the workspace is furthest above its share.", actions);
    if (refused == queued.id) {
      return;
    }
  }
  InsertIntoQueue(call);
}

void CallManager::Requeue(Call* call) {
  InsertIntoQueue(call);
}

void CallManager::InsertIntoQueue(Call* call) {
  call->queued = true;
  StateOf(*call).queue.Push(call->ToQueued());
  services_with_changed_queue_.insert(call->request.service);
}

void CallManager::Dequeue(Call* call) {
  if (!call->queued) {
    return;
  }
  call->queued = false;
  ServiceState& state = StateOf(*call);
  state.queue.Remove(call->ToQueued());
  if (state.queue.empty()) {
    state.load.OnQueueEmpty();
  }
  services_with_changed_queue_.insert(call->request.service);
}

Call* CallManager::NextWaitingCall(const ServiceId& service, const std::vector<CallId>& skipped) {
  const auto state = services_.find(service);
  if (state == services_.end() || state->second.queue.empty()) {
    return nullptr;
  }
  const std::optional<CallId> next = state->second.queue.Next(skipped);
  return next ? Find(*next) : nullptr;
}

bool CallManager::CheckBeforeAttempt(MonoTime now, Call* call, CallActions* actions) {
  if (call->deadline <= now) {
    Expire(call, actions);
    return false;
  }
  if (!IdentifyAgain(call, actions)) {
    return false;
  }
  if (attempts_.crash_guard().Blocks(now, call->request.fingerprint)) {
    Refuse(call, RefusalReason::kCrashesUpstreams, Duration(0),
           "The same request has crashed upstreams and is not sent to another one.", actions);
    return false;
  }
  if (RefuseIfNothingWanted(now, call, actions)) {
    return false;
  }
  const auto fast_latency = StateOf(*call).load.TenthPercentileLatency(now);
  if (fast_latency && *fast_latency > call->deadline - now) {
    Refuse(call, RefusalReason::kDeadline, Duration(0),
           "The deadline is nearer than the service's fastest tenth of answers.", actions);
    return false;
  }
  return true;
}

std::vector<EndpointId> CallManager::ExcludedEndpoints(const Call& call) const {
  return StateOf(call).ExcludedEndpoints(call);
}

void CallManager::StartAttempt(MonoTime now,
                               Call* call,
                               const EndpointId& endpoint,
                               std::string basis,
                               CallActions* actions) {
  assert(call->attempts < call->limits.max_attempts);
  assert(call->idempotent || call->verdict_if_ended_now() == Verdict::kNotRun);
  ServiceState& state = StateOf(*call);
  if (call->queued) {
    state.load.OnDequeued(now);
    Dequeue(call);
  }
  ClearWaitTimer(call);
  state.queue.ChargeWorkspace(call->request.workspace, call->weight);
  const AttemptId attempt =
      attempts_.Start(now, {call->request.id, call->request.request_id, call->request.service,
                            endpoint, call->request.fingerprint, call->idempotent});
  call->running.push_back(attempt);
  call->tried.push_back(endpoint);
  ++call->attempts;
  ScheduleHedge(now, call);
  RecordCallEvent(EventKind::kAttemptStarted, call->request.request_id, endpoint, std::move(basis),
                  actions);
  SendAttempt send = {call->request.id, attempt, endpoint, call->deadline - now, call->idempotent};
  if (call->workspace_table != nullptr) {
    send.workspace = call->request.workspace;
  }
  actions->push_back(std::move(send));
}

std::optional<EndedAttempt> CallManager::EndAttempt(MonoTime now,
                                                    const AttemptResult& result,
                                                    CallActions* actions) {
  std::optional<EndedAttempt> ended = attempts_.End(now, result, actions);
  if (!ended) {
    return std::nullopt;
  }
  const AttemptContext& context = ended->attempt.context();
  const auto state = services_.find(context.service);
  if (state != services_.end() && result.outcome == AttemptOutcome::kAnswered) {
    state->second.load.OnAnswered(now, result.latency);
    const Call* call = Find(context.call);
    if (call != nullptr && result.status < 300) {
      history_.RecordLatency(call->request.profile, result.latency);
    }
  }
  RecordCallEvent(EventKind::kAttemptEnded, context.request_id, context.endpoint,
                  "verdict=" + std::string(VerdictName(ended->verdict)) +
                      " status=" + std::to_string(result.status) +
                      " latency_us=" + std::to_string(result.latency.count()),
                  actions);
  return ended;
}

Call* CallManager::HandleEndedAttempt(MonoTime now,
                                      const EndedAttempt& ended,
                                      CallActions* actions) {
  const AttemptId id = ended.result.attempt;
  Call* call = Find(ended.attempt.context().call);
  if (call == nullptr) {
    return nullptr;
  }
  std::erase(call->running, id);
  ClearHedgeTimer(call);
  call->verdict = CombineVerdicts(call->verdict, ended.verdict);
  if (ended.result.outcome == AttemptOutcome::kAnswered) {
    if (TryChargeErrorRetry(now, call, ended.result.status)) {
      call->error_answer = id;
      return call->running.empty() ? call : nullptr;
    }
    Answer(call, id, ended.attempt.context().endpoint, actions);
    return nullptr;
  }
  if (!call->running.empty()) {
    return nullptr;  // The other attempt may still answer the call.
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
  } else if (!StateOf(*call).budget.TryTakeToken(now)) {
    text = "The attempt failed and the retry budget of the service is used up.";
  }
  if (text != nullptr) {
    const bool refused = ended.result.outcome == AttemptOutcome::kRefused;
    Refuse(call, RefusalReason::kUpstreamFailed, RetryAfterFailedAttempt(now, *call, refused), text,
           actions);
    return nullptr;
  }
  return call;
}

bool CallManager::TryChargeErrorRetry(MonoTime now, Call* call, int status) {
  return status >= kFirstServerError && call->idempotent &&
         call->attempts < call->limits.max_attempts && call->deadline > now &&
         StateOf(*call).budget.TryTakeToken(now);
}

void CallManager::Answer(Call* call,
                         AttemptId attempt,
                         const EndpointId& endpoint,
                         CallActions* actions) {
  CancelRunningAttempts(call, false, actions);
  RecordCallEvent(EventKind::kCallFinished, call->request.request_id, endpoint, "end=answered",
                  actions);
  actions->push_back(AnswerCall{call->request.id, attempt});
  RemoveCall(call);
}

void CallManager::OnCallerGone(CallId id, CallActions* actions) {
  Call* call = Find(id);
  if (call == nullptr) {
    return;
  }
  CancelRunningAttempts(call, false, actions);
  RecordCallEvent(EventKind::kCallFinished, call->request.request_id, {}, "end=caller-gone",
                  actions);
  RemoveCall(call);
}

Call* CallManager::HandleDueTimers(MonoTime now, RandomEngine& random, CallActions* actions) {
  attempts_.AnnounceCrashes(now, actions);
  while (!timers_.empty() && std::get<MonoTime>(*timers_.begin()) <= now) {
    const auto [due, id, kind] = *timers_.begin();
    Call* call = Find(id);
    if (kind == TimerKind::kDeadline) {
      Expire(call, actions);
      continue;
    }
    if (kind == TimerKind::kWait) {
      HandleNoProbedCapacity(now, call, random, actions);
      continue;
    }
    ClearHedgeTimer(call);
    if (TryChargeHedge(now, call)) {
      return call;
    }
  }
  return nullptr;
}

std::optional<MonoTime> CallManager::next_timer() const {
  std::optional<MonoTime> next = attempts_.crash_guard().next_timer();
  if (!timers_.empty()) {
    const MonoTime first = std::get<MonoTime>(*timers_.begin());
    next = std::min(next.value_or(first), first);
  }
  return next;
}

Call* CallManager::Find(CallId id) {
  const auto call = calls_.find(id);
  return call == calls_.end() ? nullptr : &call->second;
}

void CallManager::Expire(Call* call, CallActions* actions) {
  CancelRunningAttempts(call, true, actions);
  const bool no_endpoint =
      call->attempts == 0 && !StateOf(*call).HadUsableEndpointSince(call->arrival);
  Refuse(call, no_endpoint ? RefusalReason::kNoEndpoint : RefusalReason::kDeadline,
         no_endpoint ? kRetryAfterFailure : Duration(0),
         no_endpoint ? "The service had no usable endpoint." : "The deadline passed.", actions);
}

void CallManager::RefuseNew(const CallRequest& request,
                            RefusalReason reason,
                            Duration retry_after,
                            std::string text,
                            CallActions* actions) {
  RecordCallEvent(EventKind::kCallRefused, request.request_id, {},
                  RefusalDetail(reason, Verdict::kNotRun, retry_after), actions);
  actions->push_back(
      RefuseCall{request.id, Refusal{reason, Verdict::kNotRun, retry_after, std::move(text)}});
}

void CallManager::Refuse(Call* call,
                         RefusalReason reason,
                         Duration retry_after,
                         std::string text,
                         CallActions* actions) {
  if (call->error_answer) {
    Answer(call, *call->error_answer, {}, actions);
    return;
  }
  const Verdict verdict = call->verdict_if_ended_now();
  CancelRunningAttempts(call, false, actions);
  RecordCallEvent(
      EventKind::kCallRefused, call->request.request_id, {},
      RefusalDetail(reason, verdict, retry_after) + " attempts=" + std::to_string(call->attempts),
      actions);
  actions->push_back(
      RefuseCall{call->request.id, Refusal{reason, verdict, retry_after, std::move(text)}});
  RemoveCall(call);
}

void CallManager::CancelRunningAttempts(Call* call, bool expired, CallActions* actions) {
  for (const AttemptId attempt : call->running) {
    attempts_.Cancel(attempt, expired, actions);
    call->verdict = CombineVerdicts(call->verdict, Verdict::kMayHaveRun);
  }
  call->running.clear();
}

void CallManager::RemoveCall(Call* call) {
  Dequeue(call);
  ClearWaitTimer(call);
  ClearHedgeTimer(call);
  timers_.erase(Timer(call->deadline, call->request.id, TimerKind::kDeadline));
  --StateOf(*call).calls;
  calls_.erase(call->request.id);
}

}  // namespace jd
