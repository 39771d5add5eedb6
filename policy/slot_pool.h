#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "policy/pool.h"
#include "policy/slot_message.h"

namespace jd {

/// What one gateway holds of an endpoint.
struct HeldSlot {
  EndpointView view;
  int32_t held = 0;  ///< On loan, in use or idle; calls that outlive their loan are included.
  int32_t in_flight = 0;
  int32_t limit = kNoSlotLimit;
  int32_t bound = kNoSlotLimit;
  int32_t reserve = 0;  ///< Slots of this gateway's reserve below the bound.
  std::vector<size_t> assigned;
  std::multimap<MonoTime, int> deadlines;
  double latency = 0;  ///< Recent mean in microseconds.
  MonoTime idle_since;
  bool leaving = false;   ///< As the VM list or a peer says; its own reports do not end it.
  bool draining = false;  ///< As its latest report says.
  EndpointEvidence evidence;
  InstanceId instance;
  PoolId pool;  ///< Whose owner lent the slots; empty after the endpoint was removed.

  /// No new call may be sent there.
  bool barred() const { return !view.usable || leaving || draining; }
};

/// What one gateway holds of a pool; used by SlotHolder.
struct HeldPool {
  PoolView view;
  std::map<EndpointId, HeldSlot> slots;
  GatewayId owner;
  Incarnation incarnation;
  GatewayId former;
  Incarnation former_incarnation;
  uint64_t former_last_grant = 0;
  MonoTime reserve_floor;  ///< `reserve_back_at` before the latest change of owner.
  uint64_t sequence = 0;
  uint64_t last_grant = 0;
  MonoTime lease_end;
  MonoTime last_heard;       ///< Last grant from any owner.
  MonoTime reserve_back_at;  ///< Until then a former owner may lend this gateway's reserve.
  MonoTime next_request;
  bool heard = false;  ///< Some owner was heard since the start; without, no reserve.
  bool handed_over = false;
  bool pressure = false;
  bool urgent = false;
  int32_t waiting = 0;
  int32_t asked = 0;     ///< Demand in the last request.
  double busy_mean = 0;  ///< Recent mean of calls in flight and waiting.
  MonoTime busy_at;

  bool on_reserve(MonoTime now) const;
  /// Returns how many calls may run at the endpoint at once.
  int32_t usable(MonoTime now, const HeldSlot& slot) const;
  int32_t total_slots() const;
  /// Slots to hold in total, by the recent rate.
  int32_t wanted() const;
  int32_t busy() const;
  void UpdateBusy(MonoTime now);
  /// Drops the loans that have expired.
  void Expire(MonoTime now);
  /// Gives idle slots back. @return whether there were any.
  bool ReturnIdle(MonoTime now);
  void AssignSlotReserve(const std::vector<GatewayId>& roster, const GatewayId& self);
};

}  // namespace jd
