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
  void RestrictTo(int32_t bound);
  /// Updates the state from what one holder observed.
  /// @param pool_median median of the warm latencies of the pool's endpoints, or 0 if unknown.
  void OnEvidence(MonoTime now, const EndpointEvidence& evidence, Duration pool_median);
  /// Updates the state from a load report.
  /// @param known_in_flight number of calls that all holders together are known to have in flight
  /// at the endpoint. A report with fewer calls is outdated or wrong.
  void OnReport(MonoTime now, const LoadReport& report, int32_t known_in_flight);
  /// Ejects the endpoint for a time if it had enough consecutive failures.
  /// @return whether it was ejected.
  bool EjectIfDue(MonoTime now);

  /// Returns the number of slots that all gateways together may use at the endpoint; 0 if it is
  /// ejected or draining.
  int32_t bound(MonoTime now) const;
  bool ejected(MonoTime now) const { return now < ejected_until_; }
  bool cold() const { return cold_level_ < slots_; }
  bool draining() const { return draining_; }
  /// Returns whether a report recently showed fewer calls than are known to be in flight. Until
  /// some time has passed, reports may restrict the endpoint, but not lift a restriction.
  bool misleading(MonoTime now) const { return now < misleading_until_; }
  /// Returns the median latency of the latest responses, or 0 if there are none.
  Duration latency() const;
  /// Returns the moving average of the median latency while the endpoint was warm, or 0.
  Duration warm_latency() const { return warm_latency_; }
  /// Returns when bound() will change without an event, which is when an ejection ends.
  std::optional<MonoTime> next_change(MonoTime now) const;

 private:
  void BecomeCold();
  void OnInstance(MonoTime now, const InstanceId& instance);
  void OnState(MonoTime now, EndpointState state);
  /// Updates latencies and the warm-up from successful calls.
  void OnAnswers(const EndpointEvidence& evidence, Duration pool_median);
  /// Lowers the adaptive limit after refusals or slow responses, and raises it after others.
  void OnLimit(MonoTime now, const EndpointEvidence& evidence, Duration pool_median);

  int32_t slots_;  ///< As configured.
  /// Limit of the warm-up: 1 slot for a cold endpoint, doubled after successes up to slots_.
  int32_t cold_level_;
  int32_t cold_successes_ = 0;  ///< Successes at usual latency since cold_level_ last changed.
  double adaptive_;             ///< Limit in slots, halved on overload and raised by successes.
  MonoTime lowered_at_;         ///< When adaptive_ was last halved.
  InstanceId instance_;
  bool draining_ = false;
  /// The endpoint has reported itself as cold, and no trusted report has said that it is warm
  /// since.
  bool reported_cold_ = false;
  std::deque<Duration> latencies_;  ///< Of the latest responses.
  Duration warm_latency_{0};
  int32_t failures_in_row_ = 0;
  int32_t ejections_ = 0;  ///< Consecutive ejections, without the endpoint being warm in between.
  MonoTime ejected_until_;
  MonoTime misleading_until_;
};

}  // namespace jd
