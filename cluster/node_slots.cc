#include "cluster/node_slots.h"

#include <algorithm>
#include <utility>

namespace jd {

NodeSlots::NodeSlots(const NodeSettings& settings, SlotHolder* holder)
    : self_(settings.id),
      incarnation_(settings.incarnation),
      only_gateway_(!settings.has_platform && settings.seeds.empty()),
      holder_(holder),
      owner_(settings.incarnation),
      ownership_(settings.id) {}

void NodeSlots::SetPool(MonoTime now, const PoolView& pool) {
  owner_.SetPool(now, pool, zone_shares_);
}

void NodeSlots::SetServices(MonoTime now,
                            const std::vector<ServiceView>& services,
                            const std::vector<ServiceId>& removed) {
  if (holder_ == nullptr) {
    return;
  }
  std::vector<ServiceId> replaced = removed;
  for (const ServiceView& service : services) {
    replaced.push_back(service.id);
  }
  std::map<PoolId, PoolView> updated;
  for (const ServiceView& service : services) {
    for (PoolView& pool : SplitIntoPools(service)) {
      updated.emplace(pool.id, std::move(pool));
    }
  }
  for (auto pool = pools_.begin(); pool != pools_.end();) {
    const bool affected =
        std::find(replaced.begin(), replaced.end(), pool->second.service) != replaced.end();
    if (affected && !updated.contains(pool->first)) {
      owner_.RemovePool(pool->first);
      pool = pools_.erase(pool);
    } else {
      ++pool;
    }
  }
  for (auto& [id, pool] : updated) {
    SetPool(now, pool);
    pools_.insert_or_assign(id, std::move(pool));
  }
  UpdateOwnership(now);
}

void NodeSlots::SetZoneShares(MonoTime now, const std::map<ZoneId, double>& shares) {
  if (holder_ == nullptr || shares == zone_shares_) {
    return;
  }
  zone_shares_ = shares;
  for (const auto& [id, pool] : pools_) {
    SetPool(now, pool);
  }
}

void NodeSlots::SetMembers(MonoTime now, const Members& members) {
  if (holder_ == nullptr) {
    return;
  }
  if (members.roster != members_.roster && !only_gateway_) {
    owner_.SetRoster(now, members.roster);
    holder_->SetRoster(now, members.roster);
  }
  members_ = members;
  UpdateOwnership(now);
}

void NodeSlots::UpdateOwnership(MonoTime now) {
  std::vector<PoolId> ids;
  ids.reserve(pools_.size());
  for (const auto& [id, pool] : pools_) {
    ids.push_back(id);
  }
  const Ownership::Change change = ownership_.Update(members_.owner_candidates, ids);
  for (const PoolId& pool : change.lost) {
    owner_.DropOwnership(now, pool);
    ownership_changed_ = true;
  }
  for (const PoolId& pool : change.gained) {
    if (!handed_over_) {
      // If this is the only gateway, there is no former owner whose loans must expire first.
      owner_.TakeOwnership(only_gateway_ ? now - kLoanLifetimeAtOwner : now, pool);
      ownership_changed_ = true;
    }
  }
  for (const PoolId& pool : ids) {
    const GatewayId owner = ownership_.owner(pool);
    const auto incarnation = members_.incarnations.find(owner);
    holder_->SetOwner(now, pool, owner,
                      owner == self_                               ? incarnation_
                      : incarnation == members_.incarnations.end() ? Incarnation()
                                                                   : incarnation->second);
  }
}

void NodeSlots::HandOverPools(MonoTime now) {
  handed_over_ = true;
  for (const PoolId& pool : owned_pools()) {
    owner_.DropOwnership(now, pool);
  }
}

void NodeSlots::OnRequest(MonoTime now,
                          const GatewayId& from,
                          Incarnation incarnation,
                          const SlotRequest& request) {
  if (holder_ != nullptr && pools_.contains(request.pool)) {
    owner_.OnRequest(now, from, incarnation, request);
  }
}

void NodeSlots::OnGrant(MonoTime now, const GatewayId& from, const SlotGrant& grant) {
  if (holder_ != nullptr && holder_->OnGrant(now, from, grant)) {
    capacity_added_ = true;
  }
}

void NodeSlots::OnGatewayDead(MonoTime now, const GatewayId& gateway) {
  owner_.OnHolderDead(now, gateway);
}

void NodeSlots::OnGatewayLeft(MonoTime now, const GatewayId& gateway) {
  owner_.OnHolderLeft(now, gateway);
}

void NodeSlots::OnEndpointLeaving(MonoTime now, const EndpointId& endpoint) {
  if (holder_ != nullptr) {
    holder_->OnEndpointLeaving(now, endpoint);
    owner_.OnEndpointLeaving(now, endpoint);
  }
}

void NodeSlots::OnEndpointServing(MonoTime now, const EndpointId& endpoint) {
  if (holder_ != nullptr) {
    holder_->OnEndpointServing(now, endpoint);
    owner_.OnEndpointServing(now, endpoint);
  }
}

void NodeSlots::OnProbeReport(MonoTime now, const EndpointId& endpoint, const LoadReport& report) {
  owner_.OnProbeReport(now, endpoint, report);
}

NodeSlots::Output NodeSlots::Flush(MonoTime now) {
  Output output;
  output.ownership_changed = std::exchange(ownership_changed_, false);
  if (holder_ == nullptr) {
    return output;
  }
  // A request from this gateway to itself can cause a grant to itself, and the other way round.
  // Each pass delivers all of them, and the holder requests only the slots that it still lacks, so
  // two passes are enough.
  for (int pass = 0; pass < 2; ++pass) {
    for (OutgoingSlotRequest& outgoing : holder_->TakeRequests(now)) {
      if (outgoing.to == self_) {
        owner_.OnRequest(now, self_, incarnation_, outgoing.request);
      } else {
        output.messages.push_back({outgoing.to, std::move(outgoing.request)});
      }
    }
    for (OutgoingSlotGrant& outgoing : owner_.TakeGrants(now)) {
      if (outgoing.to == self_) {
        OnGrant(now, self_, outgoing.grant);
      } else {
        output.messages.push_back({outgoing.to, std::move(outgoing.grant)});
      }
    }
  }
  output.capacity_added = std::exchange(capacity_added_, false);
  return output;
}

std::optional<MonoTime> NodeSlots::next_timer() const {
  if (holder_ == nullptr) {
    return std::nullopt;
  }
  const std::optional<MonoTime> owner = owner_.next_timer();
  const std::optional<MonoTime> holder = holder_->next_timer();
  if (!owner || !holder) {
    return owner ? owner : holder;
  }
  return std::min(*owner, *holder);
}

std::vector<PoolId> NodeSlots::owned_pools() const {
  std::vector<PoolId> owned;
  for (const auto& [id, pool] : pools_) {
    if (owner_.owns(id)) {
      owned.push_back(id);
    }
  }
  return owned;
}

}  // namespace jd
