#pragma once

#include <map>
#include <vector>

#include "common/ids.h"

namespace jd {

/// Returns the owner of a pool by rendezvous hashing, or an empty id if there is no gateway.
/// A gateway that joins or leaves moves only the pools that it owns afterwards or owned before.
GatewayId OwnerOf(const PoolId& pool, const std::vector<GatewayId>& gateways);

/// Tells which pools a gateway gained or lost as the live gateways or the pools change.
class Ownership {
 public:
  struct Change {
    std::vector<PoolId> gained;
    std::vector<PoolId> lost;
  };

  explicit Ownership(GatewayId self) : self_(std::move(self)) {}

  /// Takes the present pools and live gateways, in any order.
  Change Update(const std::vector<GatewayId>& gateways, const std::vector<PoolId>& pools);

  /// Owner in this gateway's view; empty if the pool is unknown or no gateway is live.
  GatewayId owner(const PoolId& pool) const;
  bool owns(const PoolId& pool) const { return !self_.empty() && owner(pool) == self_; }

 private:
  GatewayId self_;
  std::map<PoolId, GatewayId> owners_;
};

}  // namespace jd
