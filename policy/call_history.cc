#include "policy/call_history.h"

#include <algorithm>

namespace jd {
namespace {

// Smoothing factors of the service time. Fast answers count more than slow ones, because a slow
// answer includes time in an upstream's queue.
constexpr double kFasterSmoothing = 0.2;
constexpr double kSlowerSmoothing = 0.05;
// A smaller difference comes from clocks and transport, not from a caller that retried.
constexpr Duration kMinCallerWait = 20ms;

}  // namespace

void CallHistory::RecordLatency(const ProfileId& profile, Duration latency) {
  Duration& service_time = profiles_[profile].service_time;
  if (service_time == Duration(0)) {
    service_time = latency;
    return;
  }
  service_time +=
      Scale(latency - service_time, latency < service_time ? kFasterSmoothing : kSlowerSmoothing);
}

std::optional<Duration> CallHistory::UsualServiceTime(const ProfileId& profile) const {
  const auto history = profiles_.find(profile);
  if (history == profiles_.end() || history->second.service_time == Duration(0)) {
    return std::nullopt;
  }
  return history->second.service_time;
}

Duration CallHistory::EstimateCallerWait(const ProfileId& profile, Duration timeout) {
  Duration& longest_timeout = profiles_[profile].longest_timeout;
  longest_timeout = std::max(longest_timeout, timeout);
  const Duration wait = longest_timeout - timeout;
  return wait < kMinCallerWait ? Duration(0) : wait;
}

}  // namespace jd
