#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "policy/pool.h"
#include "policy/slot_message.h"

namespace jd {

/// The slots of one endpoint that a holder has on loan, and what it knows about the endpoint.
struct EndpointSlots {
  EndpointView view;
  /// Slots on loan, in use or idle, including those of calls that outlast their loan.
  int32_t held = 0;
  int32_t in_flight = 0;
  int32_t limit = kNoSlotLimit;  ///< Of the latest grant, or lowered by a load report.
  int32_t bound = kNoSlotLimit;  ///< Of the latest grant, or lowered by a load report.
  /// Slots in the reserve of this gateway, counting only those within the bound.
  int32_t reserve = 0;
  std::vector<size_t> reserve_gateways;    ///< Result of AssignReserve.
  std::multimap<MonoTime, int> deadlines;  ///< Deadlines of the calls in flight.
  double mean_latency_us = 0;              ///< Moving average; 0 before the first answer.
  MonoTime idle_since;                     ///< When a slot last became idle.
  /// Set from the VM list or by a peer. Load reports of the endpoint don't clear it.
  bool leaving = false;
  bool draining = false;      ///< Set from the latest load report.
  EndpointEvidence evidence;  ///< Collected since the latest request to the owner.
  InstanceId instance;        ///< From the latest load report.
  PoolId pool;  ///< The pool that the slots belong to; empty after the endpoint was removed.

  /// Returns whether the endpoint must not get new calls.
  bool closed_to_new_calls() const { return !view.usable || leaving || draining; }
};

/// The slots of one pool that a gateway has on loan, and the state of its exchange with the owner
/// of the pool. Used by SlotHolder.
struct HeldPool {
  PoolView view;
  std::map<EndpointId, EndpointSlots> endpoints;
  GatewayId owner;  ///< Empty if no owner is known.
  Incarnation owner_incarnation;
  GatewayId former_owner;  ///< The owner before the latest change.
  Incarnation former_owner_incarnation;
  uint64_t former_owner_last_grant = 0;
  /// `reserve_available_at` before the latest change of owner.
  MonoTime previous_reserve_available_at;
  uint64_t sequence = 0;     ///< Of the latest request.
  uint64_t last_grant = 0;   ///< Sequence of the latest grant of this owner; 0 if there was none.
  MonoTime loans_expire_at;  ///< When the loans expire.
  MonoTime last_grant_received;   ///< When the latest grant of any owner arrived.
  MonoTime reserve_available_at;  ///< Until then a former owner may lend this gateway's reserve.
  MonoTime next_request;          ///< When the next periodic request is due.
  /// Whether a grant of any owner has arrived since the start. The reserve is not used before.
  bool heard_from_owner = false;
  /// Whether the latest grant said that its owner has handed the pool over and lends no more slots.
  bool handed_over = false;
  bool pressure = false;  ///< Demand is unmet at the owner, so idle slots are returned at once.
  bool request_urgent = false;   ///< A request is to be sent before `next_request`.
  int32_t queued_calls = 0;      ///< Queued calls that count towards this pool.
  int32_t requested_demand = 0;  ///< Demand in the latest request.
  double mean_busy = 0;          ///< Moving average of the calls in flight and queued.
  MonoTime mean_busy_updated;    ///< Time of the latest update of `mean_busy`.

  /// Returns whether calls use the reserve of this gateway, because no grant has arrived from an
  /// owner for kOwnerSilenceTimeout and all loans have expired.
  bool uses_reserve(MonoTime now) const;
  /// Returns the maximum number of calls that may run at the endpoint concurrently.
  int32_t usable_slots(MonoTime now, const EndpointSlots& slots) const;
  /// Returns the total number of slots of the endpoints, whether lent or not.
  int32_t total_slots() const;
  /// Returns the number of slots that the gateway needs in total at its recent load.
  int32_t wanted_slots() const;
  /// Returns the number of calls in flight and queued.
  int32_t busy_calls() const;
  void UpdateMeanBusy(MonoTime now);
  /// Removes the loans if they have expired. Slots with a running call remain counted.
  void ExpireLoans(MonoTime now);
  /// Returns idle slots to the owner. @return whether there were any.
  bool ReturnIdleSlots(MonoTime now);
  /// Recomputes the number of slots of each endpoint that belong to the reserve of this gateway.
  /// @param roster all gateways. @param self this gateway.
  void UpdateReserve(const std::vector<GatewayId>& roster, const GatewayId& self);
};

}  // namespace jd
