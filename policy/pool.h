#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "common/ids.h"
#include "policy/routing_policy.h"

namespace jd {

/// Maximum number of endpoints in a pool. It is large enough that a typical service is a single
/// pool, so that one slot request covers every free slot of the service.
constexpr size_t kMaxPoolEndpoints = 64;

/// A group of endpoints of one service. One gateway, the owner of the pool, lends the slots of all
/// these endpoints.
struct PoolView {
  PoolId id;
  ServiceId service;
  std::vector<EndpointView> endpoints;
};

inline PoolId PoolIdOf(const ServiceId& service, size_t index) {
  return PoolId(service.value + "#" + std::to_string(index));
}

/// Splits the endpoints of a service into pools in configuration order, so that an endpoint that is
/// added at the end moves no other endpoint to a different pool.
inline std::vector<PoolView> SplitIntoPools(const ServiceView& service) {
  std::vector<PoolView> pools;
  for (size_t start = 0; start < service.endpoints.size(); start += kMaxPoolEndpoints) {
    const size_t end = std::min(start + kMaxPoolEndpoints, service.endpoints.size());
    PoolView pool{PoolIdOf(service.id, pools.size()), service.id, {}};
    pool.endpoints.assign(service.endpoints.begin() + static_cast<std::ptrdiff_t>(start),
                          service.endpoints.begin() + static_cast<std::ptrdiff_t>(end));
    pools.push_back(std::move(pool));
  }
  return pools;
}

}  // namespace jd
