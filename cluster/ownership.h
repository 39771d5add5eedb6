#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "common/ids.h"

namespace jd {

/// The hash of a gateway's id, the same in every process.
using GatewayHash = NumberId<struct GatewayHashTag>;

GatewayHash HashOf(const GatewayId& gateway);

/// Returns the owner of a pool as the function below does, from the hashes of the gateways' ids.
GatewayHash OwnerByHash(const PoolId& pool, const std::vector<GatewayHash>& gateways);

/// Returns the owner of a pool by rendezvous hashing, or an empty ID if `gateways` is empty. When a
/// gateway joins, only the pools that it gets change their owner; when a gateway leaves, only the
/// pools that it owned do.
GatewayId OwnerOf(const PoolId& pool, const std::vector<GatewayId>& gateways);

/// Tracks the owner of each pool and determines which pools this gateway gains or loses when the
/// live gateways or the pools change.
class Ownership {
 public:
  /// The pools of which this gateway became the owner, and those of which it no longer is.
  struct Change {
    std::vector<PoolId> gained;
    std::vector<PoolId> lost;
  };

  explicit Ownership(GatewayId self) : self_(std::move(self)) {}

  /// Sets the current pools and live gateways, both in any order.
  /// @return the pools gained and lost since the previous call.
  Change Update(const std::vector<GatewayId>& gateways, const std::vector<PoolId>& pools);

  /// Returns the owner of a pool as this gateway sees it, or an empty ID if the pool is unknown or
  /// no gateway is live.
  GatewayId owner(const PoolId& pool) const;
  bool owns(const PoolId& pool) const { return !self_.empty() && owner(pool) == self_; }

 private:
  GatewayId self_;
  std::map<PoolId, GatewayId> owners_;
};

}  // namespace jd
