#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// How an endpoint may be probed.
struct ProbeSettings {
  int32_t slots = 1;
  double share = 0.005;         ///< Budget as a share of slot time.
  Duration probe_cost = 1ms;    ///< Slot time that one probe takes at the endpoint.
  Duration connect_cost = 1ms;  ///< Added, since a probe may open a connection.
  bool operator==(const ProbeSettings&) const = default;
};

/// Decides which endpoints of the owned pools are probed (section 3.3). Each endpoint has a token
/// bucket in slot time. It starts empty, also after a change of owner, so that two owners in turn
/// spend no more than one would have.
class ProbeScheduler {
 public:
  /// Adds an endpoint, or changes its settings; the bucket stays.
  void SetEndpoint(MonoTime now, const EndpointId& endpoint, const ProbeSettings& settings);
  /// Stops probing an endpoint: it is gone, or its pool is owned no more.
  void RemoveEndpoint(const EndpointId& endpoint);
  /// A response of the endpoint was seen by any gateway, or a probe was answered.
  void OnFreeSignal(MonoTime now, const EndpointId& endpoint);
  /// Returns the endpoints to probe now and pays for them.
  std::vector<EndpointId> TakeProbes(MonoTime now);
  /// Returns when TakeProbes is due next.
  std::optional<MonoTime> next_timer() const;

 private:
  struct Bucket {
    ProbeSettings settings;
    MonoTime filled_at;
    Duration tokens{0};
    MonoTime signal;  ///< Latest free signal or probe.
    Duration cost() const { return settings.probe_cost + settings.connect_cost; }
    /// Slot time earned in one second.
    double rate() const { return settings.share * settings.slots; }
  };

  static void Fill(MonoTime now, Bucket* bucket);
  static std::optional<MonoTime> DueAt(const Bucket& bucket);

  std::map<EndpointId, Bucket> buckets_;
};

}  // namespace jd
