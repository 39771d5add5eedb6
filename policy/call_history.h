#pragma once

#include <optional>
#include <unordered_map>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// Estimates per profile how long an upstream takes to serve a call and how long callers have
/// already waited.
class CallHistory {
 public:
  /// Records that an upstream answered a call after `latency`.
  void RecordLatency(const ProfileId& profile, Duration latency);
  /// Returns how long an upstream at its usual speed takes to serve a call, or nothing if no
  /// upstream has answered yet.
  std::optional<Duration> UsualServiceTime(const ProfileId& profile) const;

  /// Estimates how long the caller of a new call has already waited. A caller that retries after a
  /// refusal sends its remaining time as the timeout, so the estimate is the difference to the
  /// longest timeout seen for this profile.
  /// @param timeout how much longer the caller will wait.
  /// @return zero if the difference is too small to indicate a retry.
  Duration EstimateCallerWait(const ProfileId& profile, Duration timeout);

 private:
  struct ProfileHistory {
    Duration service_time{0};
    Duration longest_timeout{0};
  };
  std::unordered_map<ProfileId, ProfileHistory> profiles_;
};

}  // namespace jd
