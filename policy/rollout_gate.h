#pragma once

#include <map>
#include <unordered_map>

#include "common/ids.h"
#include "common/random.h"
#include "common/units.h"
#include "policy/attempt_result.h"
#include "policy/rollout_counts.h"
#include "policy/routing_policy.h"
#include "policy/version_side.h"

namespace jd {

/// How many calls of a service this gateway may send to the ordered version of a roll-out.
struct RolloutShare {
  double share = 0;  ///< Part of the calls that are assigned to the ordered version.
  /// Largest part of all calls since the order that may have been sent to the ordered version; 1 or
  /// more: no limit.
  double lifetime_limit = 1;
  bool operator==(const RolloutShare&) const = default;
};

/// Divides the calls of this gateway between the two sides of each roll-out, and counts how they
/// end.
///
/// Each gateway starts its division at a random point, so that all gateways together send the share
/// from the first call on, however few calls each of them has.
class RolloutGate {
 public:
  /// An answer is slow if it takes more than this many times the mean latency of the old side, as
  /// this gateway sees it or as all gateways do, whichever is higher.
  static constexpr double kSlowFactor = 2.5;
  /// Answers of the old side on a route without which this gateway knows no mean of its own.
  static constexpr int kMinLatencySamples = 5;

  explicit RolloutGate(uint64_t seed) : random_(seed) {}

  /// Begins a roll-out of a service with new counters and the share 0.
  void Start(const ServiceId& service);
  void SetShare(const ServiceId& service, const RolloutShare& share);
  /// Ends the roll-out of a service; its calls are no longer divided.
  void Stop(const ServiceId& service);
  /// Sets the sides of the endpoints of a service.
  void SetService(const ServiceView& view);

  /// Sets the mean latencies of the old side at all gateways, from their counts.
  void SetUsualLatencies(const ServiceId& service, const RolloutCounts& counts);

  /// Assigns a new call of a service to a side. Called once for each call.
  /// @return kAny if the service has no roll-out.
  VersionSide Draw(const ServiceId& service);
  /// Returns the side for an attempt of a call that was not drawn, or that has failed before.
  VersionSide DefaultSide(const ServiceId& service) const;
  /// Takes back the assignment of a call to the ordered version, which has no room for it. The call
  /// is not made up for: otherwise all gateways would do so once the version has room.
  void OnNoRoom(const ServiceId& service);
  /// Counts an attempt that is sent to an endpoint.
  void OnSent(const ServiceId& service, const EndpointId& endpoint);
  /// Counts the result of an attempt.
  /// @param route empty if the call has ended before.
  void OnAttemptEnded(const ServiceId& service,
                      const EndpointId& endpoint,
                      const ProfileId& route,
                      const AttemptResult& result);

  /// Returns the counts since Start; empty if the service has no roll-out.
  const RolloutCounts& counts(const ServiceId& service) const;
  /// Returns the number of attempts sent to the ordered version since Start.
  int64_t sent(const ServiceId& service) const;

 private:
  struct Latency {
    Duration mean{0};
    int samples = 0;
    Duration usual{0};  ///< Mean of all gateways; 0 if unknown.
  };
  struct Rollout {
    RolloutShare share;
    double start = 0;      ///< Random, from 0 to 1.
    double credit = 0;     ///< A call is assigned to the ordered version when it reaches 1.
    int64_t calls = 0;     ///< Calls drawn since the order.
    int64_t assigned = 0;  ///< Calls assigned to the ordered version.
    int64_t sent = 0;      ///< Attempts sent to the ordered version.
    std::unordered_map<EndpointId, VersionSide> sides;
    std::map<ProfileId, Latency> latencies;  ///< Of the old side.
    RolloutCounts counts;
  };

  static VersionSide SideOf(const Rollout& rollout, const EndpointId& endpoint);

  RandomEngine random_;
  std::map<ServiceId, Rollout> rollouts_;
};

}  // namespace jd
