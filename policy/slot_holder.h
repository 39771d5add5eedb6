#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "policy/pool.h"
#include "policy/routing_policy.h"
#include "policy/slot_message.h"
#include "policy/slot_pool.h"

namespace jd {

/// A request that is due, and the owner it goes to.
struct OutgoingSlotRequest {
  GatewayId to;
  SlotRequest request;
};

/// Holds slots on loan for one gateway and sends calls only on slots that it holds. Loans end by
/// the holder's own clock, so a process that was paused uses none that has expired.
class SlotHolder {
 public:
  static constexpr std::string_view kName = "slots";

  SlotHolder(GatewayId self, ZoneId zone, Incarnation incarnation)
      : self_(std::move(self)), zone_(std::move(zone)), incarnation_(incarnation) {}

  std::optional<EndpointId> Acquire(MonoTime now,
                                    const AcquireRequest& request,
                                    RandomEngine& random);
  void Release(MonoTime now, const EndpointId& endpoint, const AttemptResult& result);
  void SetService(MonoTime now, const ServiceView& view);
  void RemoveService(MonoTime now, const ServiceId& service);
  void SetWaiting(MonoTime now, const ServiceId& service, int32_t waiting);
  void OnLoadReport(MonoTime now, const EndpointId& endpoint, const LoadReport& report);

  /// Says which gateway owns a pool; an empty owner means that none is known.
  void SetOwner(MonoTime now, const PoolId& pool, const GatewayId& owner, Incarnation incarnation);
  /// Sets the gateways among which the reserve is divided; the same list on every gateway.
  void SetRoster(MonoTime now, std::vector<GatewayId> roster);
  /// Takes in a grant. @return true if slots were added, so waiting calls may be sent.
  bool OnGrant(MonoTime now, const GatewayId& from, const SlotGrant& grant);
  /// Stops using an endpoint that is draining or gone, as a peer or the VM list says.
  void OnEndpointLeaving(MonoTime now, const EndpointId& endpoint);
  /// Ends OnEndpointLeaving; nothing else does.
  void OnEndpointServing(MonoTime now, const EndpointId& endpoint);
  /// Returns the requests due now. Called once per turn of the event loop, so that several demands
  /// of a turn go in one message.
  std::vector<OutgoingSlotRequest> TakeRequests(MonoTime now);
  /// Returns when TakeRequests is due next, or when the reserve becomes usable.
  std::optional<MonoTime> next_timer() const;

  /// Returns how many calls may run at an endpoint at once as of `now`: loans or reserve.
  int32_t usable(MonoTime now, const EndpointId& endpoint) const;
  int32_t in_flight(const EndpointId& endpoint) const;

 private:
  using Slot = HeldSlot;
  using Pool = HeldPool;

  void Park(Pool* pool);
  Slot Unpark(const EndpointView& endpoint, const PoolId& pool);
  Slot* Find(const EndpointId& endpoint, Pool** pool);
  const Slot* Find(const EndpointId& endpoint, const Pool** pool) const;
  SlotRequest MakeRequest(MonoTime now, Pool* pool);
  void ShareWaiting(MonoTime now, const ServiceId& service);

  GatewayId self_;
  ZoneId zone_;
  Incarnation incarnation_;
  std::vector<GatewayId> roster_;
  std::map<PoolId, Pool> pools_;
  std::map<ServiceId, std::vector<PoolId>> services_;
  std::map<ServiceId, int32_t> waiting_;
  std::map<EndpointId, PoolId> pool_of_;
  /// Endpoints that were removed while calls ran there. If one is added again, these calls still
  /// use its slots.
  std::map<EndpointId, Slot> parked_;
};

static_assert(RoutingPolicy<SlotHolder>);

}  // namespace jd
