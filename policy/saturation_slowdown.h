#pragma once

#include <cstdint>

#include "common/units.h"

namespace jd {

/// Estimates how much the upstreams of a service slow down when nearly all of their slots are busy.
/// The estimate compares the mean latency of calls that were sent to nearly full upstreams with
/// that of other calls.
class SaturationSlowdown {
 public:
  /// Share of busy slots above which an upstream counts as nearly full.
  static constexpr double kNearlyFullShare = 0.8;

  /// Adds the latency of an answered call.
  /// @param nearly_full whether the upstream was nearly full with this call.
  void OnAnswered(bool nearly_full, Duration latency);
  /// Returns the latency at a nearly full upstream divided by the latency at other upstreams.
  double factor() const;
  /// Returns the number of concurrent calls at which an upstream has the highest throughput.
  /// @param slots number of slots of the upstream.
  int32_t OptimalConcurrency(int32_t slots) const;
  /// Returns whether an upstream counts as nearly full with this many calls.
  static bool IsNearlyFull(int32_t calls, int32_t slots) {
    return calls > kNearlyFullShare * slots;
  }

 private:
  /// Moving average of latencies.
  struct Mean {
    double mean_us = 0;
    double samples = 0;  ///< Number of samples, limited so that old ones lose weight.
    void Add(Duration latency);
  };
  Mean nearly_full_;
  Mean not_nearly_full_;
};

}  // namespace jd
