#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/configuration.h"
#include "common/random.h"
#include "policy/attempt_result.h"
#include "policy/call_action.h"
#include "policy/call_book.h"
#include "policy/call_request.h"
#include "policy/probe_rounds.h"
#include "policy/routing_policy.h"

namespace jd {

/// Owns the calls of one gateway from arrival to answer: admission, queue, attempts, retries,
/// hedges and deadlines. Pure: time and randomness are arguments, effects are returned as actions.
/// @tparam Policy chooses endpoints and accounts for their slots.
template <RoutingPolicy Policy>
class Dispatcher {
 public:
  Dispatcher(ZoneId zone, Policy* policy, uint64_t seed)
      : zone_(std::move(zone)), policy_(policy), random_(seed) {}

  /// Applies to calls that arrive from now on; the limits of calls under way do not change.
  void SetConfiguration(MonoTime now, ConfigurationPtr configuration) {
    book_.SetConfiguration(now, std::move(configuration));
  }
  /// Tells which endpoints of a configured service are usable. Without it they are those of the
  /// configuration whose zone is not out. The policy is told separately.
  void SetService(MonoTime now, const ServiceView& view) { book_.SetService(now, view); }
  /// While a service is degraded, its idempotent calls wait behind all others.
  void SetDegraded(const ServiceId& service, bool degraded) {
    book_.SetDegraded(service, degraded);
  }
  /// A peer found a request that crashes upstreams.
  void AddCrashFromPeer(MonoTime now, Fingerprint fingerprint) {
    book_.guard().AddFromPeer(now, fingerprint);
  }

  /// Takes a new call; it ends by exactly one AnswerCall or RefuseCall, unless the caller leaves.
  void OnCall(MonoTime now, const CallRequest& request, CallActions* actions);
  /// The caller closed its connection; the call's attempts are cancelled.
  void OnCallerGone(MonoTime now, CallId call, CallActions* actions);
  void OnAttemptResult(MonoTime now, const AttemptResult& result, CallActions* actions);
  /// Takes in the end of a probe that SendProbe asked for.
  void OnProbeResult(MonoTime now, const ProbeResult& result, CallActions* actions);
  /// Sends waiting calls for which the policy has a slot now; called after grants and view changes.
  void OnCapacity(MonoTime now, CallActions* actions);
  /// Handles deadlines and hedges that are due.
  void OnTimer(MonoTime now, CallActions* actions);
  /// Refuses new calls from now on; calls in flight go on.
  void Stop() { book_.Stop(); }

  /// Returns when OnTimer is due next, or nothing.
  std::optional<MonoTime> next_timer() const;
  void SetRetryLimits(const RetryBudget::Limits& limits) { book_.SetRetryLimits(limits); }
  size_t calls() const { return book_.calls(); }
  /// Returns the attempts whose result is still to come, including those of calls that have ended.
  size_t attempts() const { return book_.attempts(); }

 private:
  enum class SendOutcome : uint8_t { kSent, kMeasuring, kNoSlot, kCallEnded };
  /// Of measuring: the own zone first, then the others.
  static constexpr int kStages = 2;
  /// A measuring probe that takes longer says that the endpoint is no good choice now.
  static constexpr Duration kProbeTimeout = 150ms;
  /// Calls that are sent again may find only endpoints that they must avoid; this many are passed
  /// over in favour of calls behind them.
  static constexpr size_t kMaxSkipped = 8;

  SendOutcome TrySend(MonoTime now, Call* call, CallActions* actions);
  void Hedge(MonoTime now, Call* call, CallActions* actions);
  bool Measures() const;
  AcquireRequest RequestFor(const Call& call) const;
  /// Returns what the choice of an endpoint rests on, for the log.
  std::string BasisOf(MonoTime now, const EndpointId& endpoint) const;
  /// Probes candidates for a call, or ends it if there are none.
  void Measure(MonoTime now, Call* call, CallActions* actions);
  /// Sends a call to a measured endpoint, if one has room. @return whether it was sent.
  bool SendMeasured(MonoTime now, Call* call, bool last_stage, CallActions* actions);
  /// Sends a call by what was measured, measures further endpoints, or refuses it.
  void Decide(MonoTime now, CallId id, CallActions* actions);
  void Serve(MonoTime now, const ServiceId& service, CallActions* actions);
  /// Tells the policy about queues that changed.
  void TellWaiting(MonoTime now);

