#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "common/ids.h"
#include "common/units.h"
#include "policy/slot_message.h"

namespace jd {

/// What the owner of a pool knows of one endpoint, and how many slots that allows (section 3.2).
class EndpointHealth {
 public:
  /// @param slots configured slots. @param cold whether the endpoint is new to the pool.
  EndpointHealth(int32_t slots, bool cold);

  void SetSlots(int32_t slots);
  /// Lowers the levels to what a holder knew from the former owner.
  void RestrictTo(int32_t bound);
  /// Takes in what one holder saw.
  /// @param pool_median median of warm latency over the pool, or 0 if unknown.
  void OnEvidence(MonoTime now, const EndpointEvidence& evidence, Duration pool_median);
  /// Takes in a load report. @param known_in_flight calls that all holders are known to have there.
  void OnReport(MonoTime now, const LoadReport& report, int32_t known_in_flight);
  /// Ejects the endpoint if enough failures followed each other. @return whether it was ejected.
  bool EjectIfDue(MonoTime now);

  /// Returns the slots over all gateways that the endpoint's state allows; 0 if ejected or
  /// draining.
  int32_t bound(MonoTime now) const;
  bool ejected(MonoTime now) const { return now < ejected_until_; }
  bool cold() const { return cold_level_ < slots_; }
  bool draining() const { return draining_; }
  /// What a report says in the endpoint's favour is no evidence while this holds.
  bool misleading(MonoTime now) const { return now < misleading_until_; }
  /// Median latency of the last answers, or 0.
  Duration latency() const;
  Duration warm_latency() const { return warm_latency_; }
  /// Returns when bound() changes without an event.
  std::optional<MonoTime> next_change(MonoTime now) const;

 private:
  void BecomeCold();
  void OnInstance(MonoTime now, const InstanceId& instance);
  void OnState(MonoTime now, EndpointState state);
  void OnAnswers(const EndpointEvidence& evidence, Duration pool_median);
  void OnLimit(MonoTime now, const EndpointEvidence& evidence, Duration pool_median);

  int32_t slots_;
  int32_t cold_level_;
  int32_t cold_successes_ = 0;  ///< At normal latency within the present level.
  double adaptive_;             ///< Limit in slots.
  MonoTime lowered_at_;
  InstanceId instance_;
  bool draining_ = false;
  bool reported_cold_ = false;  ///< Until a report that is believed says that it is warm.
  std::deque<Duration> latencies_;
  Duration warm_latency_{0};
  int32_t failures_in_row_ = 0;
  int32_t ejections_ = 0;  ///< In a row, without a warm level between them.
  MonoTime ejected_until_;
  MonoTime misleading_until_;
};

}  // namespace jd
