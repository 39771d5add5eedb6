#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "cluster/ownership.h"
#include "common/ids.h"

namespace jd {

/// The gateways that one gateway considers able to own pools, by the hashes of their ids.
class GatewayView {
 public:
  /// Largest number of gateways in a view that a peer announces.
  static constexpr size_t kMaxGateways = 4096;

  /// @param gateways in any order.
  explicit GatewayView(std::vector<GatewayHash> gateways);
  /// @param gateways in any order.
  static std::shared_ptr<const GatewayView> Of(const std::vector<GatewayId>& gateways);

  /// In ascending order.
  const std::vector<GatewayHash>& gateways() const { return gateways_; }
  bool Contains(GatewayHash gateway) const;
  /// Returns the owner of a pool in this view, which must not be empty.
  GatewayHash OwnerOf(const PoolId& pool) const;
  bool operator==(const GatewayView& other) const { return gateways_ == other.gateways_; }

 private:
  std::vector<GatewayHash> gateways_;
  mutable std::map<PoolId, GatewayHash> owners_;  ///< Cache of OwnerOf.
};

/// Views are shared and never changed.
using GatewayViewPtr = std::shared_ptr<const GatewayView>;

}  // namespace jd
