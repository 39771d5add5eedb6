#pragma once

#include "cluster/rollout_message.h"
#include "common/units.h"
#include "policy/rollout_counts.h"
#include "policy/rollout_gate.h"

namespace jd {

/// What a version that is not proved yet may get, from all gateways together.
struct RolloutBounds {
  /// Largest part of a service's requests between the order and its end.
  double exposure_share = 0.1;
  /// Requests beyond that part.
  double exposure_slack = 50;
  /// Time after which a version that has shown to be bad gets no request.
  Duration rollback = 5s;
};

/// Returns whether the counts show that the ordered version fails or is slow more often than the
/// other versions, at more endpoints than a few sick ones.
bool ShowsBadVersion(const RolloutCounts& counts);

/// Returns whether the counts raise a suspicion that is too weak for ShowsBadVersion, but strong
/// enough to wait for more.
bool RaisesSuspicion(const RolloutCounts& counts);

/// What the next phase of a roll-out depends on.
struct RolloutProgress {
  RolloutPhase phase = RolloutPhase::kWatching;
  Duration age{0};        ///< Since the order.
  Duration phase_age{0};  ///< Since the phase began.
  Duration duration{0};   ///< From the order to its end.
  int64_t new_calls = 0;  ///< Calls that have ended at the ordered version.
  bool suspicious = false;
  bool has_capacity = true;  ///< The endpoints of the ordered version can carry all calls.
};

/// Returns the phase that the roll-out is in now; at most one after the current one.
RolloutPhase NextPhase(const RolloutProgress& progress);

/// Returns whether a version has too little evidence to be used before the order ends.
bool IsOverdue(const RolloutProgress& progress);

/// Returns what a gateway may send to the ordered version in a phase.
RolloutShare ShareIn(RolloutPhase phase, const RolloutBounds& bounds);

}  // namespace jd
