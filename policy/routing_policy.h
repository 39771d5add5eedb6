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
#include "policy/endpoint_gate.h"
#include "policy/probe_result.h"
#include "policy/version_side.h"

namespace jd {

/// One endpoint as a routing policy sees it.
struct EndpointView {
  EndpointId id;
  ZoneId zone;
  int32_t slots = 1;
  /// Whether new attempts may be sent to the endpoint; false while its zone is out of service or
  /// the endpoint is draining or ejected.
  bool usable = true;
  VersionSide side = VersionSide::kAny;
  EndpointHold hold = EndpointHold::kNone;  ///< Why it is not usable, if that is known.
  MonoTime held_until = {};                 ///< When kWantsNothing ends.
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
  ZoneId local_zone;  ///< The zone of the gateway, whose endpoints are preferred.
  MonoTime deadline;
  MonoTime target_time;  ///< An answer after this time has little value; at most the deadline.
  Priority priority = Priority::kNormal;
  /// Whether no further endpoints will be probed for this call, so that a late answer is
  /// acceptable.
  bool last_stage = true;
  /// Whether more urgent calls of the service find no room, so that this call leaves them a slot of
  /// each endpoint.
  bool yields = false;
  /// Whether the call waits for room. Endpoints are probed for it only within the probe budget.
  bool waiting = false;
  /// Time that an upstream at its usual speed takes for such a call.
  Duration usual_service_time{0};
  /// Endpoints that this call has already tried.
  std::vector<EndpointId> excluded = {};
  /// Side of the service's roll-out whose endpoints may get the call.
  VersionSide side = VersionSide::kAny;
};

/// Requirements on a routing policy, which chooses endpoints for calls and counts the slots that
/// the calls of one gateway use.
///
/// Acquire takes one slot of the endpoint that it returns, and exactly one Release must follow for
/// each slot taken. If no slot is free, Acquire returns nothing; the call is then queued and
/// retried after the next Release or slot grant.
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
                                 int32_t queue_length) {
  { policy.Acquire(now, request, random) } -> std::same_as<std::optional<EndpointId>>;
  { policy.Release(now, endpoint, result) } -> std::same_as<void>;
  { policy.SetService(now, view) } -> std::same_as<void>;
  { policy.RemoveService(now, service) } -> std::same_as<void>;
  /// Sets the number of calls of a service that are queued for a slot at this gateway.
  { policy.SetQueueLength(now, service, queue_length) } -> std::same_as<void>;
  { policy.OnLoadReport(now, endpoint, report) } -> std::same_as<void>;
  { P::kName } -> std::convertible_to<std::string_view>;
};

/// Requirements on a routing policy that probes endpoints before each call. ChooseProbeTargets
/// returns the endpoints to probe, OnProbeResult processes each result, and Acquire then chooses an
/// endpoint.
template <typename P>
concept ProbingPolicy = RoutingPolicy<P> && requires(P policy,
                                                     MonoTime now,
                                                     const AcquireRequest& request,
                                                     int stage,
                                                     double rate,
                                                     RandomEngine& random,
                                                     const EndpointId& endpoint,
                                                     const ProbeResult& result) {
  /// Returns the endpoints to probe in this stage; empty if there are none. Stages are tried in
  /// order.
  {
    policy.ChooseProbeTargets(now, request, stage, random)
    } -> std::same_as<std::vector<EndpointId>>;
  /// Limits the probes of this gateway. The rate is in probes per second and endpoint; all
  /// endpoints of a service share the resulting limit.
  { policy.SetProbeRate(now, rate) } -> std::same_as<void>;
  /// Processes the result of a probe. Returns whether a call may be sent without waiting for the
  /// results of other probes.
  { policy.OnProbeResult(now, result) } -> std::same_as<bool>;
  /// Returns the known load of an endpoint and the age of that information as name=value pairs for
  /// the log.
  { policy.DescribeLoad(now, endpoint) } -> std::same_as<std::string>;
  /// Returns the limit that the endpoint names for the calls of all gateways together, or nothing.
  { policy.KnownLimit(endpoint) } -> std::same_as<std::optional<CallRate>>;
  /// Excludes an endpoint that names a limit from probes and calls until a permit may be free.
  { policy.OnPermitRefused(endpoint, now) } -> std::same_as<void>;
};

}  // namespace jd
