#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cluster/endpoint_health.h"
#include "policy/pool.h"
#include "policy/slot_message.h"

namespace jd {

/// A grant to be sent, and the holder that receives it.
struct OutgoingSlotGrant {
  GatewayId to;
  SlotGrant grant;
};

/// Lends the slots of one pool and keeps account of the loans, at the gateway that owns the pool
/// (section 3.1). Used by SlotOwner.
///
/// Each slot belongs to the reserve of one gateway of the roster (see AssignReserve). The slot is
/// lent only while that gateway sends its requests to this gateway as the owner and is known to
/// receive the grants. Therefore two gateways that both consider themselves the owner never lend
/// the same slot.
class OwnedPool {
 public:
  /// @param incarnation of this gateway.
  explicit OwnedPool(Incarnation incarnation) : incarnation_(incarnation) {}

  /// Sets the endpoints of the pool, and removes the loans of endpoints that are no longer listed.
  /// @param zone_shares share of its slots, 0 to 1, that each zone may use. A zone without an entry
  /// may use all.
  /// @param roster gateways among which the reserves are divided; empty for no reserves.
  void SetView(MonoTime now,
               const PoolView& view,
               const std::map<ZoneId, double>& zone_shares,
               const std::vector<GatewayId>& roster);
  void SetRoster(MonoTime now, const std::vector<GatewayId>& roster);
  /// Starts to own the pool. Nothing is lent for kLoanLifetimeAtOwner, until the loans of a former
  /// owner have expired.
  void TakeOwnership(MonoTime now);
  /// Stops lending. The next TakeGrants notifies the holders that the pool was handed over.
  void DropOwnership();
  /// Processes a slot request. It is ignored if the pool is not owned, or if the request is
  /// outdated or meant for another incarnation of this gateway.
  void OnRequest(MonoTime now,
                 const GatewayId& from,
                 Incarnation incarnation,
                 const SlotRequest& request);
  /// Removes the demand of a gateway that is considered dead or has left.
  /// @param left whether it stopped gracefully, so that its loans are removed as well.
  void OnHolderGone(MonoTime now, const GatewayId& gateway, bool left);
  /// Updates the health of an endpoint from the load report in a probe result.
  void OnProbeReport(MonoTime now, const EndpointId& endpoint, const LoadReport& report);
  /// Sets whether an endpoint is leaving, so that its slots must not be lent. The state is kept
  /// while another gateway owns the pool.
  void SetLeaving(MonoTime now, const EndpointId& endpoint, bool leaving) {
    endpoints_.at(endpoint).leaving = leaving;
    UpdateLoans(now);
  }
  /// Appends the grants that are due to `grants`.
  /// @param sequence sequence number of the latest grant of this process, incremented for each
  /// grant. It never decreases, not even if the process owns a pool again.
  void TakeGrants(MonoTime now, uint64_t* sequence, std::vector<OutgoingSlotGrant>* grants);
  /// Returns when TakeGrants is due next, or nothing if the pool is not owned.
  std::optional<MonoTime> next_timer() const;

  bool owned() const { return owned_; }
  bool contains(const EndpointId& endpoint) const { return endpoints_.contains(endpoint); }
  /// Returns the maximum number of slots of the endpoint that all gateways together may use.
  int32_t bound(const EndpointId& endpoint) const { return endpoints_.at(endpoint).bound; }
  /// Returns the number of slots of the endpoint that are counted as lent.
  int32_t lent(const EndpointId& endpoint) const { return endpoints_.at(endpoint).lent; }

 private:
  /// The slots of one endpoint that are lent to one holder.
  struct Loan {
    int32_t held = 0;       ///< Slots that the holder has according to its latest request.
    int32_t in_flight = 0;  ///< Calls in flight according to the latest request.
    MonoTime busy_until;    ///< Latest deadline of the calls in flight.
    /// Sequence numbers of the grants that the holder has not acknowledged, and the slots added.
    std::vector<std::pair<uint64_t, int32_t>> unacknowledged;
    int32_t pending = 0;           ///< Slots to be added with the next grant.
    int32_t limit = kNoSlotLimit;  ///< Limit in the latest grant.
    /// Returns the number of slots that the holder has or that are on their way to it.
    int32_t total() const {
      int32_t sum = held + pending;
      for (const auto& [sequence, added] : unacknowledged) {
        sum += added;
      }
      return sum;
    }
    /// Returns the number of slots that the holder may use, now or once it has received them.
    int32_t usable_slots() const { return std::min(total(), limit); }
  };
  /// A gateway that has sent requests for the pool, and its loans.
  struct Holder {
    Incarnation incarnation;
    uint64_t sequence = 0;  ///< Of the latest request.
    MonoTime request_sent;  ///< Send time of the latest request by the holder's clock.
    /// When the loans expire by the owner's clock, if no other request arrives before.
    MonoTime loans_expire_at;
    bool expired = false;      ///< Whether the loans have expired.
    bool handed_over = false;  ///< Whether the former owner has stopped lending to the holder.
    ZoneId zone;
    int32_t demand = 0;  ///< Unmet demand; the holder has as many entries in `demand_queue_`.
    int32_t wanted = 0;  ///< Total slots that the holder needs at its recent load.
    /// When slots of the holder's reserve may be lent; until then a former owner may lend them.
    MonoTime reserve_available_at;
    /// Sequence numbers and send times of the grants that the holder has not acknowledged.
    std::deque<std::pair<uint64_t, MonoTime>> unacknowledged_grants;
    MonoTime last_contact;       ///< Send time of the latest acknowledged grant.
    bool contacted = false;      ///< Whether any grant was acknowledged.
    MonoTime granted_at;         ///< Send time of the latest grant.
    bool sent_pressure = false;  ///< `pressure` in the latest grant.
    bool grant_due = false;      ///< Whether the next TakeGrants returns a grant for the holder.
    std::map<EndpointId, Loan> loans;
    std::map<EndpointId, int32_t> sent_bounds;  ///< Bounds that the holder knows from grants.
    /// Returns the number of slots that the holder has or that are on their way to it.
    int32_t total() const {
      int32_t sum = 0;
      for (const auto& [endpoint, loan] : loans) {
        sum += loan.total();
      }
      return sum;
    }
  };
  /// An endpoint of the pool, with the limits and sums over all holders.
  struct LendableEndpoint {
    EndpointView view;
    double zone_share = 1.0;               ///< Share of the slots that the endpoint's zone may use.
    std::vector<size_t> reserve_gateways;  ///< Result of AssignReserve.
    EndpointHealth health;
    bool leaving = false;  ///< Set and cleared only by SetLeaving, not by load reports.
    int32_t bound = 0;     ///< Maximum number of slots that all gateways together may use.
    /// New loans are made only while `lent` is below this. It is the number of slots within the
    /// bound that belong to reserves from which this owner may lend.
    int32_t new_loan_limit = 0;
    /// Loans are renewed only up to this. In addition to `new_loan_limit` it counts the reserves
    /// whose former owner has handed the pool over.
    int32_t renewal_limit = 0;
    int32_t lent = 0;  ///< Sum of Loan::total().
    /// Sum of Loan::usable_slots() over the holders whose loans have not expired.
    int32_t usable_slots = 0;
    bool usable() const { return view.usable && !leaving; }
  };

