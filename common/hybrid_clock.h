#pragma once

#include <compare>
#include <cstdint>

#include "common/units.h"

namespace jd {

/// A timestamp of a hybrid logical clock: wall time, and a counter that orders the events with the
/// same wall time.
struct HybridTime {
  int64_t wall_micros = 0;
  uint32_t counter = 0;
  auto operator<=>(const HybridTime&) const = default;
};

/// A hybrid logical clock, which orders events across processes: the receipt of a message gets a
/// later timestamp than its sending, even if the receiver's wall clock is behind.
class HybridClock {
 public:
  /// Returns the timestamp for a local event or an outgoing message.
  HybridTime Tick(WallTime now);
  /// Advances the clock past the timestamp of a received message and returns the timestamp of the
  /// receipt. A timestamp that is more than kMaxAhead in the future does not advance the clock, so
  /// that one process with a wrong wall clock does not move the clocks of all others.
  HybridTime Receive(WallTime now, HybridTime remote);
  /// Returns the latest timestamp that the clock has returned.
  HybridTime last() const { return last_; }

  /// Limit by which the timestamp of a received message may be ahead of the local wall clock.
  static constexpr Duration kMaxAhead = 60s;

 private:
  HybridTime last_;
};

}  // namespace jd
