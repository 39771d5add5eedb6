#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "common/ids.h"
#include "common/units.h"
#include "policy/slot_message.h"

namespace jd {

/// What the owner of a pool knows about the state of one endpoint, and how many slots may be used
/// there because of it (section 3.2).
class EndpointHealth {
 public:
  /// @param slots configured slots. @param cold whether the endpoint is new to the pool.
  EndpointHealth(int32_t slots, bool cold);

  void SetSlots(int32_t slots);
  /// Lowers the warm-up limit to the bound that a holder learned from the former owner of the pool.
  void LowerWarmUpLimit(int32_t bound);
  /// Updates the state from what one holder observed.
  /// @param pool_median median of the warm latencies of the pool's endpoints, or 0 if unknown.
  void OnEvidence(MonoTime now, const EndpointEvidence& evidence, Duration pool_median);
  /// Updates the state from a load report.
  /// @param known_in_flight number of calls that all holders together are known to have in flight
  /// at the endpoint. A report with fewer calls is outdated or wrong.
  void OnLoadReport(MonoTime now, const LoadReport& report, int32_t known_in_flight);
  /// Ejects the endpoint for a time if it had enough consecutive failures.
  /// @return whether it was ejected.
  bool EjectIfDue(MonoTime now);

  /// Returns the number of slots that all gateways together may use at the endpoint; 0 if it is
  /// ejected or draining.
  int32_t bound(MonoTime now) const;
  bool ejected(MonoTime now) const { return now < ejected_until_; }
  bool cold() const { return warm_up_limit_ < slots_; }
  bool draining() const { return draining_; }
  /// Returns whether a recent report showed fewer calls than are known to be in flight. While this
  /// is true, a report may restrict the endpoint, but cannot lift a restriction.
  bool reports_distrusted(MonoTime now) const { return now < reports_distrusted_until_; }
  /// Returns the median latency of the latest responses, or 0 if there are none.
  Duration latency() const;
  /// Returns the moving average of the median latency while the endpoint was warm, or 0.
  Duration warm_latency() const { return warm_latency_; }
  /// Returns when bound() will change without an event, which is when an ejection ends.
  std::optional<MonoTime> next_change(MonoTime now) const;

 private:
  void ResetToCold();
  void UpdateInstance(MonoTime now, const InstanceId& instance);
  void UpdateReportedState(MonoTime now, EndpointState state);
  /// Updates latencies and the warm-up from successful calls.
  void UpdateFromSuccesses(const EndpointEvidence& evidence, Duration pool_median);
  /// Lowers the adaptive limit after refusals or slow responses, and raises it after others.
  void UpdateAdaptiveLimit(MonoTime now, const EndpointEvidence& evidence, Duration pool_median);

  int32_t slots_;  ///< As configured.
  /// Limit of the warm-up: 1 slot for a cold endpoint, doubled after successes up to slots_.
  int32_t warm_up_limit_;
  /// Successes at the present warm_up_limit_, without a slow response in between.
  int32_t warm_up_successes_ = 0;
  double adaptive_limit_;      ///< Limit in slots, halved on overload and raised by successes.
  MonoTime limit_lowered_at_;  ///< When adaptive_limit_ was last halved.
  InstanceId instance_;
  bool draining_ = false;
  /// The endpoint has reported itself as cold, and no trusted report has said that it is warm
  /// since.
  bool reported_cold_ = false;
  std::deque<Duration> latencies_;  ///< Of the latest responses.
  Duration warm_latency_{0};
  int32_t consecutive_failures_ = 0;
  /// Ejections since the endpoint was last warm.
  int32_t consecutive_ejections_ = 0;
  MonoTime ejected_until_;
  MonoTime reports_distrusted_until_;
};

}  // namespace jd
