#include "cluster/ownership.h"

#include <xxhash.h>

#include <cstdint>
#include <utility>

namespace jd {
namespace {

uint64_t Hash(const std::string& text, uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

}  // namespace

GatewayHash HashOf(const GatewayId& gateway) {
  return GatewayHash(Hash(gateway.value, 0));
}

GatewayHash OwnerByHash(const PoolId& pool, const std::vector<GatewayHash>& gateways) {
  GatewayHash best;
  uint64_t best_score = 0;
  for (const GatewayHash gateway : gateways) {
    const uint64_t score = Hash(pool.value, gateway.value);
    if (best == GatewayHash() || score > best_score) {
      best = gateway;
      best_score = score;
    }
  }
  return best;
}

GatewayId OwnerOf(const PoolId& pool, const std::vector<GatewayId>& gateways) {
  const GatewayId* best = nullptr;
  uint64_t best_score = 0;
  for (const GatewayId& gateway : gateways) {
    const uint64_t score = Hash(pool.value, HashOf(gateway).value);
    // If scores are equal, the lowest ID wins, so that every gateway chooses the same owner.
    if (best == nullptr || score > best_score || (score == best_score && gateway < *best)) {
      best = &gateway;
      best_score = score;
    }
  }
  return best == nullptr ? GatewayId() : *best;
}

Ownership::Change Ownership::Update(const std::vector<GatewayId>& gateways,
                                    const std::vector<PoolId>& pools) {
  Change change;
  std::map<PoolId, GatewayId> new_owners;
  for (const PoolId& pool : pools) {
    new_owners[pool] = OwnerOf(pool, gateways);
  }
  for (const auto& [pool, owner] : new_owners) {
    if (owner == self_ && !owns(pool)) {
      change.gained.push_back(pool);
    }
  }
  for (const auto& [pool, owner] : owners_) {
    const auto new_owner = new_owners.find(pool);
    if (owner == self_ && (new_owner == new_owners.end() || new_owner->second != self_)) {
      change.lost.push_back(pool);
    }
  }
  owners_ = std::move(new_owners);
  return change;
}

GatewayId Ownership::owner(const PoolId& pool) const {
  const auto owner = owners_.find(pool);
  return owner == owners_.end() ? GatewayId() : owner->second;
}

}  // namespace jd
