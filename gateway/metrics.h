#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

#include "common/units.h"
#include "gateway/peer_links.h"
#include "policy/attempt_result.h"
#include "policy/refusal.h"

namespace jd {

/// How a call ended for its caller.
enum class CallEnd : uint8_t { kAnswered, kRefused, kReplayed, kCallerGone, kRejected };

/// Present amounts, read when the metrics are asked for.
struct GatewayLevels {
  PeerLinks::Traffic peers;
  size_t calls = 0;
  size_t waiting = 0;  ///< Calls without an attempt under way.
  size_t caller_connections = 0;
  size_t upstream_connections = 0;
  bool ready = false;
};

/// The metrics of a gateway; their names are stable.
class Metrics {
 public:
  Metrics();

  void CountCall(CallEnd end);
  void CountRefusal(RefusalReason reason);
  void CountAttempt(AttemptOutcome outcome);
  /// @param added time of the call in the gateway less the time in which an attempt ran.
  void ObserveAdded(Duration added);
  /// Returns all metrics in the text format of Prometheus.
  std::string Serialize(const GatewayLevels& levels);

 private:
  prometheus::Registry registry_;
  std::map<CallEnd, prometheus::Counter*> calls_;
  std::map<RefusalReason, prometheus::Counter*> refusals_;
  std::map<AttemptOutcome, prometheus::Counter*> attempts_;
  prometheus::Histogram* added_;
  prometheus::Gauge* in_flight_;
  prometheus::Gauge* waiting_;
  prometheus::Gauge* caller_connections_;
  prometheus::Gauge* peer_bytes_sent_;
  prometheus::Gauge* peer_bytes_received_;
  prometheus::Gauge* peer_messages_sent_;
  prometheus::Gauge* upstream_connections_;
  prometheus::Gauge* ready_;
};

}  // namespace jd
