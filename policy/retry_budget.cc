#include "policy/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace jd {

void RetryBudget::Advance(MonoTime now) {
  if (!started_) {
    started_ = true;
    last_ = now;
  }
  const double seconds = static_cast<double>((now - last_).count()) / 1e6;
  last_ = now;
  recent_ *= std::exp(-seconds * 1e6 / static_cast<double>(kMemory.count()));
  // A rate below one per second must still allow a whole retry at times.
  tokens_ = std::min(tokens_ + seconds * per_second_, std::max(per_second_, 1.0) + recent_);
}

void RetryBudget::OnCall(MonoTime now, double share) {
  Advance(now);
  recent_ += share;
  tokens_ += share;
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
