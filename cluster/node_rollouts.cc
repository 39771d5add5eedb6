// The functions of Node that take part in roll-outs.
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "cluster/node.h"
#include "cluster/ownership.h"

namespace jd {
namespace {

// Number of gateways of a zone that add up its evidence.
constexpr size_t kCollectors = 2;
// Slots of the ordered version without which it cannot carry all calls, as a part of the slots of
// the other versions.
constexpr double kMinCapacity = 0.6;

// Returns the first gateways of a zone by rendezvous hash.
std::vector<GatewayId> ChooseCollectors(const ServiceId& service,
                                        std::vector<GatewayId> candidates) {
  std::vector<GatewayId> collectors;
  while (collectors.size() < kCollectors && !candidates.empty()) {
    collectors.push_back(OwnerOf(PoolId(service.value), candidates));
    std::erase(candidates, collectors.back());
  }
  return collectors;
}

uint64_t ZoneScore(const ServiceId& service, const ZoneId& zone) {
  const std::string text = service.value + '\n' + zone.value;
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

RolloutMember Node::RolloutMemberOf(const NodeSettings& settings) {
  const ZoneId zone = settings.peers_in_local_zone_only ? settings.zone : ZoneId();
  return {settings.id, settings.incarnation, zone, settings.rollout_bounds};
}

RolloutSituation Node::SituationOf(const Rollout& rollout) const {
  RolloutSituation situation;
  const RolloutOrder& order = rollout.order();
  situation.collectors = ChooseCollectors(order.service, membership_.owner_candidates());
  const uint64_t own_score = ZoneScore(order.service, settings_.zone);
  for (const ZoneId& zone : zone_contacts_.zones()) {
    ++situation.zones;
    situation.zone_rank += ZoneScore(order.service, zone) > own_score ? 1 : 0;
  }
  situation.alone = membership_.members().empty() && zone_contacts_.gateways().empty();
  situation.counts = dispatcher_.rollout_gate().counts(order.service);
  for (const auto& [attempt, id] : endpoint_by_attempt_) {
    const Service* service = directory_.ServiceOf(id);
    const Endpoint* endpoint = directory_.FindEndpoint(id);
    const bool concerned = service != nullptr && service->id == order.service;
    situation.old_in_flight += concerned && endpoint->version != order.to ? 1 : 0;
  }
  const ConfigurationPtr configuration = config_.configuration();
  if (configuration == nullptr || !configuration->services.contains(order.service)) {
    situation.has_capacity = false;
    return situation;
  }
  int64_t new_slots = 0;
  int64_t old_slots = 0;
  for (const Endpoint& endpoint : configuration->services.at(order.service).endpoints) {
    (endpoint.version == order.to ? new_slots : old_slots) += endpoint.slots;
  }
  situation.only_new = new_slots > 0 && old_slots == 0;
  situation.has_capacity = new_slots > 0 && static_cast<double>(new_slots) >=
                                                kMinCapacity * static_cast<double>(old_slots);
  return situation;
}

void Node::SetRolloutOrders(Now now,
                            const std::map<ServiceId, RolloutOrder>& orders,
                            StoreEra era,
                            NodeActions* actions) {
  rollouts_.SetOrders(now.mono, orders, era, &dispatcher_.rollout_gate());
  AdvanceRollouts(now, actions);
  ApplyRolloutOutput(now, {}, actions);
}

void Node::AdvanceRollouts(Now now, NodeActions* actions) {
  const std::optional<MonoTime> due = rollouts_.next_timer();
  if (!due || now.mono < *due) {
    return;
  }
  RolloutOutput output;
  rollouts_.OnTimer(
      now.mono, [this](const Rollout& rollout) { return SituationOf(rollout); }, &output);
  ApplyRolloutOutput(now, output, actions);
}

void Node::OnRolloutWriteResult(Now now, const RolloutWriteResult& result, NodeActions* actions) {
  RolloutOutput output;
  rollouts_.OnWriteResult(now.mono, result, &output);
  ApplyRolloutOutput(now, output, actions);
}

void Node::OnVersionEvidence(Now now,
                             const GatewayId& from,
                             Incarnation incarnation,
                             const VersionEvidence& evidence,
                             NodeActions* actions) {
  RolloutOutput output;
  rollouts_.OnEvidence(now.mono, from, incarnation, evidence, &output);
  ApplyRolloutOutput(now, output, actions);
}

void Node::OnRolloutNotice(Now now, const RolloutNotice& notice, NodeActions* actions) {
  rollouts_.OnNotice(notice);
  ApplyRolloutOutput(now, {}, actions);
}

void Node::ApplyRolloutOutput(Now now, const RolloutOutput& from, NodeActions* actions) {
  for (const auto& [to, report] : from.reports) {
    SendTo(now, to, report, actions);
  }
  for (const auto& [to, reply] : from.replies) {
    SendTo(now, to, reply, actions);
  }
  for (const VersionEvidence& sum : from.sums) {
    SendToAllZones(now, sum, actions);
  }
  for (const RolloutNotice& notice : from.notices) {
    SendToAllZones(now, notice, actions);
  }
  for (const RolloutStatusWrite& write : from.writes) {
    actions->push_back(WriteRolloutStatus{write});
  }
  rollouts_.UpdateGate(now.mono, &dispatcher_.rollout_gate());
  std::map<ServiceId, VersionRule> rules = rollouts_.Rules(now);
  if (directory_.SetVersionRules(std::move(rules))) {
    UpdateServices(now, actions);
  }
}

}  // namespace jd
