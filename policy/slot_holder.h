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

/// A slot request to be sent, and the owner that receives it.
struct OutgoingSlotRequest {
  GatewayId to;
  SlotRequest request;
};

/// Routing policy that borrows slots from the owners of the pools and sends calls only on slots
/// that it has on loan, or on its reserve while it receives nothing from the owner. Loans expire by
/// the clock of this gateway, so a process that was paused uses no expired loans.
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
  void SetQueueLength(MonoTime now, const ServiceId& service, int32_t queue_length);
  void OnLoadReport(MonoTime now, const EndpointId& endpoint, const LoadReport& report);

  /// Sets the gateway that owns a pool. @param owner empty if no owner is known.
  void SetOwner(MonoTime now, const PoolId& pool, const GatewayId& owner, Incarnation incarnation);
  /// Sets the gateways among which the reserves are divided. The list must be the same on every
  /// gateway.
  void SetRoster(MonoTime now, std::vector<GatewayId> roster);
  /// Processes a grant; grants from another owner or incarnation and outdated ones are ignored.
  /// @return whether slots were added, so that queued calls may be sent.
  bool OnGrant(MonoTime now, const GatewayId& from, const SlotGrant& grant);
  /// Stops new calls to an endpoint that is draining or gone according to a peer or the VM list.
  void OnEndpointLeaving(MonoTime now, const EndpointId& endpoint);
  /// Allows new calls again after OnEndpointLeaving; nothing else does.
  void OnEndpointServing(MonoTime now, const EndpointId& endpoint);
  /// Returns the requests that are due. It is called once per event loop iteration, so that all
  /// demand of an iteration goes into one message per pool.
  std::vector<OutgoingSlotRequest> TakeRequests(MonoTime now);
  /// Returns when TakeRequests is due next, or nothing if no owner is known.
  std::optional<MonoTime> next_timer() const;

  /// Returns the maximum number of calls that may run at an endpoint concurrently, which is the
  /// number of slots on loan or in the reserve.
  int32_t usable_slots(MonoTime now, const EndpointId& endpoint) const;
  int32_t in_flight(const EndpointId& endpoint) const;

 private:
  /// Moves all endpoints of the pool to `detached_`.
  void DetachEndpoints(HeldPool* pool);
  /// Moves an endpoint of another service's pool to `detached_`, because it joins the given pool.
  void DetachFromOtherPool(const EndpointId& endpoint, const PoolId& pool);
  /// Returns the state of an endpoint that is added to the pool. It includes the calls that still
  /// run at the endpoint if the endpoint was in `detached_`.
  EndpointSlots AttachEndpoint(const EndpointView& endpoint, const PoolId& pool);
  /// Returns the state of an endpoint and sets `pool` to its pool, or returns null if the endpoint
  /// is in no pool.
  EndpointSlots* FindEndpoint(const EndpointId& endpoint, HeldPool** pool);
  const EndpointSlots* FindEndpoint(const EndpointId& endpoint, const HeldPool** pool) const;
  /// Returns the next request for the pool and resets the evidence that the request contains.
  SlotRequest MakeRequest(MonoTime now, HeldPool* pool);
  /// Divides the queued calls of a service among its pools.
  void DistributeQueuedCalls(MonoTime now, const ServiceId& service);

  GatewayId self_;
  ZoneId zone_;
  Incarnation incarnation_;
  std::vector<GatewayId> roster_;
  std::map<PoolId, HeldPool> pools_;
  std::map<ServiceId, std::vector<PoolId>> services_;
  std::map<ServiceId, int32_t> queued_calls_;  ///< Number of queued calls.
  std::map<EndpointId, PoolId> pool_of_;       ///< Without the endpoints in `detached_`.
  /// Endpoints that were removed while calls were running there. If such an endpoint is added
  /// again, these calls still use its slots.
  std::map<EndpointId, EndpointSlots> detached_;
};

static_assert(RoutingPolicy<SlotHolder>);

}  // namespace jd
