// The functions of Node that turn the output of its components into actions, peer messages and
// updates of other components.
#include <algorithm>
#include <set>
#include <utility>

#include "cluster/node.h"

namespace jd {

void Node::SendTo(Now now, const GatewayId& to, PeerBody body, NodeActions* actions) {
  actions->push_back(SendPeerMessage{
      to,
      {settings_.id, settings_.incarnation, timeline_.clock().Tick(now.wall), std::move(body)}});
}

void Node::SendToAll(Now now, const PeerBody& body, NodeActions* actions) {
  for (const auto& [id, member] : membership_.members()) {
    if (member.state != MemberState::kDead) {
      SendTo(now, id, body, actions);
    }
  }
}

void Node::SendToAllZones(Now now, const PeerBody& body, NodeActions* actions) {
  SendToAll(now, body, actions);
  for (const GatewayId& id : zone_contacts_.gateways()) {
    SendTo(now, id, body, actions);
  }
}

void Node::RecordTimelineEvent(Now now, EventKind kind, const std::string& detail) {
  Event event;
  event.kind = kind;
  event.detail = detail;
  timeline_.Add(now, std::move(event));
}

void Node::RecordPeerEvent(Now now, EventKind kind, const GatewayId& peer, NodeActions* actions) {
  Event event;
  event.kind = kind;
  event.detail = "peer=" + peer.value;
  timeline_.Add(now, event);
  actions->push_back(WriteLog{std::move(event)});
}

void Node::ApplyCallActions(Now now, const CallActions& from, NodeActions* to) {
  for (const CallAction& action : from) {
    if (const auto* record = std::get_if<RecordEvent>(&action)) {
      timeline_.Add(now, record->event);
      to->push_back(WriteLog{record->event});
    } else if (const auto* crash = std::get_if<AnnounceCrash>(&action)) {
      SendToAllZones(now, CrashNotice{crash->fingerprint}, to);
    } else if (const auto* told = std::get_if<TellCrashEvidence>(&action)) {
      SendToAllZones(now, NameGateway(told->evidence), to);
    } else if (const auto* send = std::get_if<SendAttempt>(&action)) {
      endpoint_by_attempt_[send->attempt] = send->endpoint;
      quotas_.OnAttemptStarted(now.mono, send->call, send->attempt);
      if (keyed_call_starts_.contains(send->call)) {
        sent_keyed_calls_.insert(send->call);
      }
      to->push_back(*send);
    } else if (const auto* answer = std::get_if<AnswerCall>(&action)) {
      quotas_.OnCallEnded(now.mono, answer->call);
      const bool keyed = keyed_call_starts_.erase(answer->call) > 0;
      sent_keyed_calls_.erase(answer->call);
      to->push_back(AnswerCall{answer->call, answer->attempt, keyed});
    } else if (const auto* refuse = std::get_if<RefuseCall>(&action)) {
      quotas_.OnCallEnded(now.mono, refuse->call);
      FinishKeyedCall(now, refuse->call, refuse->refusal.verdict, to);
      to->push_back(*refuse);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      to->push_back(*cancel);
    } else if (const auto* close = std::get_if<CloseConnections>(&action)) {
      to->push_back(*close);
    } else if (const auto* probe = std::get_if<SendProbe>(&action)) {
      to->push_back(*probe);
    } else if (const auto* permit = std::get_if<RequestPermit>(&action)) {
      const Endpoint* endpoint = directory_.FindEndpoint(permit->endpoint);
      const ZoneId zone = endpoint == nullptr ? settings_.zone : endpoint->zone;
      OnPermitRequest(now,
                      {settings_.id, permit->call, permit->endpoint, zone, permit->limit,
                       permit->priority, false},
                      to);
    }
  }
}

void Node::OnPeerMessage(Now now, const PeerMessage& message, NodeActions* actions) {
  timeline_.clock().Receive(now.wall, message.stamp);
  if (message.from == settings_.id || membership_.IsOutdated(message.from, message.incarnation)) {
    return;
  }
  NodeConfig::Output output = ConfigOutputFor(actions);
  const GatewayId& from = message.from;
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message.body)) {
    MembershipOutput members;
    const bool is_new_process = !HasHeard(from, message.incarnation);
    membership_.OnHeartbeat(now.mono, from, message.incarnation, *heartbeat, &members);
    UpdateIssuerSupport(now, from);
    ApplyMembershipOutput(now, members, actions);
    if (is_new_process && InformsNewProcess(from)) {
      SendStateTo(now, from, actions);
    }
    config_.OnPeerVersion(now, from, heartbeat->version, &output);
  } else if (const auto* request = std::get_if<SlotRequest>(&message.body)) {
    slots_.OnRequest(now.mono, from, message.incarnation, *request);
  } else if (const auto* grant = std::get_if<SlotGrant>(&message.body)) {
    slots_.OnGrant(now.mono, from, *grant);
  } else if (const auto* notice = std::get_if<EndpointNotice>(&message.body)) {
    OnEndpointNotice(now, *notice, false, actions);
  } else if (const auto* crash = std::get_if<CrashNotice>(&message.body)) {
    dispatcher_.BlockRequestFromPeer(now.mono, crash->fingerprint);
    RecordTimelineEvent(now, EventKind::kCrashFingerprint, "told by " + from.value);
  } else if (const auto* entries = std::get_if<ConfigEntries>(&message.body)) {
    config_.OnConfigEntries(now, from, *entries, &output);
  } else if (const auto* fetch = std::get_if<ConfigFetch>(&message.body)) {
    config_.OnConfigFetch(from, *fetch, &output);
  } else if (const auto* update = std::get_if<TableUpdate>(&message.body)) {
    OnTableUpdate(now, *update, actions);
  } else if (const auto* table_fetch = std::get_if<TableFetch>(&message.body)) {
    actions->push_back(ServeTableFetch{from, *table_fetch});
    SendStateTo(now, from, actions);
  } else if (const auto* statement = std::get_if<EndpointStatement>(&message.body)) {
    OnEndpointStatement(now, *statement, actions);
  } else if (const auto* evidence = std::get_if<CrashEvidence>(&message.body)) {
    dispatcher_.OnCrashEvidence(now.mono, *evidence);
  } else if (const auto* permit = std::get_if<PermitRequest>(&message.body)) {
    OnPermitRequest(now, *permit, actions);
  } else if (const auto* permit_reply = std::get_if<PermitReply>(&message.body)) {
    OnPermitReply(now, *permit_reply, actions);
  } else if (const auto* quota_request = std::get_if<QuotaRequest>(&message.body)) {
    quotas_.OnRequest(now.mono, *quota_request);
  } else if (const auto* quota_grant = std::get_if<QuotaGrant>(&message.body)) {
    quotas_.OnGrant(now.mono, *quota_grant);
  } else if (const auto* evidence = std::get_if<VersionEvidence>(&message.body)) {
    OnVersionEvidence(now, from, message.incarnation, *evidence, actions);
  } else if (const auto* rollout = std::get_if<RolloutNotice>(&message.body)) {
    OnRolloutNotice(now, *rollout, actions);
  } else if (const auto* zone = std::get_if<UnrecordedZone>(&message.body)) {
    config_.OnUnrecordedZone(now, *zone, &output);
  }
  ApplyConfigOutput(now, &output, actions);
}

