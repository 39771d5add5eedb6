#pragma once

#include <optional>

#include "common/units.h"

namespace jd {

/// The times of a graceful stop, counted from its begin.
struct StopPlan {
  Duration admission;  ///< How long new calls are accepted.
  /// When every call must have an answer, because the process is killed shortly afterwards; nothing
  /// if it is not killed.
  std::optional<Duration> last_answer;
};

/// Plans a graceful stop.
/// @param grace_period how long the balancer may still send calls.
/// @param stop_limit time after which the platform kills the process; 0: never. New calls are
/// accepted in its first half at most, so that they can end in its second half.
StopPlan PlanStop(Duration grace_period, Duration stop_limit);

}  // namespace jd
