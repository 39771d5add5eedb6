#pragma once

#include <optional>

#include "common/units.h"

namespace jd {

/// Decides how long a process that starts waits for ports that another socket holds, for example
/// those of an earlier process of the same VM that still completes its calls.
class PortWait {
 public:
  /// Time after the start after which the process gives up. Longer than a graceful stop.
  static constexpr Duration kMaxWait = 30s;
  static constexpr Duration kRetryInterval = 200ms;

  explicit PortWait(MonoTime start) : give_up_at_(start + kMaxWait) {}

  /// Returns the delay before the next attempt to listen, or nothing if the process should give up.
  std::optional<Duration> NextDelay(MonoTime now) const;
  /// Returns the time until the process gives up.
  Duration TimeLeft(MonoTime now) const { return give_up_at_ - now; }

 private:
  MonoTime give_up_at_;
};

}  // namespace jd
