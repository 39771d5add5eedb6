#include "control/port_wait.h"

namespace jd {

std::optional<Duration> PortWait::NextDelay(MonoTime now) const {
  if (TimeLeft(now) < kRetryInterval) {
    return std::nullopt;
  }
  return kRetryInterval;
}

}  // namespace jd
