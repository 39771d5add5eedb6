#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "common/ids.h"
#include "policy/routing_policy.h"

namespace jd {

/// Endpoints of one pool at most; one request then reaches every free slot of a usual service.
constexpr size_t kPoolSize = 64;

/// Endpoints of one service whose slots are lent by one owner.
struct PoolView {
  PoolId id;
  ServiceId service;
  std::vector<EndpointView> endpoints;
};

inline PoolId PoolIdOf(const ServiceId& service, size_t index) {
  return PoolId(service.value + "#" + std::to_string(index));
}

/// Splits a service's endpoints into pools, in their order: endpoints added at the end move no
/// other endpoint to another pool.
inline std::vector<PoolView> SplitIntoPools(const ServiceView& service) {
  std::vector<PoolView> pools;
  for (size_t start = 0; start < service.endpoints.size(); start += kPoolSize) {
    const size_t end = std::min(start + kPoolSize, service.endpoints.size());
    PoolView pool{PoolIdOf(service.id, pools.size()), service.id, {}};
    pool.endpoints.assign(service.endpoints.begin() + static_cast<std::ptrdiff_t>(start),
                          service.endpoints.begin() + static_cast<std::ptrdiff_t>(end));
    pools.push_back(std::move(pool));
  }
  return pools;
}

}  // namespace jd
