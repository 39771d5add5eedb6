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

/// A grant that is due, and the holder it goes to.
struct OutgoingSlotGrant {
  GatewayId to;
  SlotGrant grant;
};

/// The loans of one pool, at the gateway that owns it (section 3.1); used by SlotOwner.
///
/// Loans rest on the gateways' reserves: a slot is lent only while the gateway of the roster that
/// it is assigned to names this gateway as the pool's owner and is known to receive its grants. Two
/// gateways that both take themselves for the owner therefore never lend the same slot.
class OwnedPool {
 public:
  explicit OwnedPool(Incarnation incarnation) : incarnation_(incarnation) {}

  void SetView(MonoTime now,
               const PoolView& view,
               const std::map<ZoneId, double>& zone_shares,
               const std::vector<GatewayId>& roster);
  void SetRoster(MonoTime now, const std::vector<GatewayId>& roster);
  void Take(MonoTime now);
  void Drop();
  void OnRequest(MonoTime now,
                 const GatewayId& from,
                 Incarnation incarnation,
                 const SlotRequest& request);
  /// Ends a gateway's demand; with `left` its loans too.
  void OnHolderGone(MonoTime now, const GatewayId& gateway, bool left);
  void OnProbeReport(MonoTime now, const EndpointId& endpoint, const LoadReport& report);
  /// Bars an endpoint or ends that. Holds also while another gateway owns the pool.
  void SetLeaving(MonoTime now, const EndpointId& endpoint, bool leaving) {
    endpoints_.at(endpoint).leaving = leaving;
    Update(now);
  }
  /// Appends the grants due now. @param sequence of the latest grant of the process; it never
  /// falls, also if a pool is taken again.
  void TakeGrants(MonoTime now, uint64_t* sequence, std::vector<OutgoingSlotGrant>* grants);
  std::optional<MonoTime> next_timer() const;

  bool owned() const { return owned_; }
  bool contains(const EndpointId& endpoint) const { return endpoints_.contains(endpoint); }
  int32_t bound(const EndpointId& endpoint) const { return endpoints_.at(endpoint).bound; }
  int32_t lent(const EndpointId& endpoint) const { return endpoints_.at(endpoint).lent; }

 private:
  /// One holder's part of one endpoint.
  struct Loan {
    int32_t claimed = 0;  ///< Held, as the latest request says.
    int32_t in_flight = 0;
    MonoTime busy_until;                             ///< Latest deadline of the calls in flight.
    std::vector<std::pair<uint64_t, int32_t>> sent;  ///< Grants not yet acknowledged.
    int32_t pending = 0;                             ///< Lent with the next grant.
    int32_t limit = kNoSlotLimit;                    ///< As in the latest grant.
    int32_t total() const {
      int32_t sum = claimed + pending;
      for (const auto& [sequence, added] : sent) {
        sum += added;
      }
      return sum;
    }
    /// Slots that the holder may still use for new calls.
    int32_t effective() const { return std::min(total(), limit); }
  };
  struct Holder {
    Incarnation incarnation;
    uint64_t sequence = 0;
    MonoTime request_sent;  ///< Holder's clock.
    MonoTime lease_end;     ///< Owner's clock; no loan of the holder is valid after it.
    bool expired = false;
    bool handed_over = false;
    ZoneId zone;
    int32_t demand = 0;  ///< Unmet.
    int32_t wanted = 0;
    MonoTime reserve_from;                             ///< The reserve backs loans from then on.
    std::deque<std::pair<uint64_t, MonoTime>> grants;  ///< Send times, to learn of contact.
    MonoTime contact;  ///< Send time of the latest grant known to have arrived.
    bool in_contact = false;
    MonoTime granted;  ///< Time of the latest grant.
    bool told_pressure = false;
    bool grant_due = false;
    std::map<EndpointId, Loan> loans;
    std::map<EndpointId, int32_t> told_bounds;
    int32_t total() const {
      int32_t sum = 0;
      for (const auto& [endpoint, loan] : loans) {
        sum += loan.total();
      }
      return sum;
    }
  };
  struct Lendable {
    EndpointView view;
    double zone_share = 1.0;
    std::vector<size_t> assigned;
    EndpointHealth health;
    bool leaving = false;    ///< Until told otherwise; no report ends it.
    int32_t bound = 0;       ///< Over all gateways.
    int32_t room = 0;        ///< The part of the bound that reserves back.
    int32_t renew_room = 0;  ///< As room, with reserves whose former owner handed its loans over.
    int32_t lent = 0;        ///< Sum of the loans' totals.
    int32_t effective = 0;   ///< Sum of what holders may still use for new calls.
    bool usable() const { return view.usable && !leaving; }
  };

  void Update(MonoTime now);
  void UpdateRooms(MonoTime now);
  void MarkLimited(MonoTime now);
  void Expire(MonoTime now);
  static bool InContact(MonoTime now, const Holder& holder);
  bool InTakeover(MonoTime now) const;
  Holder* FindHolder(MonoTime now, const GatewayId& from, Incarnation incarnation);
  void TakeClaims(MonoTime now, Holder* holder, const SlotRequest& request);
  static void TakeAcknowledgement(Holder* holder, uint64_t last_grant);
  void TakeEvidence(MonoTime now, const SlotRequest& request);
  void TakeDemand(const GatewayId& from, Holder* holder, int32_t demand);
  void ClearDemand(const GatewayId& gateway, Holder* holder);
  void Serve(MonoTime now);
  int32_t FreeSlots() const;
  bool LendOne(Holder* holder);
  void TopUp(Holder* holder);
  void Recount();
  bool Renewable(const Holder& holder) const;
  static void LimitLoan(int32_t cap, Lendable* endpoint, Loan* loan);
  SlotGrant StartGrant(const Holder& holder, uint64_t* sequence) const;
  SlotGrant MakeGrant(MonoTime now, Holder* holder, uint64_t* sequence);

  Incarnation incarnation_;
  PoolView view_;
  std::vector<GatewayId> roster_;
  std::map<EndpointId, Lendable> endpoints_;
  std::map<GatewayId, Holder> holders_;
  std::deque<GatewayId> queue_;  ///< One entry per unmet demand, in order of arrival.
  bool owned_ = false;
  bool handing_over_ = false;
  MonoTime taken_;
  MonoTime last_update_;
  Duration median_{0};  ///< Of the endpoints' warm latencies.
};

}  // namespace jd