  ZoneId zone_;
  Policy* policy_;
  RandomEngine random_;
  CallBook book_;
  ProbeRounds rounds_;
};

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnCall(MonoTime now, const CallRequest& request, CallActions* actions) {
  Call* call = book_.Admit(now, request, actions);
  if (call == nullptr) {
    return;
  }
  // A new call never overtakes waiting ones, but it may be the next in order among them.
  const bool waiting = book_.HasWaiting(call->request.service);
  const ServiceId service = call->request.service;
  if (waiting || TrySend(now, call, actions) == SendOutcome::kNoSlot) {
    book_.Enqueue(now, call, actions);
  }
  if (waiting) {
    Serve(now, service, actions);
  }
  TellWaiting(now);
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnCallerGone(MonoTime now, CallId call, CallActions* actions) {
  book_.CallerGone(call, actions);
  TellWaiting(now);
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnAttemptResult(MonoTime now,
                                         const AttemptResult& result,
                                         CallActions* actions) {
  const std::optional<EndedAttempt> ended = book_.EndAttempt(now, result, actions);
  if (!ended) {
    return;
  }
  const AttemptOrigin& origin = ended->attempt.origin();
  policy_->Release(now, origin.endpoint, ended->result);
  if (result.report) {
    policy_->OnLoadReport(now, origin.endpoint, *result.report);
  }
  Call* again = book_.Resolve(now, *ended, actions);
  if (again != nullptr) {
    // It keeps its order of arrival, so it is served ahead of calls that came later.
    book_.Requeue(again);
  }
  Serve(now, origin.service, actions);
  TellWaiting(now);
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnCapacity(MonoTime now, CallActions* actions) {
  for (const ServiceId& service : book_.ServicesWaiting()) {
    Serve(now, service, actions);
  }
  TellWaiting(now);
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnTimer(MonoTime now, CallActions* actions) {
  while (Call* call = book_.TakeDue(now, actions)) {
    Hedge(now, call, actions);
  }
  for (const CallId id : rounds_.TakeExpired(now)) {
    Decide(now, id, actions);
  }
  TellWaiting(now);
}

template <RoutingPolicy Policy>
auto Dispatcher<Policy>::TrySend(MonoTime now, Call* call, CallActions* actions) -> SendOutcome {
  if (!book_.MaySend(now, call, actions)) {
    return SendOutcome::kCallEnded;
  }
  if (Measures()) {
    call->stage = 0;
    Measure(now, call, actions);
    return SendOutcome::kMeasuring;
  }
  const std::optional<EndpointId> endpoint = policy_->Acquire(now, RequestFor(*call), random_);
  if (!endpoint) {
    return SendOutcome::kNoSlot;
  }
  book_.Send(now, call, *endpoint, BasisOf(now, *endpoint), actions);
  return SendOutcome::kSent;
}

template <RoutingPolicy Policy>
bool Dispatcher<Policy>::Measures() const {
  if constexpr (requires { policy_->uses_probes(); }) {
    return policy_->uses_probes();
  } else {
    return ProbingPolicy<Policy>;
  }
}

template <RoutingPolicy Policy>
AcquireRequest Dispatcher<Policy>::RequestFor(const Call& call) const {
  AcquireRequest request;
  request.service = call.request.service;
  request.local_zone = zone_;
  request.deadline = call.deadline;
  request.target_time = call.target;
  request.priority = call.limits.priority;
  request.usual_service_time = book_.WorkOf(call);
  request.excluded = book_.Excluded(call);
  return request;
}

template <RoutingPolicy Policy>
std::string Dispatcher<Policy>::BasisOf(MonoTime now, const EndpointId& endpoint) const {
  if constexpr (ProbingPolicy<Policy>) {
    return policy_->DescribeLoad(now, endpoint);
  } else {
    return {};
  }
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::Measure(MonoTime now, Call* call, CallActions* actions) {
  if constexpr (ProbingPolicy<Policy>) {
    book_.BeginMeasuring(now, call);
    const AcquireRequest request = RequestFor(*call);
    std::vector<EndpointId> candidates;
    for (; call->stage < kStages && candidates.empty(); ++call->stage) {
      candidates = policy_->ChooseProbeTargets(now, request, call->stage, random_);
    }
    if (candidates.empty()) {
      // What was measured before is all there is.
      if (!SendMeasured(now, call, true, actions)) {
        book_.GiveUpMeasuring(now, call, random_, actions);
      }
      return;
    }
    rounds_.Start(now, call->request.id, candidates);
    for (const EndpointId& endpoint : candidates) {
      actions->push_back(SendProbe{endpoint, kProbeTimeout});
    }
  }
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::Decide(MonoTime now, CallId id, CallActions* actions) {
  Call* call = book_.Find(id);
  if (call == nullptr || !book_.MaySend(now, call, actions)) {
    return;
  }
  if (!SendMeasured(now, call, call->stage >= kStages, actions)) {
    Measure(now, call, actions);
  }
}

template <RoutingPolicy Policy>
bool Dispatcher<Policy>::SendMeasured(MonoTime now,
                                      Call* call,
                                      bool last_stage,
                                      CallActions* actions) {
  AcquireRequest request = RequestFor(*call);
  request.last_stage = last_stage;
  const std::optional<EndpointId> endpoint = policy_->Acquire(now, request, random_);
  if (endpoint) {
    book_.Send(now, call, *endpoint, BasisOf(now, *endpoint), actions);
  }
  return endpoint.has_value();
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnProbeResult(MonoTime now,
                                       const ProbeResult& result,
                                       CallActions* actions) {
  if constexpr (ProbingPolicy<Policy>) {
    if (result.answered) {
      rounds_.RecordLatency(result.latency);
    }
    const bool decides = policy_->OnProbeResult(now, result);
    for (const CallId id : rounds_.OnProbeResult(result.endpoint, result.answered, decides)) {
      Decide(now, id, actions);
    }
  }
}

template <RoutingPolicy Policy>
std::optional<MonoTime> Dispatcher<Policy>::next_timer() const {
  std::optional<MonoTime> next = book_.next_timer();
  if (const std::optional<MonoTime> round = rounds_.next_timer()) {
    next = std::min(next.value_or(*round), *round);
  }
  return next;
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::Hedge(MonoTime now, Call* call, CallActions* actions) {
  if (Measures()) {
    call->stage = 0;
    Measure(now, call, actions);
    return;
  }
  AcquireRequest request = RequestFor(*call);
  request.excluded = call->tried;
  const std::optional<EndpointId> endpoint = policy_->Acquire(now, request, random_);
  if (!endpoint) {
    book_.AbandonHedge(call);
    return;
  }
  book_.Send(now, call, *endpoint, BasisOf(now, *endpoint), actions);
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::Serve(MonoTime now, const ServiceId& service, CallActions* actions) {
  std::vector<CallId> skipped;
  while (Call* call = book_.NextWaiting(service, skipped)) {
    if (TrySend(now, call, actions) != SendOutcome::kNoSlot) {
      continue;
    }
    if (call->tried.empty() || skipped.size() >= kMaxSkipped) {
      return;
    }
    skipped.push_back(call->request.id);
  }
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::TellWaiting(MonoTime now) {
  for (const auto& [service, waiting] : book_.TakeWaitingChanges()) {
    policy_->SetQueueLength(now, service, waiting);
  }
}

}  // namespace jd
