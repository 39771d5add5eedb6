#pragma once

#include <cstdint>

#include "common/units.h"

namespace jd {

/// Learns whether the upstreams of a service slow down when nearly all of their slots are busy,
/// from the latency of calls that were sent to nearly full ones and to others.
class FillCost {
 public:
  /// Share of busy slots above which an upstream counts as nearly full.
  static constexpr double kNearlyFull = 0.8;

  /// A call was answered. @param nearly_full the upstream was, with this call.
  void OnAnswered(bool nearly_full, Duration latency);
  /// Returns how many times longer a call takes at a nearly full upstream.
  double factor() const;
  /// Returns the number of calls with which an upstream does most work in a given time.
  int32_t UsefulSlots(int32_t slots) const;
  static bool IsNearlyFull(int32_t calls, int32_t slots) { return calls > kNearlyFull * slots; }

 private:
  struct Mean {
    double micros = 0;
    double samples = 0;
    void Add(Duration latency);
  };
  Mean nearly_full_;
  Mean other_;
};

}  // namespace jd
