#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

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
/// A gateway says with each view which one is settled, so that no owner in an earlier view counts
/// the support of that gateway any longer, and which owners in later views may still count it
/// (ViewAnnouncer). A support begins once all former owners of the pool have let go of it, and
/// lasts through later views that name the same owner. It ends `lifetime` after this gateway sent
/// the latest heartbeat that the supporter has echoed.
class IssuerSupport {
 public:
  /// What a heartbeat of a peer says.
  struct Announcement {
    Incarnation incarnation;
    uint64_t generation = 0;  ///< Of the peer's view; 0: it has announced none.
    uint64_t settled = 0;     ///< Latest generation that is settled.
    /// Owners in the settled view and in later ones that may still count the support, ordered.
    std::vector<GatewayHash> unreleased;
    GatewayViewPtr view;  ///< Null if it is not known.
    MonoTime echo;        ///< Send time of the latest own heartbeat that the peer has echoed.
  };

  /// The gateways that support this one at a moment.
  struct Support {
    size_t gateways = 0;
    MonoTime since;  ///< From when on all of them have done so without a break.
  };

  /// @param lifetime of a support without heartbeats.
  IssuerSupport(const GatewayId& self, Duration lifetime);

  /// Sets the view that this gateway announces.
  /// @param announcement as the peers get it; incarnation and echo are ignored.
  void SetOwnView(MonoTime now, const Announcement& announcement);
  void OnAnnouncement(MonoTime now, const GatewayId& peer, const Announcement& announcement);

  /// Counts no support from now on: this gateway is leaving and issues nothing any longer.
  void Resign();

  Support SupportFor(MonoTime now, const PoolId& pool) const;
  /// Returns how many of the gateways that support this one now have done so since `time`.
  size_t SupportersSince(MonoTime now, const PoolId& pool, MonoTime time) const;
  /// Returns whom to ask: the owner in the latest view, or, while the owner in the settled view may
  /// still count the support of this gateway and is in the latest view, that one.
  std::optional<GatewayHash> OwnIssuer(const PoolId& pool) const;

 private:
  /// A view of a gateway.
  struct Entry {
    GatewayViewPtr view;
    uint64_t generation = 0;
    MonoTime arrived;
    bool follows = false;  ///< No other view lies between the previous entry's and this one.
    std::optional<MonoTime> settled_at;  ///< When it was known to be settled.
  };
  struct Supporter {
    Incarnation incarnation;
    MonoTime valid_since;  ///< From when on its echoes have been recent.
    MonoTime valid_until;
    std::deque<Entry> entries;  ///< The latest views, in order; only the last one is in force.
    std::vector<GatewayHash> unreleased;
    MonoTime released_at;  ///< When `unreleased` changed.
  };
  /// The result of SupportFor, which holds until `expires` unless an announcement changes it.
  struct CachedSupport {
    MonoTime expires;
    Support support;
  };

  /// Adds a view if it is new, and notes what is settled and released. @return whether anything
  /// changed.
  static bool UpdateViews(MonoTime now, const Announcement& announcement, Supporter* supporter);
  static bool IsUnreleased(const Supporter& supporter, GatewayHash owner);
  /// Returns whether all owners of a pool in the views from the settled one up to, but not with,
  /// `entries[end]` have let go of the support.
  bool FormerOwnersReleased(const Supporter& supporter, const PoolId& pool, size_t end) const;
  /// Returns from when on a gateway has supported this one, or nothing if it does not.
  std::optional<MonoTime> SupportedSince(MonoTime now,
                                         const Supporter& supporter,
                                         const PoolId& pool) const;

  GatewayHash self_;
  Duration lifetime_;
  bool resigned_ = false;
  Supporter own_;
  std::unordered_map<GatewayId, Supporter> peers_;
  mutable std::map<PoolId, CachedSupport> cache_;
};

}  // namespace jd