void Node::UpdateIssuerSupport(Now now, const GatewayId& peer) {
  const auto member = membership_.members().find(peer);
  if (member == membership_.members().end()) {
    return;
  }
  IssuerSupport::Announcement announcement;
  announcement.incarnation = member->second.incarnation;
  announcement.generation = member->second.view_generation;
  announcement.settled = member->second.view_settled;
  announcement.unreleased = member->second.unreleased;
  if (member->second.echoed) {
    announcement.view = member->second.view;
    announcement.echo = member->second.last_echo;
  }
  issuer_support_.OnAnnouncement(now.mono, peer, announcement);
}

void Node::ApplyMembershipOutput(Now now, const MembershipOutput& from, NodeActions* actions) {
  for (const SetPeerAddress& address : from.addresses) {
    actions->push_back(address);
  }
  for (const ReplacePeerConnection& replacement : from.replacements) {
    actions->push_back(replacement);
  }
  for (const auto& [to, heartbeat] : from.heartbeats) {
    SendTo(now, to, heartbeat, actions);
  }
  for (const MemberChange& change : from.changes) {
    if (change.state == MemberState::kDead) {
      RecordPeerEvent(now, EventKind::kPeerDead, change.id, actions);
      const auto member = membership_.members().find(change.id);
      if (member != membership_.members().end() && member->second.leaving) {
        slots_.OnGatewayLeft(now.mono, change.id);
      } else {
        slots_.OnGatewayDead(now.mono, change.id);
      }
    } else if (change.state == MemberState::kLeaving) {
      RecordPeerEvent(now, EventKind::kPeerLeaving, change.id, actions);
    } else if (change.state == MemberState::kLive) {
      RecordPeerEvent(now, EventKind::kPeerLive, change.id, actions);
    } else if (change.state == MemberState::kOneWay) {
      RecordPeerEvent(now, EventKind::kPeerOneWay, change.id, actions);
    }
  }
  UpdateGatewayMembers(now);
  dispatcher_.SetHasPeers(!membership_.members().empty() || !zone_contacts_.gateways().empty());
  statements_.SetGatewayCount(std::max(membership_.members().size() + 1, gateway_count_));
}

void Node::UpdateGatewayMembers(Now now) {
  UpdateQuotaMembers(now);
  if (!slots_.lends()) {
    return;
  }
  NodeSlots::Members members;
  members.owner_candidates = membership_.owner_candidates();
  members.roster = membership_.roster();
  for (const auto& [id, member] : membership_.members()) {
    members.incarnations[id] = member.incarnation;
  }
  slots_.SetMembers(now.mono, members);
}

