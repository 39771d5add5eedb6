#pragma once

#include <cstdint>

#include "common/units.h"

namespace jd {

/// Answers a request for a permit to send one call to an endpoint that names a limit.
struct PermitDecision {
  bool granted = false;
  /// If not granted: no permit for the endpoint should be requested before this time has passed.
  Duration retry_after{0};
};

/// How the requests for permits of one gateway have ended since its start.
struct PermitCounts {
  uint64_t granted = 0;
  uint64_t refused = 0;
  uint64_t unanswered = 0;
};

}  // namespace jd
