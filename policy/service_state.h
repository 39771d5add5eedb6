#pragma once

#include <optional>
#include <vector>

#include "policy/call.h"
#include "policy/call_queue.h"
#include "policy/retry_budget.h"
#include "policy/room_shortage.h"
#include "policy/service_load.h"

namespace jd {

/// The state that one gateway keeps for the calls of one service.
struct ServiceState {
  CallQueue queue;
  RetryBudget budget;
  ServiceLoad load;
  std::vector<EndpointId> usable;        ///< Endpoints to which new attempts may be sent.
  std::optional<MonoTime> usable_until;  ///< When `usable` last became empty.
  bool has_service_view = false;         ///< `usable` was set from a ServiceView.
  RoomShortage shortage;                 ///< Ranks whose calls have lacked room recently.
  /// Earliest time at which an endpoint that wants nothing may get calls again; nothing if an
  /// endpoint is usable or none wants nothing.
  std::optional<MonoTime> returns_at;
  int32_t calls = 0;                  ///< Calls in progress, waiting or in flight.
  int32_t reported_queue_length = 0;  ///< Queue length last reported to the policy.

  /// Sets the usable endpoints, and records the time if none is left.
  void SetUsable(MonoTime now, std::vector<EndpointId> endpoints);
  /// Returns whether there was a usable endpoint at any time after `since`.
  bool HadUsableEndpointSince(MonoTime since) const;
  /// Returns the endpoints that the next attempt of a call must avoid: those that the call has
  /// tried, or none if it has tried every usable endpoint.
  std::vector<EndpointId> ExcludedEndpoints(const Call& call) const;
  /// Returns after how long a refused caller may retry: the estimated time to serve the current
  /// queue.
  Duration RetryAfter(MonoTime now) const;
};

}  // namespace jd