void Node::ApplyConfigOutput(Now now, NodeConfig::Output* from, NodeActions* actions) {
  for (NodeConfig::Message& message : from->messages) {
    if (message.to) {
      SendTo(now, *message.to, std::move(message.body), actions);
    } else {
      SendToAll(now, message.body, actions);
    }
  }
  if (from->configuration_changed) {
    directory_.SetConfiguration(config_.configuration());
    quotas_.SetConfiguration(config_.configuration());
    if (quotas_.HasQuotas()) {
      membership_.AnnounceViews(now.mono);
      UpdateQuotaMembers(now);
    }
    RecordListedRuns(now);
    dispatcher_.SetConfiguration(now.mono, config_.configuration());
    RecordTimelineEvent(now, EventKind::kConfigApplied, std::to_string(config_.version().value));
    // The next heartbeat tells the peers the version, whichever way the configuration changed.
    membership_.SetOwnStatus({config_.version(), ready(), true});
  }
  if (from->configuration_changed || from->zones_changed) {
    UpdateServices(now, actions);
  }
  for (const auto& [operation, result] : from->finished_writes) {
    if (std::optional<OperatorReply> reply = operator_.OnWriteFinished(operation, result)) {
      actions->push_back(SendOperatorReply{std::move(*reply)});
    }
  }
}

void Node::UpdateServices(Now now, NodeActions* actions) {
  const ConfigurationPtr configuration = config_.configuration();
  if (configuration == nullptr) {
    return;
  }
  std::set<ZoneId> zones_out;
  std::map<ZoneId, double> shares;
  for (const auto& [id, zone] : configuration->zones) {
    const ZoneUse use = config_.zones().use(id);
    if (!use.usable) {
      zones_out.insert(id);
    } else if (use.share < 1.0) {
      shares[id] = use.share;
    }
  }
  if (zones_out != zones_out_) {
    RecordTimelineEvent(now, EventKind::kZoneChanged,
                        std::to_string(zones_out.size()) + " zones out");
    zones_out_ = zones_out;
  }
  directory_.SetZonesOut(std::move(zones_out));
  ApplyHeldEndpoints(now, actions);
  const EndpointDirectory::Changes changes = directory_.TakeChanges();
  for (const ServiceId& service : changes.removed) {
    policy_.RemoveService(now.mono, service);
  }
  for (const ServiceView& view : changes.services) {
    policy_.SetService(now.mono, view);
    dispatcher_.SetService(now.mono, view);
  }
  for (const auto& [id, service] : configuration->services) {
    dispatcher_.SetDegraded(id, !zones_out_.empty() || !shares.empty());
  }
  slots_.SetZoneShares(now.mono, shares);
  slots_.SetServices(now.mono, changes.services, changes.removed);
  UpdateGatewayMembers(now);
  UpdateProbes(now);
  CallActions out;
  dispatcher_.OnCapacityChanged(now.mono, &out);
  ApplyCallActions(now, out, actions);
}

void Node::UpdateProbes(Now now) {
  std::set<EndpointId> wanted;
  for (const PoolId& pool : slots_.owned_pools()) {
    for (const EndpointView& endpoint : slots_.pools().at(pool).endpoints) {
      const Service* service = directory_.ServiceOf(endpoint.id);
      if (service != nullptr && !directory_.WantsNothing(endpoint.id)) {
        wanted.insert(endpoint.id);
        probes_.SetEndpoint(
            now.mono, endpoint.id,
            {endpoint.slots, service->probe_share, service->probe_cost, service->connect_cost});
      }
    }
  }
  for (const EndpointId& endpoint : probed_endpoints_) {
    if (!wanted.contains(endpoint)) {
      probes_.RemoveEndpoint(endpoint);
    }
  }
  probed_endpoints_ = std::move(wanted);
}

void Node::OnLoopIterationEnd(Now now, NodeActions* actions) {
  FlushQuotas(now, actions);
  // Sending the waiting calls changes the holder's demand for slots, so a second flush sends the
  // demand that remains.
  for (int pass = 0; pass < 2; ++pass) {
    NodeSlots::Output output = slots_.Flush(now.mono);
    for (NodeSlots::OutgoingMessage& message : output.messages) {
      SendTo(now, message.to, std::move(message.body), actions);
    }
    if (output.ownership_changed) {
      RecordTimelineEvent(now, EventKind::kOwnerChanged,
                          "owns " + std::to_string(slots_.owned_pools().size()) + " pools");
      UpdateProbes(now);
    }
    if (!output.capacity_added) {
      break;
    }
    CallActions out;
    dispatcher_.OnCapacityChanged(now.mono, &out);
    ApplyCallActions(now, out, actions);
  }
}

}  // namespace jd
