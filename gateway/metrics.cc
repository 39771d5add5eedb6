#include "gateway/metrics.h"

#include <prometheus/text_serializer.h>

namespace jd {
namespace {

// In seconds. The buckets are finest around the target of 0.39 ms for the 99th percentile.
const prometheus::Histogram::BucketBoundaries kAddedLatencyBuckets = {
    0.00005, 0.0001, 0.0002, 0.0003, 0.00039, 0.0005, 0.001, 0.002, 0.005,
    0.01,    0.025,  0.05,   0.1,    0.25,    0.5,    1.0,   2.5,   5.0};

// In seconds.
const prometheus::Histogram::BucketBoundaries kCallLatencyBuckets = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0};

const char* LabelValue(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kAnswered:
      return "answered";
    case CallOutcome::kRefused:
      return "refused";
    case CallOutcome::kReplayed:
      return "replayed";
    case CallOutcome::kCallerGone:
      return "caller-gone";
    case CallOutcome::kRejected:
      return "rejected";
  }
  return "unknown";
}

const char* LabelValue(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return "answered";
    case AttemptOutcome::kRefused:
      return "refused";
    case AttemptOutcome::kConnectFailed:
      return "connect-failed";
    case AttemptOutcome::kConnectionLost:
      return "connection-lost";
    case AttemptOutcome::kInvalid:
      return "invalid";
    case AttemptOutcome::kTimedOut:
      return "timed-out";
    case AttemptOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

const char* LabelValue(TableStatus status) {
  switch (status) {
    case TableStatus::kDone:
      return "done";
    case TableStatus::kConflict:
      return "conflict";
    case TableStatus::kUnavailable:
      return "unavailable";
    case TableStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

prometheus::Family<prometheus::Counter>* RegisterCounterFamily(prometheus::Registry* registry,
                                                               const char* name,
                                                               const char* help) {
  return &prometheus::BuildCounter().Name(name).Help(help).Register(*registry);
}

prometheus::Histogram* RegisterHistogram(prometheus::Registry* registry,
                                         const char* name,
                                         const char* help,
                                         const prometheus::Histogram::BucketBoundaries& bounds) {
  return &prometheus::BuildHistogram().Name(name).Help(help).Register(*registry).Add({}, bounds);
}

// Adds one counter for each value of an enumeration from 0 to `last`, so that every time series
// exists before its first event.
template <typename Value, typename NameOf>
std::map<Value, prometheus::Counter*> AddCounterPerValue(
    prometheus::Family<prometheus::Counter>* family,
    const char* label,
    Value last,
    NameOf name_of) {
  std::map<Value, prometheus::Counter*> counters;
  for (int i = 0; i <= static_cast<int>(last); ++i) {
    const auto value = static_cast<Value>(i);
    counters[value] = &family->Add({{label, std::string(name_of(value))}});
  }
  return counters;
}

}  // namespace

Metrics::Metrics() {
  RegisterCallMetrics();
  RegisterUpstreamAndTableMetrics();
  RegisterGauges();
}

void Metrics::RegisterCallMetrics() {
  calls_ = AddCounterPerValue(
      RegisterCounterFamily(&registry_, "jackdawdeck_calls_total", "Calls by how they ended."),
      "end", CallOutcome::kRejected, [](CallOutcome outcome) { return LabelValue(outcome); });
  refusals_ = AddCounterPerValue(
      RegisterCounterFamily(&registry_, "jackdawdeck_refusals_total", "Refused calls by reason."),
      "reason", RefusalReason::kOverQuota, &RefusalReasonName);
  workspace_refusals_ = RegisterCounterFamily(&registry_, "jackdawdeck_workspace_refusals_total",
                                              "Refused calls by workspace.");
  call_latency_ =
      RegisterHistogram(&registry_, "jackdawdeck_call_latency_seconds",
                        "Time of answered calls from arrival to answer.", kCallLatencyBuckets);
  added_latency_ =
      RegisterHistogram(&registry_, "jackdawdeck_added_latency_seconds",
                        "Time of answered calls in the gateway less the time of their attempts.",
                        kAddedLatencyBuckets);
}

void Metrics::RegisterUpstreamAndTableMetrics() {
  attempts_ = AddCounterPerValue(RegisterCounterFamily(&registry_, "jackdawdeck_attempts_total",
                                                       "Attempts at endpoints by outcome."),
                                 "outcome", AttemptOutcome::kCancelled,
                                 [](AttemptOutcome outcome) { return LabelValue(outcome); });
  upstream_connects_ = &RegisterCounterFamily(&registry_, "jackdawdeck_upstream_connects_total",
                                              "Attempts that needed a new connection.")
                            ->Add({});
  silent_connections_ =
      &RegisterCounterFamily(&registry_, "jackdawdeck_silent_connections_total",
                             "Times that old connections to an endpoint were closed.")
           ->Add({});
  auto* probes =
      RegisterCounterFamily(&registry_, "jackdawdeck_probes_total", "Health probes by result.");
  probes_answered_ = &probes->Add({{"result", "answered"}});
  probes_failed_ = &probes->Add({{"result", "failed"}});
  table_replies_ = AddCounterPerValue(
      RegisterCounterFamily(&registry_, "jackdawdeck_table_replies_total",
                            "Requests to the platform's table by how they ended."),
      "status", TableStatus::kUnknown, [](TableStatus status) { return LabelValue(status); });
}

void Metrics::RegisterGauges() {
  const auto add = [this](const char* name, const char* help) {
    return &prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add({});
  };
  calls_in_flight_ = add("jackdawdeck_calls_in_flight", "Calls not ended yet.");
  calls_waiting_ = add("jackdawdeck_calls_waiting", "Calls without an attempt.");
  caller_connections_ = add("jackdawdeck_caller_connections", "Connections of callers.");
  caller_memory_bytes_ = add("jackdawdeck_caller_memory_bytes",
                             "Memory of callers' requests and of answers that are not written.");
  upstream_connections_ = add("jackdawdeck_upstream_connections", "Connections to endpoints.");
  upstream_connections_passed_over_ =
      add("jackdawdeck_upstream_connections_passed_over",
          "Attempts since the start that no idle connection could carry, because each had carried "
          "an earlier attempt of the request.");
  peer_connections_replaced_ = add("jackdawdeck_peer_connections_replaced",
                                   "Silent connections to peers replaced since the start.");
  peer_bytes_sent_ = add("jackdawdeck_peer_bytes_sent", "Bytes sent to peers since the start.");
  peer_bytes_received_ = add("jackdawdeck_peer_bytes_received",
                             "Bytes received from peers and operators since the start.");
  peer_messages_sent_ =
      add("jackdawdeck_peer_messages_sent", "Messages sent to peers since the start.");
  config_version_ = add("jackdawdeck_config_version", "Configuration in use, 0: none.");
  permits_granted_ =
      add("jackdawdeck_permits_granted", "Granted permits for calls to endpoints with a limit.");
  permits_refused_ =
      add("jackdawdeck_permits_refused", "Refused permits for calls to endpoints with a limit.");
  permits_unanswered_ =
      add("jackdawdeck_permits_unanswered", "Requests for permits that got no reply in time.");
  quota_refused_ =
      add("jackdawdeck_quota_refused", "Calls refused because their workspace used up its quota.");
  quota_tokens_requested_ =
      add("jackdawdeck_quota_tokens_requested", "Requested tokens for calls of workspaces.");
  quota_tokens_granted_ =
      add("jackdawdeck_quota_tokens_granted", "Granted tokens for calls of workspaces.");
  quota_unanswered_ = add("jackdawdeck_quota_unanswered",
                          "Waits for a token of a quota that got no reply in time.");
  auto& holds = prometheus::BuildGauge()
                    .Name("jackdawdeck_endpoint_holds")
                    .Help("Times that a call passed over an endpoint, by reason.")
                    .Register(registry_);
  for (size_t i = 1; i < kEndpointHoldCount; ++i) {
    const std::string reason(EndpointHoldName(static_cast<EndpointHold>(i)));
    endpoint_holds_.push_back(&holds.Add({{"reason", reason}}));
  }
  ready_ = add("jackdawdeck_ready", "1 if the balancer may send calls.");
}

void Metrics::CountCall(CallOutcome outcome) {
  calls_.at(outcome)->Increment();
}

void Metrics::CountRefusal(RefusalReason reason, const WorkspaceId& workspace) {
  refusals_.at(reason)->Increment();
  const bool known = workspaces_.contains(workspace);
  workspace_refusals_->Add({{"workspace", known ? workspace.value : "other"}}).Increment();
}

void Metrics::CountAttempt(const AttemptResult& result) {
  attempts_.at(result.outcome)->Increment();
  if (result.new_connection) {
    upstream_connects_->Increment();
  }
}

void Metrics::CountProbe(bool answered) {
  (answered ? probes_answered_ : probes_failed_)->Increment();
}

void Metrics::CountTableReply(TableStatus status) {
  table_replies_.at(status)->Increment();
}

void Metrics::ObserveCallLatency(Duration latency) {
  call_latency_->Observe(std::chrono::duration<double>(latency).count());
}

void Metrics::ObserveAddedLatency(Duration added) {
  added_latency_->Observe(std::chrono::duration<double>(added).count());
}

std::string Metrics::Serialize(const GaugeValues& values) {
  calls_in_flight_->Set(static_cast<double>(values.calls_in_flight));
  calls_waiting_->Set(static_cast<double>(values.calls_waiting));
  caller_connections_->Set(static_cast<double>(values.caller_connections));
  caller_memory_bytes_->Set(static_cast<double>(values.caller_memory_bytes));
  peer_connections_replaced_->Set(static_cast<double>(values.peer_traffic.replaced));
  peer_bytes_sent_->Set(static_cast<double>(values.peer_traffic.bytes_sent));
  peer_bytes_received_->Set(static_cast<double>(values.peer_traffic.bytes_received));
  peer_messages_sent_->Set(static_cast<double>(values.peer_traffic.messages_sent));
  upstream_connections_->Set(static_cast<double>(values.upstream_connections));
  upstream_connections_passed_over_->Set(
      static_cast<double>(values.upstream_connections_passed_over));
  config_version_->Set(static_cast<double>(values.config_version));
  permits_granted_->Set(static_cast<double>(values.permits.granted));
  permits_refused_->Set(static_cast<double>(values.permits.refused));
  permits_unanswered_->Set(static_cast<double>(values.permits.unanswered));
  quota_refused_->Set(static_cast<double>(values.quotas.calls_refused));
  quota_tokens_requested_->Set(static_cast<double>(values.quotas.tokens_requested));
  quota_tokens_granted_->Set(static_cast<double>(values.quotas.tokens_granted));
  quota_unanswered_->Set(static_cast<double>(values.quotas.unanswered));
  for (size_t i = 1; i < kEndpointHoldCount; ++i) {
    endpoint_holds_.at(i - 1)->Set(static_cast<double>(values.holds.at(i)));
  }
  ready_->Set(values.ready ? 1 : 0);
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace jd
