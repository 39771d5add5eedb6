#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "common/ids.h"
#include "common/units.h"
#include "common/upstream_statement.h"
#include "policy/endpoint_gate.h"

namespace jd {

/// A run of an upstream that has said that it leaves.
struct LeavingEndpoint {
  EndpointId endpoint;
  Incarnation run;  ///< 0 if it was not known.
  bool operator==(const LeavingEndpoint&) const = default;
};

/// Why an endpoint is held back because of what it said, and until when.
struct HeldEndpoint {
  EndpointHold reason = EndpointHold::kNone;
  MonoTime until;  ///< Of kWantsNothing.
  bool operator==(const HeldEndpoint&) const = default;
};

/// Remembers what endpoints have said of themselves in responses: that they leave, or that they
/// want nothing from this gateway for a time.
///
/// A statement binds until the endpoint starts again, also while the endpoint is not configured:
/// the store may lose the row of an endpoint that leaves and list the endpoint again.
class EndpointStatements {
 public:
  /// Maximum number of endpoints, to limit memory; the one with the oldest statement is removed.
  static constexpr size_t kMaxEntries = 4096;
  /// A longer time is shortened to this one.
  static constexpr Duration kLongestWantsNothing = 60min;
  /// The gateways return to an endpoint one after the other, at this mean distance.
  static constexpr Duration kReturnInterval = 5ms;
  /// Longest delay of the return of a gateway.
  static constexpr Duration kLongestReturnDelay = 1s;

  explicit EndpointStatements(GatewayId gateway) : gateway_(std::move(gateway)) {}

  /// Sets the number of gateways among which the return to an endpoint is spread.
  void SetGatewayCount(size_t count) { gateway_count_ = count; }
  /// Records what an endpoint said in a response to this gateway.
  /// @param run the run of the endpoint as it is listed; 0 if it is not known.
  /// @return whether the endpoint has newly said that it leaves, so that the peers must be told.
  bool OnStatement(MonoTime now,
                   const EndpointId& endpoint,
                   Incarnation run,
                   const UpstreamStatement& statement);
  /// Records that an endpoint has said to a peer that it leaves.
  /// @return whether this was not known.
  bool OnLeaving(MonoTime now, const LeavingEndpoint& leaving);
  /// Ends the statements of an earlier run of the endpoint.
  void OnListed(const EndpointId& endpoint, Incarnation run);
  /// Ends the statements of an earlier run of the endpoint, which the instance id shows.
  void OnInstance(const EndpointId& endpoint, const InstanceId& instance);
  /// Removes the statements whose time is over.
  void RemoveEnded(MonoTime now);

  /// Returns the endpoints that are held back.
  std::map<EndpointId, HeldEndpoint> held() const;
  std::vector<LeavingEndpoint> leaving() const;
  /// Returns when RemoveEnded must be called next, or nothing.
  std::optional<MonoTime> next_end() const;
  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Incarnation run;
    InstanceId instance;
    bool leaving = false;
    std::optional<MonoTime> wants_nothing_until;
    MonoTime stated;  ///< Time of the latest statement.
  };

  /// Returns the entry of a run of an endpoint, or null if the entry is of a later run.
  Entry* FindOrAdd(MonoTime now, const EndpointId& endpoint, Incarnation run);
  /// Returns how much later than allowed this gateway returns to the endpoint.
  Duration ReturnDelay(const EndpointId& endpoint) const;

  GatewayId gateway_;
  size_t gateway_count_ = 1;
  std::map<EndpointId, Entry> entries_;
};

}  // namespace jd
