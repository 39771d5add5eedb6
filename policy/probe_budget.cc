#include "policy/probe_budget.h"

#include <algorithm>

namespace jd {

void ProbeBudget::Refill(MonoTime now) {
  const double seconds = std::chrono::duration<double>(now - last_refill_).count();
  const double burst = per_second_ * std::chrono::duration<double>(kBurstPeriod).count();
  tokens_ = std::min(tokens_ + seconds * per_second_, burst);
  last_refill_ = now;
}

void ProbeBudget::SetRate(MonoTime now, double per_second) {
  Refill(now);
  per_second_ = per_second;
}

int32_t ProbeBudget::TakeTokens(MonoTime now, int32_t wanted, int32_t minimum) {
  if (per_second_ <= 0) {
    return wanted;
  }
  Refill(now);
  // The balance may be negative after probes without tokens.
  const int32_t taken =
      std::clamp(static_cast<int32_t>(tokens_), std::min(minimum, wanted), wanted);
  tokens_ -= taken;
  return taken;
}

}  // namespace jd
