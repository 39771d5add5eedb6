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
#include "policy/permit.h"
#include "policy/quota_ledger.h"
#include "policy/refusal.h"

namespace jd {

/// How a call ended for its caller.
enum class CallOutcome : uint8_t {
  kAnswered,    ///< The caller got the response of an endpoint.
  kRefused,     ///< The gateway refused the call.
  kReplayed,    ///< The caller got the stored response to an earlier call with its request key.
  kCallerGone,  ///< The caller disconnected before the call was answered.
  kRejected,    ///< The request was invalid and did not become a call.
};

/// Values of the gauges, read each time the metrics are requested.
struct GaugeValues {
  PeerLinks::Traffic peer_traffic;
  size_t calls_in_flight = 0;  ///< Calls that have not ended.
  size_t calls_waiting = 0;    ///< Calls without a running attempt.
  size_t caller_connections = 0;
  size_t caller_memory_bytes = 0;  ///< Of requests and of answers that are not written.
  size_t upstream_connections = 0;
  uint64_t upstream_connections_passed_over = 0;
  uint64_t config_version = 0;  ///< 0: none.
  bool ready = false;
  PermitCounts permits;
  QuotaCounts quotas;
  EndpointHoldCounts holds{};  ///< Of endpoints that were passed over.
};

/// The metrics of a gateway. Their names are a stable interface.
class Metrics {
 public:
  Metrics();

  void CountCall(CallOutcome outcome);
  /// Sets the workspaces that have their own time series. All other names share the series "other",
  /// because callers choose the workspace name that they send and could create any number of
  /// series.
  void SetWorkspaces(std::set<WorkspaceId> workspaces) { workspaces_ = std::move(workspaces); }
  void CountRefusal(RefusalReason reason, const WorkspaceId& workspace);
  void CountAttempt(const AttemptResult& result);
  void CountProbe(bool answered);
  void CountTableReply(TableStatus status);
  /// Counts one decision to close the older connections to an endpoint because one of them stopped
  /// responding.
  void CountSilentConnections() { silent_connections_->Increment(); }
  /// Records the latency of an answered call.
  /// @param latency time from the arrival of the request to its answer.
  void ObserveCallLatency(Duration latency);
  /// Records the latency that the gateway added to an answered call.
  /// @param added time from arrival to answer, minus the time during which an attempt was running.
  void ObserveAddedLatency(Duration added);
  /// Sets the gauges and returns all metrics in the Prometheus text format.
  std::string Serialize(const GaugeValues& values);

 private:
  using Counter = prometheus::Counter;
  using Gauge = prometheus::Gauge;

  void RegisterCallMetrics();
  void RegisterUpstreamAndTableMetrics();
  void RegisterGauges();

  prometheus::Registry registry_;
  std::set<WorkspaceId> workspaces_;
  std::map<CallOutcome, Counter*> calls_;
  std::map<RefusalReason, Counter*> refusals_;
  std::map<AttemptOutcome, Counter*> attempts_;
  std::map<TableStatus, Counter*> table_replies_;
  prometheus::Family<Counter>* workspace_refusals_ = nullptr;
  Counter* upstream_connects_ = nullptr;  ///< Attempts that needed a new connection.
  Counter* silent_connections_ = nullptr;
  Counter* probes_answered_ = nullptr;
  Counter* probes_failed_ = nullptr;
  prometheus::Histogram* call_latency_ = nullptr;
  prometheus::Histogram* added_latency_ = nullptr;
  Gauge* calls_in_flight_ = nullptr;
  Gauge* calls_waiting_ = nullptr;
  Gauge* caller_connections_ = nullptr;
  Gauge* caller_memory_bytes_ = nullptr;
  Gauge* peer_connections_replaced_ = nullptr;
  Gauge* peer_bytes_sent_ = nullptr;
  Gauge* peer_bytes_received_ = nullptr;
  Gauge* peer_messages_sent_ = nullptr;
  Gauge* upstream_connections_ = nullptr;
  Gauge* upstream_connections_passed_over_ = nullptr;
  Gauge* config_version_ = nullptr;
  std::vector<Gauge*> endpoint_holds_;  ///< By EndpointHold, without kNone.
  Gauge* permits_granted_ = nullptr;
  Gauge* permits_refused_ = nullptr;
  Gauge* permits_unanswered_ = nullptr;
  Gauge* quota_refused_ = nullptr;
  Gauge* quota_tokens_requested_ = nullptr;
  Gauge* quota_tokens_granted_ = nullptr;
  Gauge* quota_unanswered_ = nullptr;
  Gauge* ready_ = nullptr;
};

}  // namespace jd
