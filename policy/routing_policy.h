#pragma once

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/configuration.h"
#include "common/ids.h"
#include "common/load_report.h"
#include "common/random.h"
#include "common/units.h"
#include "policy/attempt_result.h"
#include "policy/probe_result.h"

namespace jd {

/// One endpoint as a routing policy sees it.
struct EndpointView {
  EndpointId id;
  ZoneId zone;
  int32_t slots = 1;
  /// New attempts are allowed; false while its zone is out, or it is draining or ejected.
  bool usable = true;
  bool operator==(const EndpointView&) const = default;
};

/// The endpoints of one service, in the order of the configuration.
struct ServiceView {
  ServiceId id;
  std::vector<EndpointView> endpoints;
};

/// What a call needs from an endpoint.
struct AcquireRequest {
  ServiceId service;
  ZoneId zone;  ///< The gateway's own zone, preferred.
  MonoTime deadline;
  MonoTime target;  ///< An answer after this time is worth little; at most the deadline.
  Priority priority = Priority::kNormal;
  /// No further endpoints will be measured for this call.
  bool last_stage = true;
  Duration work{0};  ///< Usual time that an upstream needs for such a call.
  /// Endpoints that this call has already tried.
  std::vector<EndpointId> excluded = {};
};

/// Chooses endpoints and accounts for their slots on one gateway.
///
/// Acquire takes one slot of the endpoint that it returns; every acquired slot is given back by
/// exactly one Release. Acquire returns nothing if no slot is free now; the caller then queues and
/// tries again after the next Release or grant.
template <typename P>
concept RoutingPolicy = requires(P policy,
                                 MonoTime now,
                                 const AcquireRequest& request,
                                 const EndpointId& endpoint,
                                 const AttemptResult& result,
                                 const ServiceView& view,
                                 const ServiceId& service,
                                 const LoadReport& report,
                                 RandomEngine& random,
                                 int32_t waiting) {
  { policy.Acquire(now, request, random) } -> std::same_as<std::optional<EndpointId>>;
  { policy.Release(now, endpoint, result) } -> std::same_as<void>;
  { policy.SetService(now, view) } -> std::same_as<void>;
  { policy.RemoveService(now, service) } -> std::same_as<void>;
  /// Tells how many calls of a service wait for a slot at this gateway.
  { policy.SetWaiting(now, service, waiting) } -> std::same_as<void>;
  { policy.OnLoadReport(now, endpoint, report) } -> std::same_as<void>;
  { P::kName } -> std::convertible_to<std::string_view>;
};

/// A routing policy that has endpoints probed before each call: Candidates names them, OnProbe
/// takes in each answer, and Acquire then decides.
template <typename P>
concept MeasuringPolicy = RoutingPolicy<P> && requires(P policy,
                                                       MonoTime now,
                                                       const AcquireRequest& request,
                                                       int stage,
                                                       double rate,
                                                       RandomEngine& random,
                                                       const EndpointId& endpoint,
                                                       const ProbeResult& result) {
  /// Returns the endpoints to ask in this stage; none if the stage has none.
  { policy.Candidates(now, request, stage, random) } -> std::same_as<std::vector<EndpointId>>;
  /// Sets how many probes this gateway may send per second and endpoint, over all endpoints of a
  /// service together.
  { policy.SetProbeRate(now, rate) } -> std::same_as<void>;
  /// Returns whether a call may be sent on this answer alone.
  { policy.OnProbe(now, result) } -> std::same_as<bool>;
  /// Returns what is known of an endpoint and how old it is, as name=value pairs for the log.
  { policy.Describe(now, endpoint) } -> std::same_as<std::string>;
};

}  // namespace jd