  /// Expires loans, recomputes the sums and limits of the endpoints, and lends free slots to
  /// holders with unmet demand.
  void UpdateLoans(MonoTime now);
  /// Recomputes the bounds and the numbers of slots that may be lent and renewed.
  void UpdateLoanLimits(MonoTime now);
  /// Marks a grant as due for each holder that has a loan at an overcommitted endpoint: one whose
  /// holders together may use more slots than its bound or, after the takeover, than its renewal
  /// limit. These grants lower the limits of the loans.
  void MarkHoldersOverLimit(MonoTime now);
  /// Expires the loans of holders whose latest request is too old. Slots with a call in flight stay
  /// lent until the latest deadline of the holder's calls there.
  void ExpireLoans(MonoTime now);
  /// Returns whether the holder has acknowledged a grant that was sent within
  /// kReserveContactWindow.
  static bool InContact(MonoTime now, const Holder& holder);
  /// Returns whether a former owner may still be lending slots, which is the case for
  /// kReserveHandoverDelay after the ownership was taken.
  bool InTakeover(MonoTime now) const;
  /// Returns the state of the holder, or null if the incarnation is outdated. The state is reset if
  /// the holder is unknown or its incarnation is newer.
  Holder* FindHolder(MonoTime now, const GatewayId& from, Incarnation incarnation);
  /// Updates the holder's loans from the slots that it holds according to the request.
  void ApplyHeldSlots(MonoTime now, Holder* holder, const SlotRequest& request);
  /// Removes the grants that the holder has processed from those not acknowledged, and updates the
  /// time of the last contact.
  static void ApplyAcknowledgement(Holder* holder, uint64_t last_grant);
  /// Updates the health of the endpoints from the results of calls in the request. Ejects endpoints
  /// with too many failures, up to half of the pool.
  void ApplyEvidence(MonoTime now, const SlotRequest& request);
  /// Adds or removes entries of the holder in `demand_queue_` to match its demand.
  void SetDemand(const GatewayId& from, Holder* holder, int32_t demand);
  void ClearDemand(const GatewayId& gateway, Holder* holder);
  /// Lends free slots to the holders in `demand_queue_`. If demand remains unmet, makes grants due
  /// that tell holders with idle slots to return them.
  void ServeDemand(MonoTime now);
  /// Returns the number of slots that may be lent in addition to the present loans.
  int32_t FreeSlots() const;
  /// Lends one slot to the holder, if possible of an endpoint in its zone, and among these of the
  /// endpoint with the lowest share of slots lent. @return false if no slot is free.
  bool LendSlot(Holder* holder);
  /// Lends free slots to the holder up to the number that it needs at its recent load.
  void LendWantedSlots(Holder* holder);
  /// Recomputes `lent` and `usable_slots` of all endpoints from the loans.
  void RecountLoans();
  /// Returns whether all loans of the holder are within the limits for renewal, so that the next
  /// grant renews them.
  bool CanRenewLoans(const Holder& holder) const;
  /// Lowers the limit of the loan so that at most `max_slots` slots of the endpoint remain usable.
  static void LimitLoan(int32_t max_slots, LendableEndpoint* endpoint, Loan* loan);
  /// Returns a grant without slots and with the next sequence number.
  SlotGrant MakeEmptyGrant(const Holder& holder, uint64_t* sequence) const;
  /// Returns the grant that is due for the holder and marks it as sent.
  SlotGrant MakeGrant(MonoTime now, Holder* holder, uint64_t* sequence);

  Incarnation incarnation_;
  PoolView view_;
  std::vector<GatewayId> roster_;
  std::map<EndpointId, LendableEndpoint> endpoints_;
  std::map<GatewayId, Holder> holders_;
  /// Holders with unmet demand, in order of arrival, with one entry for each slot demanded.
  std::deque<GatewayId> demand_queue_;
  bool owned_ = false;
  /// Whether the pool was given up and the holders have not been told yet.
  bool handover_pending_ = false;
  MonoTime owned_since_;             ///< When the ownership was taken.
  MonoTime last_update_;             ///< Time of the latest UpdateLoans.
  Duration median_warm_latency_{0};  ///< Median of the endpoints' warm latencies.
};

}  // namespace jd
