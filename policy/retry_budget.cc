#include "policy/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace jd {
namespace {

// Within one window, a service can spend the burst saved before the window in addition to the
// tokens earned in it: kEarnedShare * (1 + kDecayTimeShare) of the allowed share, which is less
// than 1.
constexpr double kDecayTimeShare = 0.2;
constexpr double kEarnedShare = 0.8;

}  // namespace

void RetryBudget::Refill(MonoTime now) {
  if (!started_) {
    started_ = true;
    last_ = now;
  }
  const double seconds = static_cast<double>((now - last_).count()) / 1e6;
  last_ = now;
  recent_earned_ *= std::exp(-seconds * 1e6 / static_cast<double>(limits_.decay_time.count()));
  tokens_ = std::min(tokens_ + seconds * limits_.per_second, burst());
}

double RetryBudget::burst() const {
  // With a rate below one per second, the bucket must still be able to hold one whole token.
  return std::max(limits_.per_second, 1.0) + recent_earned_;
}

RetryBudget::Limits RetryBudget::SharedLimits(double share, Duration window) {
  return {0.0, Scale(window, kDecayTimeShare), share * kEarnedShare};
}

void RetryBudget::EarnTokens(MonoTime now, double share) {
  Refill(now);
  const double earned = std::min(share, limits_.max_share);
  recent_earned_ += earned;
  tokens_ += earned;
}

bool RetryBudget::TryTakeToken(MonoTime now) {
  Refill(now);
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

}  // namespace jd
