#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "policy/fill_cost.h"
#include "policy/probe_budget.h"
#include "policy/probe_result.h"
#include "policy/routing_policy.h"

namespace jd {

/// Chooses by load reports that are only milliseconds old: a few candidates are probed just before
/// a call is sent, and it goes to the one that is expected to finish it first.
///
/// The load of upstreams shifts faster than reports that come with answers can tell, so an older
/// report only helps to choose the candidates. Endpoints of the gateway's own zone are asked first;
/// those of other zones are asked only if no own one is expected to answer within the target
/// latency, because traffic between zones is slower and costs more.
class FreshLoad {
 public:
  static constexpr std::string_view kName = "fresh_load";
  /// Endpoints asked at the same time for one call.
  static constexpr size_t kCandidates = 4;
  /// The same in other zones, where each probe costs more.
  static constexpr size_t kRemoteCandidates = 2;
  /// A report older than this is no basis for a decision.
  static constexpr Duration kFreshFor = 40ms;

  /// Returns the endpoints to probe before the call is sent.
  /// @param stage 0 asks the own zone, 1 the others.
  std::vector<EndpointId> Candidates(MonoTime now,
                                     const AcquireRequest& request,
                                     int stage,
                                     RandomEngine& random);
  void SetProbeRate(MonoTime now, double rate);
  /// Takes in the end of a probe.
  /// @return whether the endpoint is idle enough that a call need not wait for other answers.
  bool OnProbe(MonoTime now, const ProbeResult& result);

  std::string Describe(MonoTime now, const EndpointId& endpoint) const;

  std::optional<EndpointId> Acquire(MonoTime now,
                                    const AcquireRequest& request,
                                    RandomEngine& random);
  void Release(MonoTime now, const EndpointId& endpoint, const AttemptResult& result);
  void SetService(MonoTime now, const ServiceView& view);
  void RemoveService(MonoTime now, const ServiceId& service);
  void SetWaiting(MonoTime, const ServiceId&, int32_t) {}
  void OnLoadReport(MonoTime now, const EndpointId& endpoint, const LoadReport& report);

 private:
  /// An own call at an endpoint.
  struct SentCall {
    MonoTime sent;
    bool nearly_full = false;
  };
  struct Seen {
    ServiceId service;
    ZoneId zone;
    LoadReport report;
    MonoTime at;
    bool has_report = false;
    bool healthy = true;         ///< As the health page said last.
    int32_t sent_since = 0;      ///< Own calls sent after the report.
    std::vector<SentCall> sent;  ///< Own calls in flight.
    int32_t failures = 0;        ///< Probes and calls in a row.
    MonoTime retry_at;           ///< No probe before this time, after failures.
    MonoTime cold_until;
  };

  bool Usable(MonoTime now, const EndpointView& endpoint) const;
  /// Orders endpoints before they are asked: lower is better.
  double RankOf(MonoTime now, const Seen& seen) const;
  /// Returns when the endpoint would have finished a call sent now.
  Duration FinishOf(const Seen& seen, const EndpointView& endpoint, Duration work) const;
  const FillCost& CostOf(const Seen& seen) const;
  /// Returns the calls that the endpoint has, as far as is known.
  static int32_t AheadOf(const Seen& seen);
  /// Returns whether a call may be sent to an endpoint that would finish it after `finish`.
  bool HasRoom(MonoTime now,
               const AcquireRequest& request,
               const Seen& seen,
               const EndpointView& endpoint,
               Duration finish) const;
  /// Takes the call that was sent at about this time out of those in flight.
  static std::optional<SentCall> TakeSent(Seen* seen, MonoTime sent);
  void Fail(MonoTime now, Seen* seen);
  /// Sets the budget of a service by the number of its endpoints.
  void UpdateBudget(MonoTime now, const ServiceView& view);

  std::map<ServiceId, ServiceView> services_;
  std::unordered_map<EndpointId, Seen> seen_;
  std::map<ServiceId, FillCost> fill_costs_;
  std::map<ServiceId, ProbeBudget> probe_budgets_;
  double probe_rate_ = 0;  ///< Per endpoint; 0: no bound.
};

static_assert(MeasuringPolicy<FreshLoad>);

}  // namespace jd
