#pragma once

#include <optional>
#include <unordered_map>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// What the calls under each profile have told of the time that they need and have.
class CallHistory {
 public:
  /// An upstream answered a call in this time.
  void OnAnswered(const ProfileId& profile, Duration latency);
  /// Returns the time that an upstream at its usual speed needs, or nothing if none has answered.
  std::optional<Duration> WorkOf(const ProfileId& profile) const;

  /// A call arrived whose caller still waits this long.
  /// @return how long the caller has waited already: callers that come back with what is left of
  /// their time are told from those that just began by the longest time that any had.
  Duration AgeOf(const ProfileId& profile, Duration left);

 private:
  struct Known {
    Duration work{0};
    Duration longest{0};
  };
  std::unordered_map<ProfileId, Known> known_;
};

}  // namespace jd
