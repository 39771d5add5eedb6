#pragma once

#include <chrono>

#include "policy/fresh_load.h"
#include "tests/overload_reference.h"
#include "tests/overload_simulation.h"

namespace jd {

inline constexpr Duration kWarmUp = 3s;
inline constexpr Duration kBurst = 6s;

/// Returns the multiple of the scenario's normal demand that asks this share of what its endpoints
/// can do: each has 4 calls in progress below the load that makes it nearly full, and is slow for
/// 0.3 of the time.
inline double DemandFor(double share_of_room) {
  const OverloadScenario scenario;
  const SimulatedKind& kind = scenario.kinds.front();
  const double seconds = std::chrono::duration<double>(kind.service_time).count();
  const double speed = 1 - scenario.slow_share * (1 - 1 / scenario.slow_factor);
  return share_of_room * scenario.endpoints * 4 * speed / seconds / kind.per_second;
}

/// Returns the callers answered in time during a burst as a share of those that one queue with full
/// knowledge answers in time.
inline double ShareOfReference(const OverloadScenario& scenario, double demand) {
  OverloadReference reference(scenario, 1);
  reference.Run(kWarmUp, 1);
  reference.Run(1s, demand);
  const int best = reference.Run(kBurst, demand);
  OverloadSimulation<FreshLoad> simulation(scenario, 1);
  simulation.Run(kWarmUp, 1);
  simulation.Run(1s, demand);
  return static_cast<double>(simulation.Run(kBurst, demand).in_target) / best;
}

}  // namespace jd
