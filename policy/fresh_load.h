#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "policy/probe_budget.h"
#include "policy/probe_result.h"
#include "policy/routing_policy.h"
#include "policy/saturation_slowdown.h"

namespace jd {

/// Routing policy that probes a few endpoints just before each call and sends the call to the
/// endpoint that is expected to finish it first, based on load reports that are only milliseconds
/// old.
///
/// The load of upstreams changes faster than the reports in responses arrive, so an older report is
/// used only to choose which endpoints to probe. Endpoints of the gateway's local zone are probed
/// first. Endpoints of other zones are probed only if no local endpoint is expected to answer
/// before the target time, because traffic between zones is slower and costs more.
class FreshLoad {
 public:
  static constexpr std::string_view kName = "fresh_load";
  /// Maximum number of local endpoints probed in parallel for one call.
  static constexpr size_t kProbesPerCall = 4;
  /// Maximum number of endpoints of other zones probed in parallel for one call; lower, because
  /// each of these probes costs more.
  static constexpr size_t kRemoteProbesPerCall = 2;
  /// Maximum number of endpoints probed at once for a call that waits for room. It is probed for
  /// repeatedly, so single probes find a freed slot sooner than the same number at once.
  static constexpr size_t kProbesPerWaitingCall = 1;
  /// Endpoints whose latest load report is older than this are not chosen.
  static constexpr Duration kMaxReportAge = 15ms;

  /// Returns the endpoints to probe before the call is sent, limited by the probe budget.
  /// @param stage 0 for endpoints of the local zone, 1 for endpoints of the other zones.
  std::vector<EndpointId> ChooseProbeTargets(MonoTime now,
                                             const AcquireRequest& request,
                                             int stage,
                                             RandomEngine& random);
  /// Limits the probes of this gateway.
  /// @param rate probes per second and endpoint, pooled over all endpoints of a service; 0: no
  /// limit.
  void SetProbeRate(MonoTime now, double rate);
  /// Updates the load report, health and failure count of an endpoint from the result of a probe.
  /// @return whether the endpoint is idle enough to send a call without waiting for the other
  /// probes.
  bool OnProbeResult(MonoTime now, const ProbeResult& result);

  /// Returns the latest load report of an endpoint and its age as name=value pairs for the log.
  std::string DescribeLoad(MonoTime now, const EndpointId& endpoint) const;
  /// Returns the limit in the latest load report of an endpoint, or nothing.
  std::optional<CallRate> KnownLimit(const EndpointId& endpoint) const;
  /// Returns how often an endpoint was passed over, by reason.
  const EndpointHoldCounts& hold_counts() const { return hold_counts_; }
  /// Sends neither probes nor calls to an endpoint before `retry_at`, because no permit is free.
  void OnPermitRefused(const EndpointId& endpoint, MonoTime retry_at);

  /// Chooses the endpoint with the lowest expected latency among those with a recent load report.
  /// @return nothing if no such endpoint may get the call.
  std::optional<EndpointId> Acquire(MonoTime now,
                                    const AcquireRequest& request,
                                    RandomEngine& random);
  void Release(MonoTime now, const EndpointId& endpoint, const AttemptResult& result);
  void SetService(MonoTime now, const ServiceView& view);
  void RemoveService(MonoTime now, const ServiceId& service);
  void SetQueueLength(MonoTime, const ServiceId&, int32_t) {}
  void OnLoadReport(MonoTime now, const EndpointId& endpoint, const LoadReport& report);

