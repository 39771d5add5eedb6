#include "common/hybrid_clock.h"

#include <algorithm>

namespace jd {

HybridTime HybridClock::Tick(WallTime now) {
  if (Micros(now) > last_.wall_micros) {
    last_ = {Micros(now), 0};
  } else {
    ++last_.counter;
  }
  return last_;
}

HybridTime HybridClock::Receive(WallTime now, HybridTime remote) {
  if (remote.wall_micros <= Micros(now) + kMaxAhead.count()) {
    last_ = std::max(last_, remote);
  }
  return Tick(now);
}

}  // namespace jd
