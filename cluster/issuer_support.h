#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "cluster/gateway_view.h"
#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// Tells which gateways support this one as the issuer of a pool, such as the quota of a workspace.
///
/// Each gateway supports one issuer at a time: the owner of the pool in the view that it announces
/// in its heartbeats. An issuer may issue the parts of the gateways that support it. So the parts
/// of all issuers add up to at most one, whatever the gateways hear of each other: two gateways
/// that do not hear each other may both be issuers, but a third one that hears both supports only
/// one of them.
///
/// While a gateway changes its view, its former issuer may not know yet. The former issuer counts
/// the support until `lifetime` after it sent the latest heartbeat that the gateway echoed together
/// with the former view. The new issuer counts it from more than `lifetime` after it has learned of
/// the new view.
class IssuerSupport {
 public:
  /// By how much the clocks of two gateways may differ within the lifetime of a support.
  static constexpr Duration kClockMargin = 50ms;

  /// What a heartbeat of a peer says.
  struct Announcement {
    Incarnation incarnation;
    uint64_t generation = 0;  ///< Of the peer's view; 0: it has announced none.
    GatewayViewPtr view;      ///< Null if it is not known.
    MonoTime echo;            ///< Send time of the latest own heartbeat that the peer has echoed.
  };

  /// The gateways that support this one at a moment.
  struct Support {
    size_t gateways = 0;
    MonoTime since;  ///< From when on all of them have done so without a break.
  };

  /// @param lifetime without heartbeats after which a peer counts as dead.
  IssuerSupport(const GatewayId& self, Duration lifetime);

  /// Sets the view that this gateway announces.
  /// @param alone whether the deployment has no other gateway that may have another view.
  void SetOwnView(MonoTime now, GatewayViewPtr view, bool alone);
  void OnAnnouncement(MonoTime now, const GatewayId& peer, const Announcement& announcement);

  Support SupportFor(MonoTime now, const PoolId& pool) const;
  /// Returns how many of the gateways that support this one now have done so since `time`.
  size_t SupportersSince(MonoTime now, const PoolId& pool, MonoTime time) const;
  /// Returns whom this gateway supports: the owner in its own view, but after another gateway has
  /// joined the former owner until the new one may issue.
  std::optional<GatewayHash> OwnIssuer(MonoTime now, const PoolId& pool) const;

 private:
  /// A view and the time in which it was the latest one known of its gateway.
  struct Entry {
    GatewayViewPtr view;
    MonoTime since;
    MonoTime until;        ///< Its support ends then at the latest.
    bool follows = false;  ///< No other view lies between the previous entry's and this one.
  };
  struct Supporter {
    Incarnation incarnation;
    uint64_t generation = 0;
    MonoTime valid_since;  ///< From when on its echoes have been recent.
    std::deque<Entry> entries;
  };
  /// When a gateway supports this one. It ends at `until`.
  struct Interval {
    MonoTime since;
    MonoTime until;
  };
  /// The result of SupportFor, which holds until `expires` unless an announcement changes it.
  struct CachedSupport {
    MonoTime expires;
    Support support;
  };

  Duration delay() const { return lifetime_ + kClockMargin; }
  /// Returns the interval of support that `now` lies in, or the next one, if there is any.
  std::optional<Interval> IntervalOf(MonoTime now,
                                     const Supporter& supporter,
                                     const PoolId& pool) const;
  /// Drops the entries that no decision needs any longer.
  static void DropOld(MonoTime now, std::deque<Entry>* entries);

  GatewayHash self_;
  Duration lifetime_;
  bool alone_ = false;
  Supporter own_;
  std::unordered_map<GatewayId, Supporter> peers_;
  mutable std::map<PoolId, CachedSupport> cache_;
};

}  // namespace jd
