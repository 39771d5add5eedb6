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

/// Joins the holder and the owner side of slot lending: ownership of pools follows the live
/// gateways, and messages between this gateway's own holder and owner stay in the process.
class NodeSlots {
 public:
  /// A message that is due to a peer.
  struct Outgoing {
    GatewayId to;
    PeerBody body;
  };
  /// What a flush asks of its caller.
  struct Output {
    std::vector<Outgoing> messages;
    bool ownership_changed = false;
    bool capacity = false;  ///< The holder has slots that it did not have before.
  };
  /// The gateways as the membership sees them.
  struct View {
    std::vector<GatewayId> owners;
    std::vector<GatewayId> roster;
    std::map<GatewayId, Incarnation> incarnations;
  };

  /// @param holder null if the routing policy is not slot lending; messages are then ignored.
  NodeSlots(const NodeSettings& settings, SlotHolder* holder);

  void SetServices(MonoTime now,
                   const std::vector<ServiceView>& services,
                   const std::vector<ServiceId>& removed);
  /// Sets the share of its slots that each returning zone may use.
  void SetZoneShares(MonoTime now, const std::map<ZoneId, double>& shares);
  void SetView(MonoTime now, const View& view);
  void OnRequest(MonoTime now,
                 const GatewayId& from,
                 Incarnation incarnation,
                 const SlotRequest& request);
  void OnGrant(MonoTime now, const GatewayId& from, const SlotGrant& grant);
  void OnGatewayDead(MonoTime now, const GatewayId& gateway);
  void OnGatewayLeft(MonoTime now, const GatewayId& gateway);
  void OnEndpointLeaving(MonoTime now, const EndpointId& endpoint);
  void OnEndpointServing(MonoTime now, const EndpointId& endpoint);
  void OnProbeReport(MonoTime now, const EndpointId& endpoint, const LoadReport& report);
  /// Drops the ownership of every pool, as the first step of a graceful stop.
  void HandOver(MonoTime now);

  /// Returns the messages due now; called once after the events of a turn.
  Output Flush(MonoTime now);
  std::optional<MonoTime> next_timer() const;

  std::vector<PoolId> owned_pools() const;
  const SlotOwner& owner() const { return owner_; }
  const std::map<PoolId, PoolView>& pools() const { return pools_; }

 private:
  void UpdateOwnership(MonoTime now);
  void SetPool(MonoTime now, const PoolView& pool);

  GatewayId self_;
  Incarnation incarnation_;
  bool alone_;  ///< No other gateway can lend or hold: there is neither platform nor peer.
  SlotHolder* holder_;
  SlotOwner owner_;
  Ownership ownership_;
  View view_;
  bool handed_over_ = false;
  std::map<PoolId, PoolView> pools_;
  std::map<ZoneId, double> zone_shares_;
  bool ownership_changed_ = false;
  bool capacity_ = false;
};

}  // namespace jd
