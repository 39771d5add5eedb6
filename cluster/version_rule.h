#pragma once

#include <cstdint>
#include <set>

#include "cluster/rollout.h"
#include "common/configuration.h"
#include "policy/routing_policy.h"

namespace jd {

/// Which software versions of a service may get calls.
struct VersionRule {
  SoftwareVersion to;  ///< Ordered version; empty without a roll-out.
  RolloutUse use = RolloutUse::kSplit;
  /// Part of the calls that goes to the ordered version. It is sent to about this part of its
  /// endpoints in each zone, so that they are loaded as the others are.
  double share = 1;
  uint64_t rotation = 0;  ///< Chooses these endpoints.
  /// Versions of earlier orders that were not completed.
  std::set<SoftwareVersion> blocked = {};
  bool operator==(const VersionRule&) const = default;
};

/// Applies a rule to the endpoints of a service.
/// @param[in,out] view has the endpoints of `service` in the same order.
void ApplyVersionRule(const Service& service, const VersionRule& rule, ServiceView* view);

}  // namespace jd
