#pragma once

#include <optional>
#include <vector>

#include "policy/call.h"
#include "policy/call_queue.h"
#include "policy/retry_budget.h"
#include "policy/service_load.h"

namespace jd {

/// What one gateway keeps of a service for its calls.
struct ServiceState {
  CallQueue queue;
  RetryBudget budget;
  ServiceLoad load;
  std::vector<EndpointId> usable;        ///< Endpoints that may get new attempts.
  std::optional<MonoTime> usable_until;  ///< When `usable` last became empty.
  bool viewed = false;                   ///< `usable` comes from a ServiceView.
  int32_t calls = 0;                     ///< Calls under way, waiting or in flight.
  int32_t told_waiting = 0;              ///< Queue length last told to the policy.

  void SetUsable(MonoTime now, std::vector<EndpointId> endpoints);
  /// Returns whether there was a usable endpoint at any time after `since`.
  bool UsableSince(MonoTime since) const;
  /// Returns the endpoints that the next attempt of a call must avoid: those tried, unless there is
  /// no other.
  std::vector<EndpointId> Excluded(const Call& call) const;
  /// Returns when a refused caller may try again: once the present queue is likely served.
  Duration RetryAfter(MonoTime now) const;
};

}  // namespace jd
