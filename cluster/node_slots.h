#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cluster/node_action.h"
#include "cluster/node_settings.h"
#include "cluster/ownership.h"
#include "cluster/slot_owner.h"
#include "policy/slot_holder.h"

namespace jd {

/// Connects the two sides of slot lending in one gateway: SlotHolder, which borrows slots, and
/// SlotOwner, which lends the slots of the pools that this gateway owns. Derives the owner of each
/// pool from the live gateways. Messages from this gateway to itself are delivered directly;
/// messages to peers are returned by Flush.
class NodeSlots {
 public:
  /// A message to be sent to a peer.
  struct OutgoingMessage {
    GatewayId to;
    PeerBody body;
  };
  /// Result of Flush, to be processed by its caller.
  struct Output {
    std::vector<OutgoingMessage> messages;
    bool ownership_changed = false;  ///< Whether this gateway now owns other pools than before.
    /// Whether the holder got more slots, so that queued calls may be sent.
    bool capacity_added = false;
  };
  /// The gateways according to Membership.
  struct Members {
    std::vector<GatewayId> owner_candidates;  ///< Gateways that may own pools.
    std::vector<GatewayId> roster;            ///< Gateways among which the reserves are divided.
    std::map<GatewayId, Incarnation> incarnations;
  };

  /// @param holder null if the routing policy is not slot lending; slot messages are then ignored.
  NodeSlots(const NodeSettings& settings, SlotHolder* holder);

  /// Adds or replaces services, removes others, and updates the ownership of their pools.
  void SetServices(MonoTime now,
                   const std::vector<ServiceView>& services,
                   const std::vector<ServiceId>& removed);
  /// Sets the share of its slots, 0 to 1, that each zone that is returning to service may use.
  void SetZoneShares(MonoTime now, const std::map<ZoneId, double>& shares);
  /// Returns whether slots are lent, so that the known gateways matter.
  bool lends() const { return holder_ != nullptr; }
  /// Sets the known gateways and updates the ownership of all pools.
  void SetMembers(MonoTime now, const Members& members);
  /// Processes a slot request of a peer. Requests for unknown pools are ignored.
  void OnRequest(MonoTime now,
                 const GatewayId& from,
                 Incarnation incarnation,
                 const SlotRequest& request);
  /// Processes a grant from the owner of a pool.
  void OnGrant(MonoTime now, const GatewayId& from, const SlotGrant& grant);
  /// Removes the demand of a gateway that is considered dead. Its loans remain until they expire.
  void OnGatewayDead(MonoTime now, const GatewayId& gateway);
  /// Removes the demand and the loans of a gateway that stopped gracefully.
  void OnGatewayLeft(MonoTime now, const GatewayId& gateway);
  /// Stops lending and using the slots of an endpoint that is draining or gone according to a peer
  /// or the VM list.
  void OnEndpointLeaving(MonoTime now, const EndpointId& endpoint);
  /// Allows the use of the endpoint again after OnEndpointLeaving; nothing else does.
  void OnEndpointServing(MonoTime now, const EndpointId& endpoint);
  /// Updates the health of an endpoint from the load report in a probe result.
  void OnProbeReport(MonoTime now, const EndpointId& endpoint, const LoadReport& report);
  /// Gives up the ownership of every pool and takes none again. This is the first step of a
  /// graceful stop.
  void HandOverPools(MonoTime now);

  /// Delivers the messages from this gateway to itself and returns those to peers. It is called
  /// after the events of each event loop iteration.
  Output Flush(MonoTime now);
  /// Returns when Flush is due next.
  std::optional<MonoTime> next_timer() const;

  std::vector<PoolId> owned_pools() const;
  const SlotOwner& owner() const { return owner_; }
  const std::map<PoolId, PoolView>& pools() const { return pools_; }

 private:
  /// Recomputes the owner of each pool, and passes the result on to SlotOwner and SlotHolder.
  void UpdateOwnership(MonoTime now);
  /// Passes the endpoints of a pool and the zone shares to the owner side.
  void SetPool(MonoTime now, const PoolView& pool);

  GatewayId self_;
  Incarnation incarnation_;
  /// Whether this is the only gateway, because neither a platform nor a seed peer is configured.
  bool only_gateway_;
  SlotHolder* holder_;  ///< Null if the routing policy is not slot lending.
  SlotOwner owner_;
  Ownership ownership_;
  Members members_;
  bool handed_over_ = false;  ///< HandOverPools was called.
  std::map<PoolId, PoolView> pools_;
  std::map<ZoneId, double> zone_shares_;
  bool ownership_changed_ = false;
  bool capacity_added_ = false;
};

}  // namespace jd
