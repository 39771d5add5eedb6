#include "gateway/metrics.h"

#include <prometheus/text_serializer.h>

namespace jd {
namespace {

// Finest around the target of 0.39 ms for the 99th percentile.
const prometheus::Histogram::BucketBoundaries kAddedBounds = {
    0.00005, 0.0001, 0.0002, 0.0003, 0.00039, 0.0005, 0.001, 0.002, 0.005,
    0.01,    0.025,  0.05,   0.1,    0.25,    0.5,    1.0,   2.5,   5.0};

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
    case AttemptOutcome::kTimedOut:
      return "timed-out";
    case AttemptOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

prometheus::Gauge* NewGauge(prometheus::Registry* registry, const char* name, const char* help) {
  return &prometheus::BuildGauge().Name(name).Help(help).Register(*registry).Add({});
}

// Adds one counter for each value, so that a series exists before its first event.
template <typename Value, typename NameOf>
void AddCounters(prometheus::Family<prometheus::Counter>* family,
                 const char* label,
                 Value last,
                 NameOf name_of,
                 std::map<Value, prometheus::Counter*>* counters) {
  for (int i = 0; i <= static_cast<int>(last); ++i) {
    const auto value = static_cast<Value>(i);
    (*counters)[value] = &family->Add({{label, std::string(name_of(value))}});
  }
}

}  // namespace

Metrics::Metrics()
    : added_(&prometheus::BuildHistogram()
                  .Name("jackdawdeck_added_latency_seconds")
                  .Help("Time of answered calls in the gateway less the time of their attempts.")
                  .Register(registry_)
                  .Add({}, kAddedBounds)),
      in_flight_(NewGauge(&registry_, "jackdawdeck_calls_in_flight", "Calls not ended yet.")),
      waiting_(NewGauge(&registry_, "jackdawdeck_calls_waiting", "Calls without an attempt.")),
      caller_connections_(
          NewGauge(&registry_, "jackdawdeck_caller_connections", "Connections of callers.")),
      peer_bytes_sent_(NewGauge(&registry_,
                                "jackdawdeck_peer_bytes_sent",
                                "Bytes sent to peers since the start.")),
      peer_bytes_received_(NewGauge(&registry_,
                                    "jackdawdeck_peer_bytes_received",
                                    "Bytes received from peers and operators since the start.")),
      peer_messages_sent_(NewGauge(&registry_,
                                   "jackdawdeck_peer_messages_sent",
                                   "Messages sent to peers since the start.")),
      upstream_connections_(
          NewGauge(&registry_, "jackdawdeck_upstream_connections", "Connections to endpoints.")),
      ready_(NewGauge(&registry_, "jackdawdeck_ready", "1 if the balancer may send calls.")) {
  auto& calls = prometheus::BuildCounter()
                    .Name("jackdawdeck_calls_total")
                    .Help("Calls by how they ended.")
                    .Register(registry_);
  AddCounters(
      &calls, "end", CallEnd::kRejected, [](CallEnd end) { return Name(end); }, &calls_);
  auto& refusals = prometheus::BuildCounter()
                       .Name("jackdawdeck_refusals_total")
                       .Help("Refused calls by reason.")
                       .Register(registry_);
  AddCounters(&refusals, "reason", RefusalReason::kKeyUnresolved, &RefusalReasonName, &refusals_);
  auto& attempts = prometheus::BuildCounter()
                       .Name("jackdawdeck_attempts_total")
                       .Help("Attempts at endpoints by outcome.")
                       .Register(registry_);
  AddCounters(
      &attempts, "outcome", AttemptOutcome::kCancelled,
      [](AttemptOutcome outcome) { return Name(outcome); }, &attempts_);
}

void Metrics::CountCall(CallEnd end) {
  calls_.at(end)->Increment();
}

void Metrics::CountRefusal(RefusalReason reason) {
  refusals_.at(reason)->Increment();
}

void Metrics::CountAttempt(AttemptOutcome outcome) {
  attempts_.at(outcome)->Increment();
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
  ready_->Set(levels.ready ? 1 : 0);
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace jd
