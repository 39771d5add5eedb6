#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "policy/pool.h"
#include "policy/slot_message.h"

namespace jd {

/// The slots of one endpoint that a holder has on loan, and what it knows about the endpoint.
struct HeldSlot {
  EndpointView view;
  /// Slots on loan, in use or idle, including those of calls that outlast their loan.
  int32_t held = 0;
  int32_t in_flight = 0;
  int32_t limit = kNoSlotLimit;  ///< Of the latest grant, or lowered by a load report.
  int32_t bound = kNoSlotLimit;  ///< Of the latest grant, or lowered by a load report.
  /// Slots in the reserve of this gateway, counting only those within the bound.
  int32_t reserve = 0;
  std::vector<size_t> assigned;            ///< Result of AssignReserve.
  std::multimap<MonoTime, int> deadlines;  ///< Deadlines of the calls in flight.
  double latency = 0;   ///< Moving average in microseconds; 0 before the first answer.
  MonoTime idle_since;  ///< When a slot last became idle.
  /// Set from the VM list or by a peer. Load reports of the endpoint don't clear it.
  bool leaving = false;
  bool draining = false;      ///< Set from the latest load report.
  EndpointEvidence evidence;  ///< Collected since the latest request to the owner.
  InstanceId instance;        ///< From the latest load report.
  PoolId pool;  ///< The pool that the slots belong to; empty after the endpoint was removed.

  /// Returns whether the endpoint must not get new calls.
  bool barred() const { return !view.usable || leaving || draining; }
};

/// The slots of one pool that a gateway has on loan, and the state of its exchange with the owner
/// of the pool. Used by SlotHolder.
struct HeldPool {
  PoolView view;
  std::map<EndpointId, HeldSlot> slots;
  GatewayId owner;  ///< Empty if no owner is known.
  Incarnation incarnation;
  GatewayId former;  ///< The owner before the latest change.
  Incarnation former_incarnation;
  uint64_t former_last_grant = 0;
  MonoTime reserve_floor;    ///< `reserve_back_at` before the latest change of owner.
  uint64_t sequence = 0;     ///< Of the latest request.
  uint64_t last_grant = 0;   ///< Sequence of the latest grant of this owner; 0 if there was none.
  MonoTime lease_end;        ///< When the loans expire.
  MonoTime last_heard;       ///< When the latest grant of any owner arrived.
  MonoTime reserve_back_at;  ///< Until then a former owner may lend this gateway's reserve.
  MonoTime next_request;     ///< When the next periodic request is due.
  bool heard = false;  ///< A grant has arrived since the start. The reserve is not used before.
  bool handed_over = false;  ///< An owner that handed the pool over has stopped lending its slots.
  bool pressure = false;     ///< Demand is unmet at the owner, so idle slots are returned at once.
  bool urgent = false;       ///< A request is to be sent before `next_request`.
  int32_t waiting = 0;       ///< Queued calls that count towards this pool.
  int32_t asked = 0;         ///< Demand in the latest request.
  double busy_mean = 0;      ///< Moving average of the calls in flight and queued.
  MonoTime busy_at;          ///< Time of the latest update of `busy_mean`.

  /// Returns whether calls use the reserve of this gateway, because no grant has arrived from an
  /// owner for kReserveSilence and all loans have expired.
  bool on_reserve(MonoTime now) const;
  /// Returns the maximum number of calls that may run at the endpoint concurrently.
  int32_t usable(MonoTime now, const HeldSlot& slot) const;
  int32_t total_slots() const;
  /// Returns the number of slots that the gateway needs in total at its recent load.
  int32_t wanted() const;
  /// Returns the number of calls in flight and queued.
  int32_t busy() const;
  void UpdateBusy(MonoTime now);
  /// Removes the loans if they have expired. Slots with a running call remain counted.
  void Expire(MonoTime now);
  /// Returns idle slots to the owner. @return whether there were any.
  bool ReturnIdle(MonoTime now);
  /// Recomputes the number of slots of each endpoint that belong to the reserve of this gateway.
  /// @param roster all gateways. @param self this gateway.
  void AssignSlotReserve(const std::vector<GatewayId>& roster, const GatewayId& self);
};

}  // namespace jd
