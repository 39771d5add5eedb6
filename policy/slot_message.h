#pragma once

#include <cstdint>
#include <vector>

#include "common/ids.h"
#include "common/load_report.h"
#include "common/units.h"

namespace jd {

/// Value of `limit` or `bound` if there is no limit.
constexpr int32_t kNoSlotLimit = 1 << 20;

/// The slots of one endpoint that a holder has on loan, and the latest bound known to the holder.
/// The holder is the gateway that borrows slots from the owner of a pool and sends calls on them.
struct HeldSlots {
  EndpointId endpoint;
  int32_t held = 0;          ///< Slots on loan, both in use and idle.
  int32_t in_flight = 0;     ///< Calls of the holder running at the endpoint.
  Duration longest_left{0};  ///< Time until the latest deadline of the calls in flight.
  /// Bound in the latest grant. A new owner starts with no higher bound.
  int32_t bound = kNoSlotLimit;
  bool operator==(const HeldSlots&) const = default;
};

/// Results of the holder's calls to one endpoint since its previous message to the owner.
struct EndpointEvidence {
  EndpointId endpoint;
  InstanceId instance;  ///< Latest instance ID; empty if the endpoint reports none.
  int32_t successes = 0;
  int32_t failures = 0;     ///< Lost connections, timeouts and server errors.
  int32_t refusals = 0;     ///< Calls that the upstream refused before running them.
  Duration latency_sum{0};  ///< Sum over the successes.
  Duration latency_max{0};
  EndpointState state = EndpointState::kWarm;  ///< State that the upstream reported last.
  bool reported = false;  ///< Whether `state` and `instance` come from a report.
  bool operator==(const EndpointEvidence&) const = default;
};

/// Message from a holder to the owner of a pool: asks for slots, renews and returns loans, and
/// reports evidence about endpoints.
struct SlotRequest {
  PoolId pool;
  Incarnation owner;      ///< Incarnation of the owner, as known to the holder.
  uint64_t sequence = 0;  ///< Incremented with each request of the holder for the pool.
  /// Sequence of the latest grant processed. Slots that were granted up to this sequence but are
  /// not in `held` have been returned.
  uint64_t last_grant = 0;
  MonoTime sent;       ///< Holder's clock, echoed in the grant. Loans start at this time.
  int32_t demand = 0;  ///< Queued calls for which the holder has no slot.
  /// Total slots that the holder needs at its recent load; granted if no gateway has unmet demand.
  int32_t wanted = 0;
  /// Time until this owner may lend the slots of the sender's reserve. Until then a former owner
  /// may still be lending them.
  Duration reserve_in{0};
  /// Whether the former owner has stopped lending, so that loans may be renewed at once.
  bool handed_over = false;
  ZoneId zone;
  std::vector<HeldSlots> held;
  std::vector<EndpointEvidence> evidence;
  bool operator==(const SlotRequest&) const = default;
};

/// Duration of a loan, starting at the send time of the request that the grant answers.
constexpr Duration kLoanLifetime = 1000ms;
/// Time without a request after which the owner considers the loans of a holder expired. It allows
/// for clocks whose rates differ by 10%.
constexpr Duration kLoanLifetimeAtOwner = 1100ms;
/// Maximum interval between the requests of a gateway for a pool, also if the gateway holds no
/// slots of the pool.
constexpr Duration kRenewalPeriod = 250ms;
/// The reserve of a gateway consists of the slots that AssignReserve assigns to it. The owner of
/// the pool may lend them only while the gateway is known to have received a message that was sent
/// at most this long ago. That age is usually two renewal periods, so one lost message is
/// tolerated.
constexpr Duration kReserveContactWindow = 800ms;
/// After a gateway has received the last message from an owner, another owner may not lend the
/// slots of its reserve for this time: kReserveContactWindow + kLoanLifetimeAtOwner + 100 ms for
/// differences between clock rates.
constexpr Duration kReserveHandoverDelay = 2000ms;
/// A gateway that has received nothing from the owner for this time uses the slots of its own
/// reserve.
constexpr Duration kOwnerSilenceTimeout = 3000ms;

/// The slots of one endpoint in a grant.
struct GrantedSlots {
  EndpointId endpoint;
  int32_t added = 0;  ///< Slots lent in addition to those that the holder has.
  /// Maximum number of slots that the holder may use; it returns the others once they are idle.
  int32_t limit = kNoSlotLimit;
  /// Maximum number of slots of the endpoint that all gateways together may use.
  int32_t bound = 0;
  bool operator==(const GrantedSlots&) const = default;
};

/// Message from the owner of a pool to a holder: the answer to a SlotRequest, or slots that have
/// become free for an earlier request.
struct SlotGrant {
  PoolId pool;
  Incarnation owner;
  /// Incarnation of the holder. A gateway that has restarted ignores grants to its former run.
  Incarnation holder;
  uint64_t sequence = 0;  ///< Increases with each grant of the owner.
  uint64_t request = 0;   ///< Sequence of the latest request that the owner has processed.
  MonoTime request_sent;  ///< Echo of that request's `sent`.
  Duration lifetime{0};   ///< Loans expire at request_sent + lifetime on the holder's clock.
  /// Whether demand is unmet, so that holders must return idle slots at once.
  bool pressure = false;
  bool handed_over = false;  ///< Whether the sender has given up ownership and lends no more slots.
  std::vector<GrantedSlots> slots;
  bool operator==(const SlotGrant&) const = default;
};

}  // namespace jd
