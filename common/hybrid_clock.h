#pragma once

#include <compare>
#include <cstdint>

#include "common/units.h"

namespace jd {

/// A stamp of a hybrid logical clock: wall time, then a counter that orders events within it.
struct HybridTime {
  int64_t wall_micros = 0;
  uint32_t counter = 0;
  auto operator<=>(const HybridTime&) const = default;
};

/// Orders events over processes: a message's receipt is stamped after its sending even when the
/// receiver's wall clock is behind.
class HybridClock {
 public:
  /// Stamps a local event or an outgoing message.
  HybridTime Tick(WallTime now);
  /// Takes in the stamp of a received message and stamps its receipt.
  /// Stamps more than kMaxAhead in the future are not followed, so that one wrong wall clock does
  /// not carry all others along.
  HybridTime Receive(WallTime now, HybridTime remote);
  HybridTime last() const { return last_; }

  static constexpr Duration kMaxAhead = 60s;

 private:
  HybridTime last_;
};

}  // namespace jd
