#include "policy/call_history.h"

#include <algorithm>

namespace jd {
namespace {

// Smoothing factors of the service time. Fast answers count more than slow ones, because a slow
// answer includes time in an upstream's queue.
constexpr double kFasterWeight = 0.2;
constexpr double kSlowerWeight = 0.05;
// A smaller difference comes from clocks and transport, not from a caller that retried.
constexpr Duration kMinAge = 20ms;

}  // namespace

void CallHistory::OnAnswered(const ProfileId& profile, Duration latency) {
  Duration& work = known_[profile].work;
  if (work == Duration(0)) {
    work = latency;
    return;
  }
  work += Scale(latency - work, latency < work ? kFasterWeight : kSlowerWeight);
}

std::optional<Duration> CallHistory::WorkOf(const ProfileId& profile) const {
  const auto known = known_.find(profile);
  if (known == known_.end() || known->second.work == Duration(0)) {
    return std::nullopt;
  }
  return known->second.work;
}

Duration CallHistory::AgeOf(const ProfileId& profile, Duration left) {
  Duration& longest = known_[profile].longest;
  longest = std::max(longest, left);
  const Duration age = longest - left;
  return age < kMinAge ? Duration(0) : age;
}

}  // namespace jd
