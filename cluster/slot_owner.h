#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cluster/owned_pool.h"
#include "policy/pool.h"
#include "policy/slot_message.h"

namespace jd {

/// Lends the slots of the pools that this gateway owns (section 3.1). It has an OwnedPool for each
/// known pool and forwards events to the pools concerned.
class SlotOwner {
 public:
  explicit SlotOwner(Incarnation incarnation) : incarnation_(incarnation) {}

  /// Sets the endpoints of a pool. It is called for pools of other owners as well, so that the
  /// endpoints are known when this gateway takes the ownership.
  /// @param zone_shares share of its slots, 0 to 1, that each zone may use. A zone without an entry
  /// may use all.
  void SetPool(MonoTime now, const PoolView& view, const std::map<ZoneId, double>& zone_shares);
  void RemovePool(const PoolId& pool);
  /// Starts lending the slots of a pool, once the loans of a former owner have expired.
  void TakeOwnership(MonoTime now, const PoolId& pool);
  /// Stops lending the slots of a pool. The next TakeGrants notifies the holders.
  void DropOwnership(MonoTime now, const PoolId& pool);
  /// Sets the gateways among which the reserves are divided. If `roster` is empty, there are no
  /// reserves and every slot may be lent.
  void SetRoster(MonoTime now, std::vector<GatewayId> roster);
  /// Processes a slot request. Requests to another incarnation of this gateway, requests of an
  /// earlier incarnation of the holder and outdated requests are ignored.
  void OnRequest(MonoTime now,
                 const GatewayId& from,
                 Incarnation incarnation,
                 const SlotRequest& request);
  /// Removes the demand of a gateway that is considered dead. Its loans remain until they expire.
  void OnHolderDead(MonoTime now, const GatewayId& gateway);
  /// Removes the demand and the loans of a gateway that stopped gracefully, and therefore has no
  /// calls in flight.
  void OnHolderLeft(MonoTime now, const GatewayId& gateway);
  /// Updates the health of an endpoint from the load report in a probe result.
  void OnProbeReport(MonoTime now, const EndpointId& endpoint, const LoadReport& report);
  /// Stops lending the slots of an endpoint that is draining or gone according to a peer or the VM
  /// list.
  void OnEndpointLeaving(MonoTime now, const EndpointId& endpoint);
  /// Allows lending again after OnEndpointLeaving; nothing else does.
  void OnEndpointServing(MonoTime now, const EndpointId& endpoint);

  /// Returns the grants that are due. It is called once per event loop iteration.
  std::vector<OutgoingSlotGrant> TakeGrants(MonoTime now);
  /// Returns when TakeGrants is due next.
  std::optional<MonoTime> next_timer() const;

  bool owns(const PoolId& pool) const;
  /// Returns the maximum number of slots of the endpoint that all gateways together may use, or 0
  /// if this gateway does not own its pool.
  int32_t bound(const EndpointId& endpoint) const;
  /// Returns the number of slots of the endpoint that are counted as lent, or 0 if this gateway
  /// does not own its pool.
  int32_t lent(const EndpointId& endpoint) const;

 private:
  void SetLeaving(MonoTime now, const EndpointId& endpoint, bool leaving);
  /// Returns the owned pool that contains the endpoint, or null.
  const OwnedPool* FindOwnedPool(const EndpointId& endpoint) const;

  Incarnation incarnation_;
  uint64_t sequence_ = 0;  ///< Sequence number of the latest grant of any pool.
  std::vector<GatewayId> roster_;
  std::map<PoolId, OwnedPool> pools_;  ///< All known pools, owned or not.
};

}  // namespace jd
