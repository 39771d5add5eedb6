#include "policy/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace jd {
namespace {

// A window may hold what was saved before it on top of what is earned in it.
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
  // A rate below one per second must still allow a whole retry at times.
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
