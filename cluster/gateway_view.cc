#include "cluster/gateway_view.h"

#include <algorithm>
#include <utility>

namespace jd {

GatewayView::GatewayView(std::vector<GatewayHash> gateways) : gateways_(std::move(gateways)) {
  std::sort(gateways_.begin(), gateways_.end());
}

GatewayViewPtr GatewayView::Of(const std::vector<GatewayId>& gateways) {
  std::vector<GatewayHash> hashes;
  hashes.reserve(gateways.size());
  for (const GatewayId& gateway : gateways) {
    hashes.push_back(HashOf(gateway));
  }
  return std::make_shared<const GatewayView>(std::move(hashes));
}

bool GatewayView::Contains(GatewayHash gateway) const {
  return std::binary_search(gateways_.begin(), gateways_.end(), gateway);
}

GatewayHash GatewayView::OwnerOf(const PoolId& pool) const {
  const auto [owner, added] = owners_.try_emplace(pool);
  if (added) {
    owner->second = OwnerByHash(pool, gateways_);
  }
  return owner->second;
}

}  // namespace jd
