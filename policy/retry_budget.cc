#include "policy/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace jd {
namespace {

// Within one window, a service can spend the burst saved before the window in addition to what it
// earns in it. Together the two shares stay below the whole.
constexpr double kMemoryShare = 0.2;
constexpr double kUsedShare = 0.8;

}  // namespace

void RetryBudget::Advance(MonoTime now) {
  if (!started_) {
    started_ = true;
    last_ = now;
  }
  const double seconds = static_cast<double>((now - last_).count()) / 1e6;
  last_ = now;
  recent_ *= std::exp(-seconds * 1e6 / static_cast<double>(limits_.memory.count()));
  tokens_ = std::min(tokens_ + seconds * limits_.per_second, burst());
}

double RetryBudget::burst() const {
  // With a rate below one per second, the bucket must still be able to hold one whole token.
  return std::max(limits_.per_second, 1.0) + recent_;
}

RetryBudget::Limits RetryBudget::SharedLimits(double share, Duration window) {
  return {0.0, Scale(window, kMemoryShare), share * kUsedShare};
}

void RetryBudget::OnCall(MonoTime now, double share) {
  Advance(now);
  const double earned = std::min(share, limits_.max_share);
  recent_ += earned;
  tokens_ += earned;
}

bool RetryBudget::TryTake(MonoTime now) {
  Advance(now);
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

}  // namespace jd
