#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <set>
#include <string>

#include "common/ids.h"
#include "common/table.h"
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
  uint64_t config_version = 0;  ///< 0: none.
  bool ready = false;
};

/// The metrics of a gateway; their names are stable.
class Metrics {
 public:
  Metrics();

  void CountCall(CallEnd end);
  /// Names the workspaces that get a series of their own; all others share one, because callers
  /// choose the name that they send.
  void SetWorkspaces(std::set<WorkspaceId> workspaces) { workspaces_ = std::move(workspaces); }
  void CountRefusal(RefusalReason reason, const WorkspaceId& workspace);
  void CountAttempt(const AttemptResult& result);
  void CountProbe(bool answered);
  void CountTableReply(TableStatus status);
  /// Counts one decision to close the older connections to an endpoint.
  void CountSilentConnections() { silent_connections_->Increment(); }
  /// @param whole time from the request's arrival to its answer.
  void ObserveCall(Duration whole);
  /// @param added time of the call in the gateway less the time in which an attempt ran.
  void ObserveAdded(Duration added);
  /// Returns all metrics in the text format of Prometheus.
  std::string Serialize(const GatewayLevels& levels);

 private:
  using Counter = prometheus::Counter;
  using Gauge = prometheus::Gauge;

  void AddCalls();
  void AddUpstreamAndTable();
  void AddLevels();

  prometheus::Registry registry_;
  std::set<WorkspaceId> workspaces_;
  std::map<CallEnd, Counter*> calls_;
  std::map<RefusalReason, Counter*> refusals_;
  std::map<AttemptOutcome, Counter*> attempts_;
  std::map<TableStatus, Counter*> table_replies_;
  prometheus::Family<Counter>* workspace_refusals_ = nullptr;
  Counter* upstream_connects_ = nullptr;
  Counter* silent_connections_ = nullptr;
  Counter* probes_answered_ = nullptr;
  Counter* probes_failed_ = nullptr;
  prometheus::Histogram* whole_ = nullptr;
  prometheus::Histogram* added_ = nullptr;
  Gauge* in_flight_ = nullptr;
  Gauge* waiting_ = nullptr;
  Gauge* caller_connections_ = nullptr;
  Gauge* peer_bytes_sent_ = nullptr;
  Gauge* peer_bytes_received_ = nullptr;
  Gauge* peer_messages_sent_ = nullptr;
  Gauge* upstream_connections_ = nullptr;
  Gauge* config_version_ = nullptr;
  Gauge* ready_ = nullptr;
};

}  // namespace jd
