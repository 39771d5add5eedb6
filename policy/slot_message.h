#pragma once

#include <cstdint>
#include <vector>

#include "common/ids.h"
#include "common/load_report.h"
#include "common/units.h"

namespace jd {

constexpr int32_t kNoSlotLimit = 1 << 20;

/// What a holder holds of one endpoint, or knows of its bound.
struct HeldSlots {
  EndpointId endpoint;
  int32_t held = 0;              ///< Slots on loan, in use or idle.
  int32_t in_flight = 0;         ///< Calls running there.
  Duration longest_left{0};      ///< Time until the latest deadline of the calls in flight.
  int32_t bound = kNoSlotLimit;  ///< Bound in the latest grant; a new owner starts no higher.
  bool operator==(const HeldSlots&) const = default;
};

/// What a holder saw of one endpoint since its last message to the owner.
struct EndpointEvidence {
  EndpointId endpoint;
  InstanceId instance;  ///< Latest instance id, empty if the endpoint names none.
  int32_t successes = 0;
  int32_t failures = 0;     ///< Lost connections, time-outs, server errors.
  int32_t refusals = 0;     ///< Refused by the upstream before running.
  Duration latency_sum{0};  ///< Of the successes.
  Duration latency_max{0};
  EndpointState state = EndpointState::kWarm;  ///< Latest report of the upstream about itself.
  bool reported = false;                       ///< `state` and `instance` come from a report.
  bool operator==(const EndpointEvidence&) const = default;
};

/// Holder to owner: demand, renewal, returns and evidence of one pool.
struct SlotRequest {
  PoolId pool;
  Incarnation owner;      ///< The owner's incarnation as the holder knows it.
  uint64_t sequence = 0;  ///< Rises by one with each request of the holder for the pool.
  uint64_t last_grant =
      0;               ///< Sequence of the latest grant taken in; what is missing was returned.
  MonoTime sent;       ///< Holder's clock, echoed by the grant; loans run from here.
  int32_t demand = 0;  ///< Calls waiting that no held slot serves.
  int32_t wanted = 0;  ///< Slots to hold in total, by the recent rate; lent if nobody waits.
  /// Time until the sender's reserve may back loans of this owner; a former owner may lend it so
  /// long.
  Duration reserve_in{0};
  bool handed_over = false;  ///< The former owner ended its lending; claims may be renewed at once.
  ZoneId zone;
  std::vector<HeldSlots> held;
  std::vector<EndpointEvidence> evidence;
  bool operator==(const SlotRequest&) const = default;
};

/// A loan runs this long from the send time of the request that it answers.
constexpr Duration kLoanLifetime = 1000ms;
/// The owner frees a silent holder's slots only after this, which allows for clocks that differ in
/// rate by 10%.
constexpr Duration kLoanLifetimeAtOwner = 1100ms;
/// Every gateway sends one request in this time for each pool, also if it holds nothing.
constexpr Duration kRenewalPeriod = 250ms;
/// The owner counts a gateway's reserve as lendable if the gateway is known to have received a
/// message sent at most this long ago. Two renewal periods pass in the usual case, so that one lost
/// message is tolerated.
constexpr Duration kReserveContact = 800ms;
/// After its last message from a former owner a gateway's reserve backs no loan of another owner
/// for this time: kReserveContact + kLoanLifetimeAtOwner, and 100 ms for clock rates.
constexpr Duration kReserveHandover = 2000ms;
/// A gateway that heard nothing of the owner for this time uses its own reserve.
constexpr Duration kReserveSilence = 3000ms;

/// Lent slots of one endpoint.
struct GrantedSlots {
  EndpointId endpoint;
  int32_t added = 0;             ///< Slots lent in addition to what the holder has.
  int32_t limit = kNoSlotLimit;  ///< At most this many may be used; the rest is returned once idle.
  int32_t bound = 0;             ///< The endpoint's bound over all gateways.
  bool operator==(const GrantedSlots&) const = default;
};

/// Owner to holder: the answer to a SlotRequest, or slots freed for a demand made earlier.
struct SlotGrant {
  PoolId pool;
  Incarnation owner;
  Incarnation holder;     ///< A grant to a former run of the gateway must not reach the next one.
  uint64_t sequence = 0;  ///< Rises with each grant of the owner.
  uint64_t request = 0;   ///< Latest request taken in.
  MonoTime request_sent;  ///< Echo of that request's `sent`.
  Duration lifetime{0};   ///< Loans expire at request_sent + lifetime on the holder's clock.
  bool pressure = false;  ///< Demand is unmet: idle slots are to be returned at once.
  bool handed_over = false;  ///< The sender stopped being owner and lends nothing more.
  std::vector<GrantedSlots> slots;
  bool operator==(const SlotGrant&) const = default;
};

}  // namespace jd
