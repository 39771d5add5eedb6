#pragma once

#include <cstdint>

#include "common/units.h"

namespace jd {

/// Token bucket that limits the probes of one gateway to the endpoints of one service.
class ProbeBudget {
 public:
  /// Capacity of the bucket: the probes that the rate allows in this time may be sent as a burst.
  static constexpr Duration kBurstPeriod = 2s;

  /// @param per_second probes per second over all endpoints of the service; 0: no limit.
  void SetRate(MonoTime now, double per_second);
  /// Takes tokens for up to `wanted` probes.
  /// @param minimum number of probes that are allowed without tokens.
  /// @return the number of probes that may be sent.
  int32_t TakeTokens(MonoTime now, int32_t wanted, int32_t minimum = 1);

 private:
  /// Adds the tokens for the time since the last refill.
  void Refill(MonoTime now);

  double per_second_ = 0;
  double tokens_ = 0;
  MonoTime last_refill_;
};

}  // namespace jd
