#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cluster/owned_pool.h"
#include "policy/pool.h"
#include "policy/slot_message.h"

namespace jd {

/// Lends the slots of the pools that this gateway owns (section 3.1).
class SlotOwner {
 public:
  explicit SlotOwner(Incarnation incarnation) : incarnation_(incarnation) {}

  /// Sets a pool's endpoints. Owned or not, so that a later TakeOwnership knows them.
  /// @param zone_shares share of its slots that a zone may use, 0 to 1; zones not named use all.
  void SetPool(MonoTime now, const PoolView& view, const std::map<ZoneId, double>& zone_shares);
  void RemovePool(const PoolId& pool);
  void TakeOwnership(MonoTime now, const PoolId& pool);
  /// Ends lending; the holders are told with the next TakeGrants.
  void DropOwnership(MonoTime now, const PoolId& pool);
  /// Sets the gateways among which reserves are divided; empty: no reserves, every slot is
  /// lendable.
  void SetRoster(MonoTime now, std::vector<GatewayId> roster);
  void OnRequest(MonoTime now,
                 const GatewayId& from,
                 Incarnation incarnation,
                 const SlotRequest& request);
  /// Ends the demand of a gateway that left or died; its loans run until they expire.
  void OnHolderGone(MonoTime now, const GatewayId& gateway);
  /// A gateway that left in order has no calls and no loans any more.
  void OnHolderLeft(MonoTime now, const GatewayId& gateway);
  /// Takes in the answer of a probe.
  void OnProbeReport(MonoTime now, const EndpointId& endpoint, const LoadReport& report);
  void OnEndpointLeaving(MonoTime now, const EndpointId& endpoint);
  /// Ends OnEndpointLeaving; nothing else does.
  void OnEndpointServing(MonoTime now, const EndpointId& endpoint);

  /// Returns the grants due now, once per turn of the event loop.
  std::vector<OutgoingSlotGrant> TakeGrants(MonoTime now);
  /// Returns when TakeGrants is due next.
  std::optional<MonoTime> next_timer() const;

  bool owns(const PoolId& pool) const;
  /// Returns the endpoint's bound over all gateways, or 0 if its pool is not owned.
  int32_t bound(const EndpointId& endpoint) const;
  /// Returns the slots accounted as lent.
  int32_t lent(const EndpointId& endpoint) const;

 private:
  void SetLeaving(MonoTime now, const EndpointId& endpoint, bool leaving);
  const OwnedPool* Find(const EndpointId& endpoint) const;

  Incarnation incarnation_;
  uint64_t sequence_ = 0;  ///< Of grants.
  std::vector<GatewayId> roster_;
  std::map<PoolId, OwnedPool> pools_;
};

}  // namespace jd
