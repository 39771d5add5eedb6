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

/// Manages the calls of one gateway from arrival to answer: admission, queueing, attempts, retries,
/// hedges and deadlines. It is deterministic and does no I/O: the current time and the random seed
/// are passed in, and effects are returned as actions for the event loop.
/// @tparam Policy chooses endpoints and accounts for their slots.
template <RoutingPolicy Policy>
class Dispatcher {
 public:
  Dispatcher(ZoneId zone, Policy* policy, uint64_t seed)
      : zone_(std::move(zone)), policy_(policy), random_(seed) {}

  /// Sets the configuration for calls that arrive from now on; calls in progress keep the limits
  /// that they arrived with.
  void SetConfiguration(MonoTime now, ConfigurationPtr configuration) {
    book_.SetConfiguration(now, std::move(configuration));
  }
  /// Sets which endpoints of a configured service are usable. Until this is called for a service,
  /// its usable endpoints are all those of the configuration whose zone is not out. The routing
  /// policy must be updated separately.
  void SetService(MonoTime now, const ServiceView& view) { book_.SetService(now, view); }
  /// While a service is degraded, its idempotent calls are queued behind all others.
  void SetDegraded(const ServiceId& service, bool degraded) {
    book_.SetDegraded(service, degraded);
  }
  /// Blocks a request that a peer gateway has found to crash upstreams.
  void AddCrashFromPeer(MonoTime now, Fingerprint fingerprint) {
    book_.guard().AddFromPeer(now, fingerprint);
  }

  /// Handles a new call. The call ends with exactly one AnswerCall or RefuseCall, unless the caller
  /// disconnects first.
  void OnCall(MonoTime now, const CallRequest& request, CallActions* actions);
  /// Ends a call whose caller closed its connection, and cancels the call's attempts.
  void OnCallerGone(MonoTime now, CallId call, CallActions* actions);
  /// Handles the result of an attempt: releases its slot and answers, retries or refuses its call.
  void OnAttemptResult(MonoTime now, const AttemptResult& result, CallActions* actions);
  /// Handles the result of a probe that was requested with SendProbe.
  void OnProbeResult(MonoTime now, const ProbeResult& result, CallActions* actions);
  /// Sends waiting calls for which the policy now has a free slot. Must be called after slot grants
  /// and after changes of the usable endpoints.
  void OnCapacity(MonoTime now, CallActions* actions);
  /// Handles the deadlines, hedges and probe rounds that are due.
  void OnTimer(MonoTime now, CallActions* actions);
  /// Refuses new calls from now on; calls in progress continue.
  void Stop() { book_.Stop(); }

  /// Returns when OnTimer must be called next, or nothing if no timer is set.
  std::optional<MonoTime> next_timer() const;
  void SetRetryLimits(const RetryBudget::Limits& limits) { book_.SetRetryLimits(limits); }
  size_t calls() const { return book_.calls(); }
  /// Returns the number of attempts without a result yet, including those of calls that have ended.
  size_t attempts() const { return book_.attempts(); }

 private:
  enum class SendOutcome : uint8_t { kSent, kMeasuring, kNoSlot, kCallEnded };
  /// Probes go to the gateway's own zone in the first stage and to the other zones in the second.
  static constexpr int kStages = 2;
  /// An endpoint whose probe takes longer than this is not a good choice at the moment.
  static constexpr Duration kProbeTimeout = 150ms;
  /// A retried call may find a free slot only at endpoints that it must avoid. Up to this many such
  /// calls are skipped so that the calls queued behind them can be sent.
  static constexpr size_t kMaxSkipped = 8;

  SendOutcome TrySend(MonoTime now, Call* call, CallActions* actions);
  void Hedge(MonoTime now, Call* call, CallActions* actions);
  /// Returns whether the policy has endpoints probed before each call.
  bool Measures() const;
  AcquireRequest RequestFor(const Call& call) const;
  /// Returns the load data that the choice of an endpoint is based on, for the event log.
  std::string BasisOf(MonoTime now, const EndpointId& endpoint) const;
  /// Probes the candidate endpoints of the call's next stage. If no candidates are left, sends the
  /// call to an endpoint that was probed before, or gives up.
  void Measure(MonoTime now, Call* call, CallActions* actions);
  /// Sends a call to a probed endpoint if one has room. @return whether the call was sent.
  bool SendMeasured(MonoTime now, Call* call, bool last_stage, CallActions* actions);
  /// Ends a round of probes: sends the call to a probed endpoint, probes further endpoints or
  /// refuses the call.
  void Decide(MonoTime now, CallId id, CallActions* actions);
  /// Sends the waiting calls of a service until no slot is free.
  void Serve(MonoTime now, const ServiceId& service, CallActions* actions);
  /// Reports the queue lengths that changed to the routing policy.
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
  // A new call does not bypass waiting calls, but the queue's order may put it ahead of them.
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
    // The call keeps its arrival number, so it is sent before calls that arrived later.
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
  for (const CallId id : rounds_.TakeDue(now)) {
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
  if constexpr (requires { policy_->measures(); }) {
    return policy_->measures();
  } else {
    return MeasuringPolicy<Policy>;
  }
}

template <RoutingPolicy Policy>
AcquireRequest Dispatcher<Policy>::RequestFor(const Call& call) const {
  AcquireRequest request;
  request.service = call.request.service;
  request.zone = zone_;
  request.deadline = call.deadline;
  request.target = call.target;
  request.priority = call.limits.priority;
  request.work = book_.WorkOf(call);
  request.excluded = book_.Excluded(call);
  return request;
}

template <RoutingPolicy Policy>
std::string Dispatcher<Policy>::BasisOf(MonoTime now, const EndpointId& endpoint) const {
  if constexpr (MeasuringPolicy<Policy>) {
    return policy_->Describe(now, endpoint);
  } else {
    return {};
  }
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::Measure(MonoTime now, Call* call, CallActions* actions) {
  if constexpr (MeasuringPolicy<Policy>) {
    book_.BeginMeasuring(now, call);
    const AcquireRequest request = RequestFor(*call);
    std::vector<EndpointId> candidates;
    for (; call->stage < kStages && candidates.empty(); ++call->stage) {
      candidates = policy_->Candidates(now, request, call->stage, random_);
    }
    if (candidates.empty()) {
      // Every candidate has been probed, so decide with the results so far.
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
  if constexpr (MeasuringPolicy<Policy>) {
    if (result.answered) {
      rounds_.OnLatency(result.latency);
    }
    const bool decides = policy_->OnProbe(now, result);
    for (const CallId id : rounds_.OnProbe(result.endpoint, result.answered, decides)) {
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
    policy_->SetWaiting(now, service, waiting);
  }
}

}  // namespace jd
