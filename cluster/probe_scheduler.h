#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// Settings that limit how often an endpoint is probed. Slot time is the time for which a slot is
/// occupied.
struct ProbeSettings {
  int32_t slots = 1;
  double share = 0.005;         ///< Share of the endpoint's slot time that probes may use.
  Duration probe_cost = 1ms;    ///< Slot time that one probe uses at the endpoint.
  Duration connect_cost = 1ms;  ///< Added to each probe, because it may open a connection.
  bool operator==(const ProbeSettings&) const = default;
};

/// Decides when to probe the endpoints of the owned pools (section 3.3). Each endpoint has a token
/// bucket whose tokens are microseconds of slot time. The bucket starts empty, also after a change
/// of owner, so that successive owners together spend no more than a single owner would.
class ProbeScheduler {
 public:
  /// Adds an endpoint, or changes the settings of a known endpoint, which keeps its tokens.
  void SetEndpoint(MonoTime now, const EndpointId& endpoint, const ProbeSettings& settings);
  /// Stops probing an endpoint that was removed, or whose pool this gateway no longer owns.
  void RemoveEndpoint(const EndpointId& endpoint);
  /// Postpones the next probe of an endpoint that has responded to a call or to a probe.
  void OnResponse(MonoTime now, const EndpointId& endpoint);
  /// Returns the endpoints to probe now and subtracts the cost of the probes from their buckets.
  std::vector<EndpointId> TakeProbes(MonoTime now);
  /// Returns when TakeProbes is due next.
  std::optional<MonoTime> next_timer() const;

 private:
  struct Bucket {
    ProbeSettings settings;
    MonoTime filled_at;  ///< When tokens were last added.
    Duration tokens{0};
    /// Time of the latest response or probe, or when the endpoint was added.
    MonoTime last_activity;
    Duration cost() const { return settings.probe_cost + settings.connect_cost; }
    /// Returns the slot time in seconds that is added to the bucket per second.
    double rate() const { return settings.share * settings.slots; }
  };

  /// Adds the tokens for the time since the last call.
  static void Refill(MonoTime now, Bucket* bucket);
  /// Returns when the endpoint may be probed, or nothing if its budget is 0.
  static std::optional<MonoTime> NextProbeTime(const Bucket& bucket);

  std::map<EndpointId, Bucket> buckets_;
};

}  // namespace jd
