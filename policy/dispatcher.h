#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/configuration.h"
#include "common/random.h"
#include "policy/attempt_result.h"
#include "policy/call_action.h"
#include "policy/call_manager.h"
#include "policy/call_request.h"
#include "policy/permit.h"
#include "policy/permit_waits.h"
#include "policy/probe_rounds.h"
#include "policy/rollout_gate.h"
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
      : zone_(std::move(zone)), policy_(policy), random_(seed), rollout_gate_(~seed) {}

  /// Sets the configuration for calls that arrive from now on; calls in progress keep the limits
  /// that they arrived with.
  void SetConfiguration(MonoTime now, ConfigurationPtr configuration) {
    call_manager_.SetConfiguration(now, std::move(configuration));
  }
  /// Sets which endpoints of a configured service are usable. Until this is called for a service,
  /// its usable endpoints are all those of the configuration whose zone is not out. The routing
  /// policy must be updated separately.
  void SetService(MonoTime now, const ServiceView& view) {
    call_manager_.SetService(now, view);
    rollout_gate_.SetService(view);
  }
  /// While a service is degraded, its idempotent calls are queued behind all others.
  void SetDegraded(const ServiceId& service, bool degraded) {
    call_manager_.SetDegraded(service, degraded);
  }
  /// Blocks a request that a peer gateway has found to crash upstreams.
  void BlockRequestFromPeer(MonoTime now, Fingerprint fingerprint) {
    call_manager_.crash_guard().BlockFromPeer(now, fingerprint);
  }

  /// Sets whether other gateways tell this one what they see of crashing requests.
  void SetHasPeers(bool has_peers) { call_manager_.crash_guard().SetHasPeers(has_peers); }
  /// Records what a peer gateway has seen of requests that may crash upstreams. next_timer() may
  /// be earlier afterwards.
  void OnCrashEvidence(MonoTime now, const CrashEvidence& evidence) {
    call_manager_.crash_guard().OnPeerEvidence(now, evidence);
  }
  /// Returns the requests that are blocked or suspected, for a gateway that starts.
  CrashEvidence CrashSnapshot(MonoTime now) const {
    return call_manager_.crash_guard().Snapshot(now);
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
  /// Handles the answer to RequestPermit: sends the call to the endpoint, or looks for another one.
  /// Has no effect if the call no longer waits for this permit.
  void OnPermitDecision(MonoTime now,
                        CallId call,
                        const EndpointId& endpoint,
                        const PermitDecision& decision,
                        CallActions* actions);
  /// Sends waiting calls for which the policy now has a free slot. Must be called after slot grants
  /// and after changes of the usable endpoints.
  void OnCapacityChanged(MonoTime now, CallActions* actions);
  /// Handles the deadlines, hedges, probe rounds and waits for permits that are due.
  void OnTimer(MonoTime now, CallActions* actions);
  /// Refuses new calls from now on; calls in progress continue.
  void StopAdmission() { call_manager_.StopAdmission(); }

  /// Ends every call by `latest`, also calls that arrive later. next_timer() may be earlier
  /// afterwards.
  void LimitDeadlines(MonoTime latest) { call_manager_.LimitDeadlines(latest); }

  /// Returns when OnTimer must be called next, or nothing if no timer is set.
  std::optional<MonoTime> next_timer() const;
  void SetRetryLimits(const RetryBudget::Limits& limits) { call_manager_.SetRetryLimits(limits); }
  size_t calls() const { return call_manager_.calls(); }
  /// Returns the number of attempts without a result yet, including those of calls that have ended.
  size_t attempts() const { return call_manager_.attempts(); }
  const PermitCounts& permit_counts() const { return permit_counts_; }
  /// Divides the calls of services with a roll-out between versions.
  RolloutGate& rollout_gate() { return rollout_gate_; }
  const RolloutGate& rollout_gate() const { return rollout_gate_; }

 private:
  enum class SendOutcome : uint8_t { kSent, kProbing, kNoSlot, kCallEnded };
  /// Probes go to the gateway's local zone in the first stage and to the other zones in the second.
  static constexpr int kProbeStages = 2;
  /// An endpoint whose probe takes longer than this is not a good choice at the moment.
  static constexpr Duration kProbeTimeout = 150ms;
  /// A retried call may find a free slot only at endpoints that it must avoid. Up to this many such
  /// calls are skipped so that the calls queued behind them can be sent.
  static constexpr size_t kMaxSkipped = 8;
  /// Time between two probe rounds for the waiting calls of a service. A round doesn't pay more
  /// often, because endpoints free their slots no faster.
  static constexpr Duration kWaitingProbeInterval = 25ms;
  /// No permit for an endpoint is requested within this time after a request without a reply.
  static constexpr Duration kRetryAfterNoReply = 500ms;
  /// A limit from this rate on needs no permits, because no gateway reaches it.
  static constexpr CallRate kUnreachableLimit{10'000};

  SendOutcome TrySend(MonoTime now, Call* call, CallActions* actions);
  void SendHedge(MonoTime now, Call* call, CallActions* actions);
  /// Returns whether the policy has endpoints probed before each call.
  bool UsesProbes() const;
  AcquireRequest MakeAcquireRequest(MonoTime now, const Call& call) const;
  /// Assigns a call to a side of its service's roll-out before its first attempt.
  void DrawSide(Call* call);
  /// Counts the result of an attempt for the roll-out of its service.
  void CountForRollout(const EndedAttempt& ended);
  /// Returns the load data that the choice of an endpoint is based on, for the timeline.
  std::string DescribeChoice(MonoTime now, const EndpointId& endpoint) const;
  /// Lets a new call wait behind those that wait for room already, or probes endpoints for it.
  void HandleNewProbedCall(MonoTime now, Call* call, CallActions* actions);
  /// Sends the waiting calls of a service to endpoints that have just reported room, and probes
  /// endpoints for the next one if the service's last such probes are not too recent.
  void SendProbedWaitingCalls(MonoTime now, const ServiceId& service, CallActions* actions);
  /// Probes for the waiting calls of the services for which that is due.
  void SendWaitingCallsDue(MonoTime now, CallActions* actions);
  /// Lets a call without room wait, or refuses it.
  void HandleNoRoom(MonoTime now, Call* call, CallActions* actions);
  /// Probes the candidate endpoints of the call's next stage. If no candidates are left, sends the
  /// call to an endpoint that was probed before, or gives up.
  void ProbeCandidates(MonoTime now, Call* call, CallActions* actions);
  /// Sends a call to a probed endpoint if one has room, or requests the permit for it.
  /// @return false if no endpoint has room.
  bool SendToProbedEndpoint(MonoTime now, Call* call, bool last_stage, CallActions* actions);
  /// Ends a round of probes: sends the call to a probed endpoint, probes further endpoints or
  /// refuses the call.
  void FinishProbeRound(MonoTime now, CallId id, CallActions* actions);
  /// Returns whether calls to the endpoint need permits.
  bool NeedsPermit(const EndpointId& endpoint) const;
  /// Ends the wait of a call for a permit that was refused or not answered, and looks for another
  /// endpoint.
  /// @param reason for the log.
  void HandleRefusedPermit(MonoTime now,
                           const PermitWaits::Wait& wait,
                           Duration retry_after,
                           std::string_view reason,
                           CallActions* actions);
  /// Ends the waits for permits that have taken too long.
  void HandleExpiredPermitWaits(MonoTime now, CallActions* actions);
  /// Gives back the slot that a call has acquired for an endpoint and does not use.
  void ReleaseUnused(MonoTime now, const PermitWaits::Wait& wait);
  /// Returns the limit that the endpoint names, or nothing.
  std::optional<CallRate> KnownLimit(const EndpointId& endpoint) const;
  /// Records the limit of an endpoint if it differs from the one known before.
  void RecordLimitChange(const EndpointId& endpoint,
                         std::optional<CallRate> before,
                         std::string_view source,
                         CallActions* actions) const;
  /// Sends the waiting calls of a service until no slot is free.
  void SendWaitingCalls(MonoTime now, const ServiceId& service, CallActions* actions);
  /// Reports the queue lengths that changed to the routing policy.
  void ReportQueueLengths(MonoTime now);

  ZoneId zone_;
  Policy* policy_;
  RandomEngine random_;
  CallManager call_manager_;
  ProbeRounds probe_rounds_;
  PermitWaits permit_waits_;
  PermitCounts permit_counts_;
  /// When endpoints may be probed again for the waiting calls of a service.
  std::map<ServiceId, MonoTime> waiting_probe_times_;
  RolloutGate rollout_gate_;
};

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnCall(MonoTime now, const CallRequest& request, CallActions* actions) {
  Call* call = call_manager_.Admit(now, request, actions);
  if (call == nullptr) {
    return;
  }
  if (UsesProbes()) {
    HandleNewProbedCall(now, call, actions);
    ReportQueueLengths(now);
    return;
  }
  // A new call does not bypass waiting calls, but the queue's order may put it ahead of them.
  const bool waiting = call_manager_.HasWaitingCalls(call->request.service);
  const ServiceId service = call->request.service;
  if (waiting || TrySend(now, call, actions) == SendOutcome::kNoSlot) {
    call_manager_.Enqueue(now, call, actions);
  }
  if (waiting) {
    SendWaitingCalls(now, service, actions);
  }
  ReportQueueLengths(now);
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnCallerGone(MonoTime now, CallId call, CallActions* actions) {
  call_manager_.OnCallerGone(call, actions);
  ReportQueueLengths(now);
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnAttemptResult(MonoTime now,
                                         const AttemptResult& result,
                                         CallActions* actions) {
  const std::optional<EndedAttempt> ended = call_manager_.EndAttempt(now, result, actions);
  if (!ended) {
    return;
  }
  const AttemptContext& context = ended->attempt.context();
  policy_->Release(now, context.endpoint, ended->result);
  CountForRollout(*ended);
  if (result.report) {
    const std::optional<CallRate> limit = KnownLimit(context.endpoint);
    policy_->OnLoadReport(now, context.endpoint, *result.report);
    RecordLimitChange(context.endpoint, limit, "call", actions);
  }
  Call* retry = call_manager_.HandleEndedAttempt(now, *ended, actions);
  if (retry != nullptr && UsesProbes()) {
    // It may not wait for room, so it is probed for at once whatever waits before it.
    TrySend(now, retry, actions);
  } else if (retry != nullptr) {
    // The call keeps its arrival number, so it is sent before calls that arrived later.
    call_manager_.Requeue(retry);
  }
  SendWaitingCalls(now, context.service, actions);
  ReportQueueLengths(now);
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnCapacityChanged(MonoTime now, CallActions* actions) {
  for (const ServiceId& service : call_manager_.ServicesWithWaitingCalls()) {
    SendWaitingCalls(now, service, actions);
  }
  ReportQueueLengths(now);
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnTimer(MonoTime now, CallActions* actions) {
  while (Call* call = call_manager_.HandleDueTimers(now, random_, actions)) {
    SendHedge(now, call, actions);
  }
  for (const CallId id : probe_rounds_.TakeExpired(now)) {
    FinishProbeRound(now, id, actions);
  }
  HandleExpiredPermitWaits(now, actions);
  SendWaitingCallsDue(now, actions);
  ReportQueueLengths(now);
}

template <RoutingPolicy Policy>
auto Dispatcher<Policy>::TrySend(MonoTime now, Call* call, CallActions* actions) -> SendOutcome {
  if (!call_manager_.CheckBeforeAttempt(now, call, actions)) {
    return SendOutcome::kCallEnded;
  }
  DrawSide(call);
  if (UsesProbes()) {
    call->probe_stage = 0;
    ProbeCandidates(now, call, actions);
    return SendOutcome::kProbing;
  }
  const std::optional<EndpointId> endpoint =
      policy_->Acquire(now, MakeAcquireRequest(now, *call), random_);
  if (!endpoint) {
    return SendOutcome::kNoSlot;
  }
  rollout_gate_.OnSent(call->request.service, *endpoint);
  call_manager_.StartAttempt(now, call, *endpoint, DescribeChoice(now, *endpoint), actions);
  return SendOutcome::kSent;
}

template <RoutingPolicy Policy>
bool Dispatcher<Policy>::UsesProbes() const {
  if constexpr (requires { policy_->uses_probes(); }) {
    return policy_->uses_probes();
  } else {
    return ProbingPolicy<Policy>;
  }
}

template <RoutingPolicy Policy>
AcquireRequest Dispatcher<Policy>::MakeAcquireRequest(MonoTime now, const Call& call) const {
  AcquireRequest request;
  request.service = call.request.service;
  request.local_zone = zone_;
  request.deadline = call.deadline;
  request.target_time = call.target_time;
  request.priority = call.limits.rank.profile;
  request.usual_service_time = call_manager_.UsualServiceTime(call);
  request.excluded = call_manager_.ExcludedEndpoints(call);
  request.yields = call_manager_.MustYield(now, call);
  request.waiting = call.waited && call.attempts == 0;
  request.side = call.attempts == 0 && call.side != VersionSide::kAny
                     ? call.side
                     : rollout_gate_.DefaultSide(call.request.service);
  return request;
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::DrawSide(Call* call) {
  if (!call->side_drawn) {
    call->side_drawn = true;
    call->side = rollout_gate_.Draw(call->request.service);
  }
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::CountForRollout(const EndedAttempt& ended) {
  const AttemptContext& context = ended.attempt.context();
  const Call* call = call_manager_.Find(context.call);
  rollout_gate_.OnAttemptEnded(context.service, context.endpoint,
                               call == nullptr ? ProfileId() : call->request.profile, ended.result);
}

template <RoutingPolicy Policy>
std::string Dispatcher<Policy>::DescribeChoice(MonoTime now, const EndpointId& endpoint) const {
  if constexpr (ProbingPolicy<Policy>) {
    return policy_->DescribeLoad(now, endpoint);
  } else {
    return {};
  }
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::ProbeCandidates(MonoTime now, Call* call, CallActions* actions) {
  if constexpr (ProbingPolicy<Policy>) {
    if (const std::optional<PermitWaits::Wait> wait = permit_waits_.Take(call->request.id)) {
      ReleaseUnused(now, *wait);
    }
    call_manager_.DequeueForProbing(now, call);
    const AcquireRequest request = MakeAcquireRequest(now, *call);
    std::vector<EndpointId> candidates;
    const bool none_probed = call->probe_stage == 0 && !call->waited;
    for (; call->probe_stage < kProbeStages && candidates.empty(); ++call->probe_stage) {
      candidates = policy_->ChooseProbeTargets(now, request, call->probe_stage, random_);
    }
    if (candidates.empty()) {
      // Every candidate has been probed, so decide with the results so far.
      if (SendToProbedEndpoint(now, call, true, actions)) {
        return;
      }
      if (request.side == VersionSide::kNew) {
        // The other versions serve the call if the ordered one has no room.
        call->side = VersionSide::kOld;
        call->probe_stage = 0;
        rollout_gate_.OnNoRoom(call->request.service);
        ProbeCandidates(now, call, actions);
      } else if (none_probed) {
        call_manager_.HandleNoProbedCapacity(now, call, random_, actions);
      } else {
        HandleNoRoom(now, call, actions);
      }
      return;
    }
    probe_rounds_.Start(now, call->request.id, candidates);
    for (const EndpointId& endpoint : candidates) {
      actions->push_back(SendProbe{endpoint, kProbeTimeout});
    }
  }
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::FinishProbeRound(MonoTime now, CallId id, CallActions* actions) {
  Call* call = call_manager_.Find(id);
  if (call == nullptr || !call_manager_.CheckBeforeAttempt(now, call, actions)) {
    return;
  }
  if (!SendToProbedEndpoint(now, call, call->probe_stage >= kProbeStages, actions)) {
    ProbeCandidates(now, call, actions);
  }
}

template <RoutingPolicy Policy>
bool Dispatcher<Policy>::SendToProbedEndpoint(MonoTime now,
                                              Call* call,
                                              bool last_stage,
                                              CallActions* actions) {
  AcquireRequest request = MakeAcquireRequest(now, *call);
  // A late answer is not accepted while the call may wait for an earlier one.
  request.last_stage =
      last_stage && request.side != VersionSide::kNew && !call_manager_.MayWaitForRoom(now, *call);
  const std::optional<EndpointId> endpoint = policy_->Acquire(now, request, random_);
  if (!endpoint) {
    return false;
  }
  rollout_gate_.OnSent(call->request.service, *endpoint);
  if (NeedsPermit(*endpoint)) {
    call_manager_.DequeueForProbing(now, call);
    permit_waits_.Start(now, call->request.id, *endpoint);
    actions->push_back(RequestPermit{call->request.id, *endpoint, *KnownLimit(*endpoint),
                                     call->limits.rank.profile});
    return true;
  }
  call_manager_.StartAttempt(now, call, *endpoint, DescribeChoice(now, *endpoint), actions);
  return true;
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnProbeResult(MonoTime now,
                                       const ProbeResult& result,
                                       CallActions* actions) {
  if constexpr (ProbingPolicy<Policy>) {
    if (result.answered) {
      probe_rounds_.RecordLatency(result.latency);
    }
    const std::optional<CallRate> limit = KnownLimit(result.endpoint);
    const bool decides = policy_->OnProbeResult(now, result);
    RecordLimitChange(result.endpoint, limit, "probe", actions);
    for (const CallId id : probe_rounds_.OnProbeResult(result.endpoint, result.answered, decides)) {
      FinishProbeRound(now, id, actions);
    }
  }
}

template <RoutingPolicy Policy>
std::optional<MonoTime> Dispatcher<Policy>::next_timer() const {
  std::optional<MonoTime> next = call_manager_.next_timer();
  if (const std::optional<MonoTime> round = probe_rounds_.next_timer()) {
    next = std::min(next.value_or(*round), *round);
  }
  if (const std::optional<MonoTime> permit = permit_waits_.next_timer()) {
    next = std::min(next.value_or(*permit), *permit);
  }
  for (const auto& [service, due] : waiting_probe_times_) {
    if (call_manager_.HasWaitingCalls(service)) {
      next = std::min(next.value_or(due), due);
    }
  }
  return next;
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::SendHedge(MonoTime now, Call* call, CallActions* actions) {
  if (UsesProbes()) {
    call->probe_stage = 0;
    ProbeCandidates(now, call, actions);
    return;
  }
  AcquireRequest request = MakeAcquireRequest(now, *call);
  request.excluded = call->tried;
  const std::optional<EndpointId> endpoint = policy_->Acquire(now, request, random_);
  if (!endpoint) {
    call_manager_.AbandonHedge(call);
    return;
  }
  call_manager_.StartAttempt(now, call, *endpoint, DescribeChoice(now, *endpoint), actions);
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::SendWaitingCalls(MonoTime now,
                                          const ServiceId& service,
                                          CallActions* actions) {
  if (UsesProbes()) {
    SendProbedWaitingCalls(now, service, actions);
    return;
  }
  std::vector<CallId> skipped;
  while (Call* call = call_manager_.NextWaitingCall(service, skipped)) {
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
void Dispatcher<Policy>::ReportQueueLengths(MonoTime now) {
  for (const auto& [service, waiting] : call_manager_.TakeQueueLengthChanges()) {
    policy_->SetQueueLength(now, service, waiting);
  }
}

}  // namespace jd

// The members for calls that wait for room.
#include "policy/dispatcher_waiting.h"
// The members for endpoints that name a limit.
#include "policy/dispatcher_permits.h"
