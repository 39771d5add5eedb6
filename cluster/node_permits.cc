// The functions of Node that request and issue permits for calls to endpoints that name a limit for
// all gateways together.
#include <algorithm>

#include "cluster/node.h"
#include "cluster/ownership.h"

namespace jd {
namespace {

// Retry-after time if no gateway is known that issues the permit.
constexpr Duration kNoIssuerRetryAfter = 200ms;
// Issuers that do not hear each other issue permits for the same endpoint. Each issues the share of
// the gateways that it hears, times this, so that the failure of a few costs no permits.
constexpr double kPartitionAllowance = 1.25;

}  // namespace

bool Node::IssuesPermitsFor(const ZoneId& zone) const {
  return !settings_.peers_in_local_zone_only || zone == settings_.zone ||
         !zone_contacts_.contact(zone);
}

std::optional<GatewayId> Node::PermitIssuerFor(const EndpointId& endpoint,
                                               const ZoneId& zone) const {
  if (settings_.gateways_listed_by_discovery && gateway_count_ == 0) {
    return std::nullopt;
  }
  if (!IssuesPermitsFor(zone)) {
    return zone_contacts_.contact(zone);
  }
  const GatewayId owner = OwnerOf(PoolId(endpoint.value), membership_.owner_candidates());
  return owner.empty() ? std::nullopt : std::optional(owner);
}

double Node::PermitShare(const ZoneId& zone) const {
  const auto heard = static_cast<double>(membership_.owner_candidates().size());
  const auto listed = static_cast<double>(std::max<size_t>(membership_.roster().size(), 1));
  const double share = std::min(kPartitionAllowance * heard / listed, 1.0);
  if (!settings_.peers_in_local_zone_only || zone == settings_.zone) {
    return share;
  }
  // A zone without gateways: each of the other zones issues its part.
  return share / static_cast<double>(zone_contacts_.contacts().size() + 1);
}

void Node::OnPermitRequest(Now now, const PermitRequest& request, NodeActions* actions) {
  const std::optional<GatewayId> issuer = PermitIssuerFor(request.endpoint, request.zone);
  if (issuer == settings_.id) {
    const PermitDecision decision =
        permit_issuer_.Decide(now.mono, request, PermitShare(request.zone));
    ReplyToPermitRequest(now, request, decision, actions);
    return;
  }
  if (!issuer || request.relayed) {
    ReplyToPermitRequest(now, request, {false, kNoIssuerRetryAfter}, actions);
    return;
  }
  PermitRequest sent = request;
  sent.relayed = request.requester != settings_.id;
  SendTo(now, *issuer, sent, actions);
}

void Node::ReplyToPermitRequest(Now now,
                                const PermitRequest& request,
                                const PermitDecision& decision,
                                NodeActions* actions) {
  const PermitReply reply{request.call, request.endpoint, decision};
  if (request.requester == settings_.id) {
    OnPermitReply(now, reply, actions);
  } else {
    SendTo(now, request.requester, reply, actions);
  }
}

void Node::OnPermitReply(Now now, const PermitReply& reply, NodeActions* actions) {
  CallActions out;
  dispatcher_.OnPermitDecision(now.mono, reply.call, reply.endpoint, reply.decision, &out);
  ApplyCallActions(now, out, actions);
}

}  // namespace jd
