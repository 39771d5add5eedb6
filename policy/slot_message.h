#pragma once

#include <cstdint>
#include <vector>

#include "common/ids.h"
#include "common/load_report.h"
#include "common/units.h"

namespace jd {

/// What a holder holds of one endpoint.
struct HeldSlots {
  EndpointId endpoint;
  int32_t held = 0;          ///< Slots on loan, in use or idle.
  int32_t in_flight = 0;     ///< Calls running there.
  Duration longest_left{0};  ///< Time until the latest deadline of the calls in flight.
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
  ZoneId zone;
  std::vector<HeldSlots> held;
  std::vector<EndpointEvidence> evidence;
  bool operator==(const SlotRequest&) const = default;
};

struct GrantedSlots {
  EndpointId endpoint;
  int32_t added = 0;  ///< Slots lent in addition to what the holder has.
  int32_t limit = 0;  ///< At most this many may be held; the holder returns the rest once idle.
  int32_t bound = 0;  ///< The endpoint's bound over all gateways.
  bool operator==(const GrantedSlots&) const = default;
};

/// Owner to holder: the answer to a SlotRequest, or slots freed for a demand made earlier.
struct SlotGrant {
  PoolId pool;
  Incarnation owner;
  uint64_t sequence = 0;  ///< Rises by one with each grant to the holder for the pool.
  uint64_t request = 0;   ///< Latest request taken in.
  MonoTime request_sent;  ///< Echo of that request's `sent`.
  Duration lifetime{0};   ///< Loans expire at request_sent + lifetime on the holder's clock.
  bool pressure = false;  ///< Demand is unmet: idle slots are to be returned at once.
  std::vector<GrantedSlots> slots;
  bool operator==(const SlotGrant&) const = default;
};

}  // namespace jd
