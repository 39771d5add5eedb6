#include "cluster/node.h"

#include <algorithm>
#include <utility>

namespace jd {
namespace {

// The VM list lags behind the VMs, so reading it more often costs reads and yields nothing newer.
constexpr Duration kVmListInterval = 2s;
constexpr Duration kProbeTimeout = 500ms;
// A response counts as slow, and so against the ramp of a returning zone, if it takes more than
// this many times its endpoint's average latency.
constexpr int kSlowLatencyFactor = 3;

PolicyVariant MakePolicy(const NodeSettings& settings) {
  if (settings.policy == SlotHolder::kName) {
    return PolicyVariant(SlotHolder(settings.id, settings.zone, settings.incarnation));
  }
  return PolicyVariant::ByName(settings.policy);
}

// Returns whether the upstream may have run the request of an attempt.
bool MayHaveRun(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::kRefused && outcome != AttemptOutcome::kConnectFailed;
}

void SetToEarlier(std::optional<MonoTime>* earliest, std::optional<MonoTime> other) {
  if (other && (!*earliest || *other < **earliest)) {
    *earliest = other;
  }
}

}  // namespace

Node::Node(const NodeSettings& settings)
    : settings_(settings),
      policy_(MakePolicy(settings)),
      dispatcher_(settings.zone, &policy_, settings.seed),
      config_(settings, &router_),
      membership_(settings),
      slots_(settings, policy_.get_if<SlotHolder>()),
      claims_(settings.id, settings.incarnation),
      timeline_(settings.id, settings.event_capacity),
      operator_({&settings_, &config_, &membership_, &slots_, &timeline_}),
      issuer_support_(settings.id, Membership::SupportLifetime(settings.heartbeat)),
      quotas_(settings.id, &issuer_support_, settings.seed),
      next_quota_contact_(settings.seed),
      rollouts_(RolloutMemberOf(settings)),
      statements_(settings.id) {
  if (settings_.retry_limits) {
    dispatcher_.SetRetryLimits(*settings_.retry_limits);
  }
}

void Node::Start(Now now, ConfigurationPtr initial, NodeActions* actions) {
  MembershipOutput members;
  membership_.Start(now.mono, &members);
  ApplyMembershipOutput(now, members, actions);
  std::vector<GatewayId> peers;
  for (const PeerSeed& seed : settings_.seeds) {
    peers.push_back(seed.id);
  }
  NodeConfig::Output output = ConfigOutputFor(actions);
  config_.Start(now, std::move(initial), peers, &output);
  ApplyConfigOutput(now, &output, actions);
  next_vm_list_ = now.mono;
  OnTimer(now, actions);
}

void Node::OnAdmittedCall(Now now, const CallRequest& request, NodeActions* actions) {
  if (!request.request_key.empty() && !config_.has_platform()) {
    quotas_.OnCallEnded(now.mono, request.id);
    actions->push_back(RefuseCall{request.id,
                                  {RefusalReason::kStoreUnavailable, Verdict::kNotRun, Duration(0),
                                   "Request keys need a platform to be claimed in."}});
    return;
  }
  if (request.request_key.empty()) {
    CallActions out;
    dispatcher_.OnCall(now.mono, request, &out);
    ApplyCallActions(now, out, actions);
    return;
  }
  calls_awaiting_claim_.emplace(request.id, request);
  ClaimOutput output;
  // The dispatcher enforces the deadline of the profile; the claim needs only an upper limit.
  const MonoTime deadline = now.mono + request.timeout.value_or(RequestClaims::kClaimTimeout * 2);
  claims_.Claim(now, request.id,
                RequestClaims::RowKey(request.service, request.workspace, request.request_key),
                request.fingerprint, deadline, &output);
  keyed_call_starts_[request.id] = now.mono;
  ApplyClaimOutput(now, std::move(output), actions);
}

void Node::ApplyClaimOutput(Now now, ClaimOutput from, NodeActions* actions) {
  router_.Send(TableClient::kClaims, 0, std::move(from.calls), actions);
  for (const ClaimAnswer& answer : from.answers) {
    ApplyClaimAnswer(now, answer, actions);
  }
}

void Node::ApplyClaimAnswer(Now now, const ClaimAnswer& answer, NodeActions* actions) {
  const auto waiting = calls_awaiting_claim_.extract(answer.call);
  if (waiting.empty()) {
    return;
  }
  if (answer.decision == ClaimDecision::kRun) {
    CallRequest request = std::move(waiting.mapped());
    if (request.timeout) {
      *request.timeout -= now.mono - keyed_call_starts_[request.id];
    }
    CallActions out;
    dispatcher_.OnCall(now.mono, request, &out);
    ApplyCallActions(now, out, actions);
    return;
  }
  keyed_call_starts_.erase(answer.call);
  quotas_.OnCallEnded(now.mono, answer.call);
  if (answer.decision == ClaimDecision::kReplay) {
    actions->push_back(ReplayCall{answer.call, answer.stored.status, answer.stored.content_type,
                                  answer.stored.body});
    return;
  }
  Refusal refusal;
  refusal.reason = RefusalReason::kKeyUnresolved;
  refusal.verdict = Verdict::kMayHaveRun;
  switch (answer.decision) {
    case ClaimDecision::kBodyNotKept:
      refusal.text = "The request with this key has run; its response was too large to keep.";
      break;
    case ClaimDecision::kOtherRequest:
      refusal.verdict = Verdict::kNotRun;
      refusal.text = "The key belongs to a different request.";
      break;
    case ClaimDecision::kStoreDown:
      refusal.reason = RefusalReason::kStoreUnavailable;
      refusal.verdict = Verdict::kNotRun;
      refusal.retry_after = 1s;
      refusal.text = "The request key could not be claimed in the platform's table.";
      break;
    default:
      refusal.text = "Another request with this key may have run.";
  }
  actions->push_back(RefuseCall{answer.call, std::move(refusal)});
}

void Node::OnCallerGone(Now now, CallId call, NodeActions* actions) {
  quotas_.OnCallEnded(now.mono, call);
  if (calls_awaiting_quota_.erase(call) > 0) {
    return;
  }
  if (calls_awaiting_claim_.erase(call) > 0) {
    keyed_call_starts_.erase(call);
    ClaimOutput output;
    claims_.Cancel(now, call, &output);
    ApplyClaimOutput(now, std::move(output), actions);
    return;
  }
  CallActions out;
  dispatcher_.OnCallerGone(now.mono, call, &out);
  // A call that was sent may have run, even if its attempts have ended, so its claim stays
  // unresolved. The claim is removed only if no attempt was started.
  FinishKeyedCall(now, call,
                  sent_keyed_calls_.contains(call) ? Verdict::kMayHaveRun : Verdict::kNotRun,
                  actions);
  ApplyCallActions(now, out, actions);
}

void Node::FinishKeyedCall(Now now, CallId call, Verdict verdict, NodeActions* actions) {
  sent_keyed_calls_.erase(call);
  if (keyed_call_starts_.erase(call) == 0) {
    return;
  }
  ClaimOutput output;
  ClaimOutcome outcome;
  outcome.verdict = verdict;
  claims_.Finish(now, call, outcome, &output);
  ApplyClaimOutput(now, std::move(output), actions);
}

void Node::OnCallAnswered(Now now,
                          CallId call,
                          const StoredResponse& response,
                          NodeActions* actions) {
  ClaimOutput output;
  claims_.Finish(now, call, {Verdict::kRan, response.status, response.content_type, response.body},
                 &output);
  ApplyClaimOutput(now, std::move(output), actions);
}

void Node::OnAttemptResult(Now now, const AttemptResult& result, NodeActions* actions) {
  const auto attempt = endpoint_by_attempt_.extract(result.attempt);
  quotas_.OnAttemptEnded(now.mono, result.attempt, MayHaveRun(result.outcome));
  if (!attempt.empty()) {
    OnUpstreamStatement(now, attempt.mapped(), result.statement, result.latency, actions);
  }
  CallActions out;
  dispatcher_.OnAttemptResult(now.mono, result, &out);
  ApplyCallActions(now, out, actions);
  if (attempt.empty()) {
    return;
  }
  const EndpointId& endpoint = attempt.mapped();
  if (result.response_started) {
    probes_.OnResponse(now.mono, endpoint);
  }
  if (result.report) {
    OnLoadReport(now, endpoint, *result.report, actions);
  }
  const Endpoint* known = directory_.FindEndpoint(endpoint);
  if (known == nullptr || result.outcome == AttemptOutcome::kCancelled) {
    return;
  }
  const bool ok = result.outcome == AttemptOutcome::kAnswered && result.status < 500;
  const Duration average = latency_.average(endpoint);
  const bool slow = ok && average > Duration(0) && result.latency > average * kSlowLatencyFactor;
  if (ok) {
    latency_.Add(endpoint, result.latency);
  }
  config_.OnZoneEvidence(known->zone, {ok ? 1 : 0, slow ? 1 : 0, ok ? 0 : 1});
}

void Node::OnLoadReport(Now now,
                        const EndpointId& endpoint,
                        const LoadReport& report,
                        NodeActions* actions) {
  statements_.OnInstance(endpoint, report.instance);
  if (report.state == EndpointState::kDraining) {
    OnEndpointNotice(now, {endpoint, report.instance, EndpointNoticeKind::kDraining}, true,
                     actions);
    return;
  }
  const auto draining = draining_instances_.find(endpoint);
  if (draining != draining_instances_.end() && draining->second != report.instance) {
    OnEndpointNotice(now, {endpoint, report.instance, EndpointNoticeKind::kServing}, true, actions);
  }
}

void Node::OnEndpointNotice(Now now,
                            const EndpointNotice& notice,
                            bool tell_peers,
                            NodeActions* actions) {
  const bool leaving = notice.kind == EndpointNoticeKind::kDraining;
  if (!directory_.SetLeaving(notice.endpoint, leaving)) {
    return;
  }
  if (leaving) {
    draining_instances_[notice.endpoint] = notice.instance;
    slots_.OnEndpointLeaving(now.mono, notice.endpoint);
  } else {
    draining_instances_.erase(notice.endpoint);
    slots_.OnEndpointServing(now.mono, notice.endpoint);
  }
  Event event;
  event.kind = leaving ? EventKind::kEndpointDraining : EventKind::kEndpointWarm;
  event.endpoint = notice.endpoint;
  timeline_.Add(now, std::move(event));
  if (tell_peers) {
    SendToAll(now, notice, actions);
  }
  UpdateServices(now, actions);
}

void Node::OnProbeResult(Now now, const ProbeResult& result, NodeActions* actions) {
  OnUpstreamStatement(now, result.endpoint, result.statement, result.latency, actions);
  CallActions out;
  dispatcher_.OnProbeResult(now.mono, result, &out);
  ApplyCallActions(now, out, actions);
  if (!result.answered || !result.report) {
    return;
  }
  probes_.OnResponse(now.mono, result.endpoint);
  slots_.OnProbeReport(now.mono, result.endpoint, *result.report);
  OnLoadReport(now, result.endpoint, *result.report, actions);
}

void Node::OnVmList(Now now, const VmList& vms, NodeActions* actions) {
  MembershipOutput output;
  membership_.OnVmList(now.mono, vms, &output);
  ApplyMembershipOutput(now, output, actions);
  for (const Vm& vm : vms) {
    const EndpointId endpoint(vm.name);
    if (vm.role != VmRole::kUpstream || directory_.FindEndpoint(endpoint) == nullptr) {
      continue;
    }
    const bool leaving = vm.state == VmState::kLeaving;
    // The VM list lags, so an endpoint that a report or a peer marked as draining may still be
    // listed as live. It is marked as serving only when the list itself changes from leaving to
    // live.
    const bool was_leaving = std::exchange(listed_as_leaving_[endpoint], leaving);
    if (leaving != was_leaving) {
      OnEndpointNotice(now,
                       {endpoint, InstanceId(),
                        leaving ? EndpointNoticeKind::kDraining : EndpointNoticeKind::kServing},
                       false, actions);
    }
  }
}

void Node::OnTableRead(Now now, const TableUpdate& update, NodeActions* actions) {
  TableUpdate sent = update;
  sent.reader = settings_.id;
  sent.reader_zone = settings_.zone;
  // Peers that have just started are included, although no heartbeat has confirmed them yet:
  // without updates each of them would read the store.
  SendToAll(now, sent, actions);
  if (update.failed) {
    return;
  }
  sent.relay = true;
  for (const GatewayId& contact : zone_contacts_.contacts()) {
    SendTo(now, contact, sent, actions);
  }
}

void Node::OnTableUpdate(Now now, const TableUpdate& update, NodeActions* actions) {
  zone_contacts_.OnReader(update.reader, update.reader_zone);
  if (update.relay) {
    TableUpdate relayed = update;
    relayed.relay = false;
    SendToAll(now, relayed, actions);
  }
  actions->push_back(ApplyTableUpdate{update});
}

void Node::RequestTables(Now now,
                         const std::optional<GatewayId>& peer,
                         const TableFetch& fetch,
                         NodeActions* actions) {
  const std::optional<GatewayId> asked = peer ? peer : membership_.LastHeard();
  if (asked) {
    SendTo(now, *asked, fetch, actions);
  }
}

void Node::SendTable(Now now,
                     const GatewayId& peer,
                     const TableUpdate& update,
                     NodeActions* actions) {
  SendTo(now, peer, update, actions);
}

void Node::SetOtherZoneGateways(const VmList& gateways, NodeActions* actions) {
  if (!settings_.peers_in_local_zone_only) {
    return;
  }
  VmList others;
  for (const Vm& vm : gateways) {
    if (vm.zone != settings_.zone) {
      others.push_back(vm);
      actions->push_back(SetPeerAddress{GatewayId(vm.name), vm.address, vm.port});
    }
  }
  zone_contacts_.SetGateways(others);
}

void Node::UpdateProbeRate(Now now) {
  if (settings_.probe_rate > 0 && gateway_count_ > 0) {
    policy_.SetProbeRate(now.mono, settings_.probe_rate / static_cast<double>(gateway_count_));
  }
}

void Node::OnDiscovery(Now now, const DiscoveryUpdate& update, NodeActions* actions) {
  if (update.gateways) {
    gateway_count_ = update.gateways->size();
    VmList peers = *update.gateways;
    std::erase_if(peers, [this](const Vm& vm) {
      return settings_.peers_in_local_zone_only && vm.zone != settings_.zone;
    });
    OnVmList(now, peers, actions);
    SetOtherZoneGateways(*update.gateways, actions);
    UpdateProbeRate(now);
  }
  if (update.rollouts) {
    SetRolloutOrders(now, *update.rollouts, update.rollouts_era, actions);
  }
  const bool was_complete = catalog_.complete();
  const bool changed = catalog_.Apply(update);
  if (!catalog_.complete() || (was_complete && !changed)) {
    return;
  }
  NodeConfig::Output output = ConfigOutputFor(actions);
  config_.SetExternalConfiguration(now, catalog_.configuration(), &output);
  ApplyConfigOutput(now, &output, actions);
}

void Node::OnTableReply(Now now, uint64_t id, const TableReply& reply, NodeActions* actions) {
  const std::optional<TableRouter::Origin> origin = router_.TakeOrigin(id);
  if (!origin) {
    return;
  }
  if (origin->client == TableClient::kClaims) {
    ClaimOutput output;
    claims_.OnTableReply(now, origin->token, reply, &output);
    ApplyClaimOutput(now, std::move(output), actions);
    return;
  }
  NodeConfig::Output output = ConfigOutputFor(actions);
  config_.OnTableReply(now, *origin, reply, &output);
  ApplyConfigOutput(now, &output, actions);
}

void Node::OnOperatorRequest(Now now, const OperatorRequest& request, NodeActions* actions) {
  NodeConfig::Output output = ConfigOutputFor(actions);
  std::optional<OperatorReply> reply = operator_.OnRequest(now, request, ready(), calls(), &output);
  if (reply) {
    actions->push_back(SendOperatorReply{std::move(*reply)});
  }
  ApplyConfigOutput(now, &output, actions);
}

void Node::OnTimer(Now now, NodeActions* actions) {
  UpdateHeldEndpoints(now, actions);
  CallActions out;
  dispatcher_.OnTimer(now.mono, &out);
  ApplyCallActions(now, out, actions);
  membership_.SetOwnStatus({config_.version(), ready(), config_.configuration() != nullptr});
  MembershipOutput members;
  membership_.OnTimer(now.mono, &members);
  ApplyMembershipOutput(now, members, actions);
  NodeConfig::Output config = ConfigOutputFor(actions);
  config_.OnTimer(now, &config);
  ApplyConfigOutput(now, &config, actions);
  quotas_.OnTimer(now.mono);
  ClaimOutput claims;
  claims_.OnTimer(now, &claims);
  ApplyClaimOutput(now, std::move(claims), actions);
  for (const EndpointId& endpoint : probes_.TakeProbes(now.mono)) {
    actions->push_back(SendProbe{endpoint, kProbeTimeout});
  }
  AdvanceRollouts(now, actions);
  if (config_.has_platform() && now.mono >= next_vm_list_) {
    next_vm_list_ = now.mono + kVmListInterval;
    actions->push_back(FetchVmList{});
  }
  OnLoopIterationEnd(now, actions);
}

void Node::OnStop(Now now, NodeActions* actions) {
  stopping_ = true;
  dispatcher_.StopAdmission();
  slots_.HandOverPools(now.mono);
  MembershipOutput members;
  // The peers take the notice that this gateway leaves as one that it issues nothing any longer.
  issuer_support_.Resign();
  membership_.Leave(now.mono, &members);
  ApplyMembershipOutput(now, members, actions);
  OnLoopIterationEnd(now, actions);
}

std::optional<MonoTime> Node::next_timer() const {
  std::optional<MonoTime> next = dispatcher_.next_timer();
  SetToEarlier(&next, membership_.next_timer());
  SetToEarlier(&next, config_.next_timer());
  SetToEarlier(&next, slots_.next_timer());
  SetToEarlier(&next, probes_.next_timer());
  SetToEarlier(&next, statements_.next_end());
  SetToEarlier(&next, claims_.next_timer());
  SetToEarlier(&next, quotas_.next_timer());
  SetToEarlier(&next, rollouts_.next_timer());
  if (config_.has_platform()) {
    SetToEarlier(&next, next_vm_list_);
  }
  return next;
}

bool Node::ready() const {
  return config_.ready() && !stopping_ &&
         !(settings_.unready_when_zone_out && config_.zones().local_zone_out());
}

bool Node::drained() const {
  return stopping_ && calls() == 0 && dispatcher_.attempts() == 0;
}

NodeConfig::Output Node::ConfigOutputFor(NodeActions* actions) {
  NodeConfig::Output output;
  output.actions = actions;
  return output;
}

}  // namespace jd
