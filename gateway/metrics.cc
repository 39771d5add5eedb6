#include "gateway/metrics.h"

#include <prometheus/text_serializer.h>

namespace jd {
namespace {

// In seconds. The buckets are finest around the target of 0.39 ms for the 99th percentile.
const prometheus::Histogram::BucketBoundaries kAddedBounds = {
    0.00005, 0.0001, 0.0002, 0.0003, 0.00039, 0.0005, 0.001, 0.002, 0.005,
    0.01,    0.025,  0.05,   0.1,    0.25,    0.5,    1.0,   2.5,   5.0};

// In seconds.
const prometheus::Histogram::BucketBoundaries kCallBounds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0};

const char* Name(CallEnd end) {
  switch (end) {
    case CallEnd::kAnswered:
      return "answered";
    case CallEnd::kRefused:
      return "refused";
    case CallEnd::kReplayed:
      return "replayed";
    case CallEnd::kCallerGone:
      return "caller-gone";
    case CallEnd::kRejected:
      return "rejected";
  }
  return "unknown";
}

const char* Name(AttemptOutcome outcome) {
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

const char* Name(TableStatus status) {
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

prometheus::Family<prometheus::Counter>* NewCounters(prometheus::Registry* registry,
                                                     const char* name,
                                                     const char* help) {
  return &prometheus::BuildCounter().Name(name).Help(help).Register(*registry);
}

prometheus::Histogram* NewHistogram(prometheus::Registry* registry,
                                    const char* name,
                                    const char* help,
                                    const prometheus::Histogram::BucketBoundaries& bounds) {
  return &prometheus::BuildHistogram().Name(name).Help(help).Register(*registry).Add({}, bounds);
}

// Adds one counter for each value of an enumeration from 0 to `last`, so that every time series
// exists before its first event.
template <typename Value, typename NameOf>
std::map<Value, prometheus::Counter*> AddCounters(prometheus::Family<prometheus::Counter>* family,
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
  AddCalls();
  AddUpstreamAndTable();
  AddLevels();
}

void Metrics::AddCalls() {
  calls_ =
      AddCounters(NewCounters(&registry_, "jackdawdeck_calls_total", "Calls by how they ended."),
                  "end", CallEnd::kRejected, [](CallEnd end) { return Name(end); });
  refusals_ = AddCounters(NewCounters(&registry_, "jackdawdeck_refusals_total",
                                      "Calls that the gateway refused, by reason."),
                          "reason", RefusalReason::kKeyUnresolved, &RefusalReasonName);
  workspace_refusals_ = NewCounters(&registry_, "jackdawdeck_workspace_refusals_total",
                                    "Calls that the gateway refused, by workspace.");
  whole_ = NewHistogram(&registry_, "jackdawdeck_call_latency_seconds",
                        "Latency of answered calls, from the arrival of the request to its answer.",
                        kCallBounds);
  added_ = NewHistogram(&registry_, "jackdawdeck_added_latency_seconds",
                        "Latency of answered calls minus the time during which their attempts ran.",
                        kAddedBounds);
}

void Metrics::AddUpstreamAndTable() {
  attempts_ = AddCounters(
      NewCounters(&registry_, "jackdawdeck_attempts_total", "Attempts at endpoints by outcome."),
      "outcome", AttemptOutcome::kCancelled, [](AttemptOutcome outcome) { return Name(outcome); });
  upstream_connects_ = &NewCounters(&registry_, "jackdawdeck_upstream_connects_total",
                                    "Attempts that opened a new connection to an endpoint.")
                            ->Add({});
  silent_connections_ =
      &NewCounters(&registry_, "jackdawdeck_silent_connections_total",
                   "Decisions to close the older connections to an endpoint after one went silent.")
           ->Add({});
  auto* probes = NewCounters(&registry_, "jackdawdeck_probes_total", "Health probes by result.");
  probes_answered_ = &probes->Add({{"result", "answered"}});
  probes_failed_ = &probes->Add({{"result", "failed"}});
  table_replies_ =
      AddCounters(NewCounters(&registry_, "jackdawdeck_table_replies_total",
                              "Requests to the platform's table by status of the reply."),
                  "status", TableStatus::kUnknown, [](TableStatus status) { return Name(status); });
}

void Metrics::AddLevels() {
  const auto add = [this](const char* name, const char* help) {
    return &prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add({});
  };
  in_flight_ = add("jackdawdeck_calls_in_flight", "Calls that have not ended.");
  waiting_ = add("jackdawdeck_calls_waiting", "Calls without a running attempt.");
  caller_connections_ = add("jackdawdeck_caller_connections", "Connections of callers.");
  upstream_connections_ = add("jackdawdeck_upstream_connections", "Connections to endpoints.");
  peer_bytes_sent_ = add("jackdawdeck_peer_bytes_sent", "Bytes sent to peers since the start.");
  peer_bytes_received_ = add("jackdawdeck_peer_bytes_received",
                             "Bytes received from peers and operators since the start.");
  peer_messages_sent_ =
      add("jackdawdeck_peer_messages_sent", "Messages sent to peers since the start.");
  config_version_ =
      add("jackdawdeck_config_version", "Version of the configuration in use; 0 if there is none.");
  ready_ = add("jackdawdeck_ready", "1 if the gateway is ready for calls, otherwise 0.");
}

void Metrics::CountCall(CallEnd end) {
  calls_.at(end)->Increment();
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

void Metrics::ObserveCall(Duration whole) {
  whole_->Observe(std::chrono::duration<double>(whole).count());
}

void Metrics::ObserveAdded(Duration added) {
  added_->Observe(std::chrono::duration<double>(added).count());
}

std::string Metrics::Serialize(const GatewayLevels& levels) {
  in_flight_->Set(static_cast<double>(levels.calls));
  waiting_->Set(static_cast<double>(levels.waiting));
  caller_connections_->Set(static_cast<double>(levels.caller_connections));
  peer_bytes_sent_->Set(static_cast<double>(levels.peers.bytes_sent));
  peer_bytes_received_->Set(static_cast<double>(levels.peers.bytes_received));
  peer_messages_sent_->Set(static_cast<double>(levels.peers.messages_sent));
  upstream_connections_->Set(static_cast<double>(levels.upstream_connections));
  config_version_->Set(static_cast<double>(levels.config_version));
  ready_->Set(levels.ready ? 1 : 0);
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace jd