 private:
  /// A call that this gateway sent to an endpoint and that has not ended.
  struct SentCall {
    MonoTime sent_at;
    bool nearly_full = false;  ///< Whether the endpoint was nearly full with this call.
    bool slow = false;         ///< Whether the endpoint reported to be slower than usual.
  };
  /// What this gateway knows about one endpoint.
  struct EndpointRecord {
    ServiceId service;
    ZoneId zone;
    MonoTime created;      ///< When the endpoint joined `service`.
    LoadReport report;     ///< The latest load report.
    MonoTime report_time;  ///< When `report` arrived.
    bool has_report = false;
    bool healthy = true;               ///< False if the latest probe got no 2xx status.
    int32_t sent_since_report = 0;     ///< Calls of this gateway sent after `report`.
    std::vector<SentCall> in_flight;   ///< Calls of this gateway in flight.
    int32_t consecutive_failures = 0;  ///< Consecutive failures of probes and calls.
    MonoTime retry_at;  ///< After failures, neither probes nor calls are sent before this time.
    MonoTime permit_retry_at;  ///< No permit for a call is expected before this time.
    MonoTime cold_until;       ///< The endpoint warms up until this time and gets no calls.
  };

  /// Returns what is known of the endpoint that can forbid sending to it.
  static EndpointFacts FactsOf(const EndpointView& endpoint, const EndpointRecord& record);
  /// Counts an endpoint that is passed over, and returns whether it is.
  bool IsHeld(EndpointHold hold);
  /// Returns the record of an endpoint of a service, or null if the endpoint is in another service
  /// by now. While an endpoint moves, it may be listed in two services.
  EndpointRecord* FindRecord(const ServiceId& service, const EndpointId& endpoint);
  /// Forgets an endpoint that has left a service, unless it is in another one by now.
  void RemoveRecord(const ServiceId& service, const EndpointId& endpoint);
  /// Returns the rank by which endpoints are chosen for probing; lower is better.
  double ProbeRank(MonoTime now, const EndpointRecord& record) const;
  /// Returns the time that the endpoint is expected to need for a call sent now, including queueing
  /// and a small penalty for its utilization.
  /// @param service_time usual service time of the call.
  Duration ExpectedLatency(const EndpointRecord& record,
                           const EndpointView& endpoint,
                           Duration service_time) const;
  /// Returns the estimated slowdown of nearly full upstreams of the endpoint's service.
  const SaturationSlowdown& SlowdownOf(const EndpointRecord& record) const;
  /// Returns the estimated number of calls running or queued at the endpoint: those in its latest
  /// report and those that this gateway has sent since.
  static int32_t EstimatedCalls(const EndpointRecord& record);
  /// Returns whether a call may be sent to the endpoint.
  /// @param expected_latency time that the endpoint is expected to need for the call.
  bool MaySendTo(MonoTime now,
                 const AcquireRequest& request,
                 const EndpointRecord& record,
                 const EndpointView& endpoint,
                 Duration expected_latency) const;
  /// Returns whether the latency of an answered call shows how a nearly full endpoint slows down:
  /// the endpoint was nearly full, or not, both when the call was sent and when it was answered,
  /// and was not slow for another reason.
  static bool IsSaturationSample(const SentCall& sent, const AttemptResult& result);
  /// Removes the call whose send time is closest to `sent_at` from the calls in flight and returns
  /// it.
  /// @return nothing if no call is in flight.
  static std::optional<SentCall> RemoveSentCall(EndpointRecord* record, MonoTime sent_at);
  /// Counts a failed probe or call and starts a backoff after more failures than tolerated.
  void RecordFailure(MonoTime now, EndpointRecord* record);
  /// Sets the probe budget of a service in proportion to the number of its endpoints.
  void UpdateProbeBudget(MonoTime now, const ServiceView& view);

  std::map<ServiceId, ServiceView> services_;
  std::unordered_map<EndpointId, EndpointRecord> records_;
  std::map<ServiceId, SaturationSlowdown> saturation_slowdowns_;
  std::map<ServiceId, ProbeBudget> probe_budgets_;
  double probe_rate_ = 0;  ///< Probes per second and endpoint; 0: no limit.
  EndpointHoldCounts hold_counts_{};
};

static_assert(ProbingPolicy<FreshLoad>);

}  // namespace jd
