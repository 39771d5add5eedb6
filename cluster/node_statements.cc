// The functions of Node that apply what endpoints say of themselves in responses, and that tell a
// gateway that starts what it could otherwise learn only from further responses.
#include <set>
#include <utility>

#include "cluster/node.h"
#include "cluster/ownership.h"

namespace jd {
namespace {

/// Number of peers that tell a gateway that has just started what they know; one of them may have
/// just started too.
constexpr int kInformants = 3;

}  // namespace

void Node::OnUpstreamStatement(Now now,
                               const EndpointId& endpoint,
                               const UpstreamStatement& statement,
                               Duration latency,
                               NodeActions* actions) {
  const Endpoint* known = directory_.FindEndpoint(endpoint);
  const auto listed = listed_runs_.find(endpoint);
  if (statement.empty() || listed == listed_runs_.end()) {
    return;
  }
  // After a pause of this process, a response of an earlier run may be handled after the row of the
  // present one.
  if (now.mono - latency < listed->second.since) {
    return;
  }
  // Another upstream may have got the address of the endpoint.
  if (known != nullptr && !known->instance.empty() && !statement.instance.empty() &&
      known->instance != statement.instance) {
    return;
  }
  const Incarnation run = known != nullptr ? known->run : listed->second.run;
  if (statements_.OnStatement(now.mono, endpoint, run, statement)) {
    SendToAllZones(now, EndpointStatement{{{endpoint, run}}}, actions);
  }
  UpdateHeldEndpoints(now, actions);
}

void Node::RecordListedRuns(Now now) {
  // Rows may be lost and come back, so the runs of endpoints that are not listed are kept.
  std::map<EndpointId, ListedRun> runs;
  if (listed_runs_.size() < EndpointStatements::kMaxEntries) {
    runs = listed_runs_;
  }
  for (const auto& [id, service] : config_.configuration()->services) {
    for (const Endpoint& endpoint : service.endpoints) {
      const auto known = listed_runs_.find(endpoint.id);
      const bool same_run = known != listed_runs_.end() && known->second.run == endpoint.run;
      runs[endpoint.id] = same_run ? known->second : ListedRun{endpoint.run, now.mono};
    }
  }
  listed_runs_ = std::move(runs);
}

void Node::OnEndpointStatement(Now now, const EndpointStatement& message, NodeActions* actions) {
  for (const LeavingEndpoint& leaving : message.leaving) {
    statements_.OnLeaving(now.mono, leaving);
  }
  UpdateHeldEndpoints(now, actions);
}

void Node::UpdateHeldEndpoints(Now now, NodeActions* actions) {
  if (ApplyHeldEndpoints(now, actions)) {
    UpdateServices(now, actions);
  }
}

bool Node::ApplyHeldEndpoints(Now now, NodeActions* actions) {
  statements_.RemoveEnded(now.mono);
  for (const auto& [endpoint, held] : statements_.held()) {
    const Endpoint* known = directory_.FindEndpoint(endpoint);
    if (known != nullptr) {
      statements_.OnListed(endpoint, known->run);
    }
  }
  std::map<EndpointId, HeldEndpoint> held = statements_.held();
  const std::map<EndpointId, HeldEndpoint> before = directory_.held();
  if (held == before) {
    return false;
  }
  for (const auto& [endpoint, now_held] : held) {
    const auto was = before.find(endpoint);
    if (was == before.end() || was->second.reason != now_held.reason) {
      slots_.OnEndpointLeaving(now.mono, endpoint);
      RecordHold(now, EventKind::kEndpointHeld, endpoint, now_held, actions);
    }
  }
  for (const auto& [endpoint, was_held] : before) {
    if (!held.contains(endpoint)) {
      if (!directory_.is_leaving(endpoint)) {
        slots_.OnEndpointServing(now.mono, endpoint);
      }
      RecordHold(now, EventKind::kEndpointReleased, endpoint, was_held, actions);
    }
  }
  directory_.SetHeld(std::move(held));
  return true;
}

void Node::RecordHold(Now now,
                      EventKind kind,
                      const EndpointId& endpoint,
                      const HeldEndpoint& held,
                      NodeActions* actions) {
  Event event;
  event.kind = kind;
  event.endpoint = endpoint;
  event.detail = "reason=" + std::string(EndpointHoldName(held.reason));
  if (held.reason == EndpointHold::kWantsNothing && kind == EventKind::kEndpointHeld) {
    event.detail += " for_us=" + std::to_string((held.until - now.mono).count());
  }
  timeline_.Add(now, event);
  actions->push_back(WriteLog{std::move(event)});
}

CrashEvidence Node::NameGateway(CrashEvidence evidence) const {
  for (ObservedLoss& observed : evidence.losses) {
    if (observed.loss.gateway.empty()) {
      observed.loss.gateway = settings_.id;
    }
  }
  return evidence;
}

bool Node::HasHeard(const GatewayId& peer, Incarnation incarnation) const {
  const auto member = membership_.members().find(peer);
  return member != membership_.members().end() && member->second.incarnation == incarnation;
}

bool Node::InformsNewProcess(const GatewayId& peer) const {
  std::vector<GatewayId> candidates{settings_.id};
  for (const auto& [id, member] : membership_.members()) {
    if (id != peer && id != settings_.id && member.state == MemberState::kLive) {
      candidates.push_back(id);
    }
  }
  for (int i = 0; i < kInformants && !candidates.empty(); ++i) {
    const GatewayId informant = OwnerOf(PoolId(peer.value), candidates);
    if (informant == settings_.id) {
      return true;
    }
    std::erase(candidates, informant);
  }
  return false;
}

void Node::SendStateTo(Now now, const GatewayId& peer, NodeActions* actions) {
  std::vector<LeavingEndpoint> leaving = statements_.leaving();
  if (!leaving.empty()) {
    SendTo(now, peer, EndpointStatement{std::move(leaving)}, actions);
  }
  CrashEvidence evidence = NameGateway(dispatcher_.CrashSnapshot(now.mono));
  if (!evidence.empty()) {
    SendTo(now, peer, std::move(evidence), actions);
  }
}

}  // namespace jd
