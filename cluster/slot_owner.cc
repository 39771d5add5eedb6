#include "cluster/slot_owner.h"

#include <algorithm>

namespace jd {

void SlotOwner::SetPool(MonoTime now,
                        const PoolView& view,
                        const std::map<ZoneId, double>& zone_shares) {
  pools_.try_emplace(view.id, incarnation_).first->second.SetView(now, view, zone_shares, roster_);
}

void SlotOwner::RemovePool(const PoolId& pool) {
  pools_.erase(pool);
}

void SlotOwner::TakeOwnership(MonoTime now, const PoolId& pool) {
  const auto found = pools_.find(pool);
  if (found != pools_.end()) {
    found->second.TakeOwnership(now);
  }
}

void SlotOwner::DropOwnership(MonoTime, const PoolId& pool) {
  const auto found = pools_.find(pool);
  if (found != pools_.end()) {
    found->second.DropOwnership();
  }
}

void SlotOwner::SetRoster(MonoTime now, std::vector<GatewayId> roster) {
  roster_ = std::move(roster);
  for (auto& [id, pool] : pools_) {
    pool.SetRoster(now, roster_);
  }
}

void SlotOwner::OnRequest(MonoTime now,
                          const GatewayId& from,
                          Incarnation incarnation,
                          const SlotRequest& request) {
  const auto found = pools_.find(request.pool);
  if (found != pools_.end()) {
    found->second.OnRequest(now, from, incarnation, request);
  }
}

void SlotOwner::OnHolderDead(MonoTime now, const GatewayId& gateway) {
  for (auto& [id, pool] : pools_) {
    pool.OnHolderGone(now, gateway, false);
  }
}

void SlotOwner::OnHolderLeft(MonoTime now, const GatewayId& gateway) {
  for (auto& [id, pool] : pools_) {
    pool.OnHolderGone(now, gateway, true);
  }
}

void SlotOwner::OnProbeReport(MonoTime now, const EndpointId& endpoint, const LoadReport& report) {
  for (auto& [id, pool] : pools_) {
    if (pool.contains(endpoint)) {
      pool.OnProbeReport(now, endpoint, report);
    }
  }
}

void SlotOwner::OnEndpointLeaving(MonoTime now, const EndpointId& endpoint) {
  SetLeaving(now, endpoint, true);
}

void SlotOwner::OnEndpointServing(MonoTime now, const EndpointId& endpoint) {
  SetLeaving(now, endpoint, false);
}

void SlotOwner::SetLeaving(MonoTime now, const EndpointId& endpoint, bool leaving) {
  for (auto& [id, pool] : pools_) {
    if (pool.contains(endpoint)) {
      pool.SetLeaving(now, endpoint, leaving);
    }
  }
}

std::vector<OutgoingSlotGrant> SlotOwner::TakeGrants(MonoTime now) {
  std::vector<OutgoingSlotGrant> grants;
  for (auto& [id, pool] : pools_) {
    pool.TakeGrants(now, &sequence_, &grants);
  }
  return grants;
}

std::optional<MonoTime> SlotOwner::next_timer() const {
  std::optional<MonoTime> next;
  for (const auto& [id, pool] : pools_) {
    if (const auto due = pool.next_timer()) {
      next = next ? std::min(*next, *due) : *due;
    }
  }
  return next;
}

bool SlotOwner::owns(const PoolId& pool) const {
  const auto found = pools_.find(pool);
  return found != pools_.end() && found->second.owned();
}

const OwnedPool* SlotOwner::FindOwnedPool(const EndpointId& endpoint) const {
  for (const auto& [id, pool] : pools_) {
    if (pool.owned() && pool.contains(endpoint)) {
      return &pool;
    }
  }
  return nullptr;
}

int32_t SlotOwner::bound(const EndpointId& endpoint) const {
  const OwnedPool* pool = FindOwnedPool(endpoint);
  return pool == nullptr ? 0 : pool->bound(endpoint);
}

int32_t SlotOwner::lent(const EndpointId& endpoint) const {
  const OwnedPool* pool = FindOwnedPool(endpoint);
  return pool == nullptr ? 0 : pool->lent(endpoint);
}

}  // namespace jd
