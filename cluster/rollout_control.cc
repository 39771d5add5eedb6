#include "cluster/rollout_control.h"

#include <algorithm>

namespace jd {
namespace {

// How long the same endpoints of a version are watched.
constexpr std::chrono::seconds kRotationPeriod = 10s;

}  // namespace

void RolloutControl::Replace(MonoTime now, const RolloutOrder& order) {
  const auto known = rollouts_.find(order.service);
  if (known != rollouts_.end()) {
    if (known->second.outcome() != RolloutState::kCompleted) {
      blocked_[order.service].insert(known->second.order().to);
    }
    rollouts_.erase(known);
  }
  blocked_[order.service].erase(order.to);
  rollouts_.emplace(order.service, Rollout(now, self_, order));
}

void RolloutControl::SetOrders(MonoTime now,
                               const std::map<ServiceId, RolloutOrder>& orders,
                               StoreEra era,
                               RolloutGate* gate) {
  for (const auto& [service, order] : orders) {
    const auto known = rollouts_.find(service);
    if (known != rollouts_.end() && known->second.order().to == order.to) {
      known->second.OnOrder(now, order);
    } else {
      Replace(now, order);
      gate_generations_.erase(service);
    }
  }
  for (auto entry = rollouts_.begin(); entry != rollouts_.end();) {
    auto& [service, rollout] = *entry;
    const bool gone = !orders.contains(service) && era <= rollout.order().era;
    if (gone && rollout.outcome() == RolloutState::kCompleted) {
      gate->Stop(service);
      gate_generations_.erase(service);
      entry = rollouts_.erase(entry);
      continue;
    }
    if (gone) {
      rollout.Withdraw();
    }
    ++entry;
  }
  UpdateGate(now, gate);
}

void RolloutControl::OnEvidence(MonoTime now,
                                const GatewayId& from,
                                Incarnation incarnation,
                                const VersionEvidence& evidence,
                                RolloutOutput* output) {
  const RolloutId& id = evidence.rollout;
  if (evidence.zone_sum && !rollouts_.contains(id.service)) {
    Replace(now, {id.service, id.to, Duration(0), id.row, StoreEra()});
  }
  const auto found = rollouts_.find(id.service);
  if (found != rollouts_.end()) {
    found->second.OnEvidence(now, from, incarnation, evidence, output);
  }
}

void RolloutControl::OnNotice(const RolloutNotice& notice) {
  const auto found = rollouts_.find(notice.rollout.service);
  if (found != rollouts_.end()) {
    found->second.OnNotice(notice);
  }
}

void RolloutControl::OnWriteResult(MonoTime now,
                                   const RolloutWriteResult& result,
                                   RolloutOutput* output) {
  const auto found = rollouts_.find(result.write.rollout.service);
  if (found != rollouts_.end()) {
    found->second.OnWriteResult(now, result, output);
  }
}

void RolloutControl::OnTimer(MonoTime now,
                             const SituationSource& situation,
                             RolloutOutput* output) {
  for (auto& [service, rollout] : rollouts_) {
    const std::optional<MonoTime> due = rollout.next_timer();
    if (due && *due <= now) {
      rollout.OnTimer(now, situation(rollout), output);
    }
  }
}

void RolloutControl::UpdateGate(MonoTime now, RolloutGate* gate) {
  for (const auto& [service, rollout] : rollouts_) {
    if (gate_generations_[service] != rollout.generation()) {
      gate_generations_[service] = rollout.generation();
      gate->Start(service);
    }
    gate->SetShare(service, rollout.share(now));
    gate->SetUsualLatencies(service, rollout.latest_counts());
  }
}

std::map<ServiceId, VersionRule> RolloutControl::Rules(Now now) const {
  std::map<ServiceId, VersionRule> rules;
  for (const auto& [service, versions] : blocked_) {
    if (!versions.empty()) {
      rules[service].blocked = versions;
    }
  }
  for (const auto& [service, rollout] : rollouts_) {
    if (rollout.over()) {
      continue;
    }
    VersionRule& rule = rules[service];
    rule.to = rollout.order().to;
    rule.use = rollout.use();
    if (rule.use == RolloutUse::kSplit && rollout.phase() < RolloutPhase::kProved) {
      rule.share = ShareIn(rollout.phase(), self_.bounds).share;
      rule.rotation = static_cast<uint64_t>(now.wall.time_since_epoch() / kRotationPeriod);
    }
  }
  return rules;
}

std::optional<MonoTime> RolloutControl::next_timer() const {
  std::optional<MonoTime> next;
  for (const auto& [service, rollout] : rollouts_) {
    if (const std::optional<MonoTime> due = rollout.next_timer()) {
      next = std::min(next.value_or(*due), *due);
    }
  }
  return next;
}

}  // namespace jd
