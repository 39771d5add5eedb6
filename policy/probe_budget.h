#pragma once

#include <cstdint>

#include "common/units.h"

namespace jd {

/// Bounds the probes that one gateway sends to the endpoints of a service: over any time they stay
/// below a rate plus a burst.
class ProbeBudget {
 public:
  /// Probes that were saved up during this time may be sent at once.
  static constexpr Duration kBurst = 2s;

  /// @param per_second rate over all endpoints of the service; 0: no bound.
  void SetRate(MonoTime now, double per_second);
  /// Returns how many of the wanted probes may be sent, and takes them. One is always allowed,
  /// since a call is never sent to an endpoint of which nothing is known.
  int32_t Take(MonoTime now, int32_t wanted);

 private:
  void Advance(MonoTime now);

  double per_second_ = 0;
  double tokens_ = 0;
  MonoTime last_;
};

}  // namespace jd
