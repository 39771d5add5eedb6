#pragma once

#include <cstdint>

#include "common/units.h"

namespace jd {

/// Serves the platform stand-in until a signal arrives. Throws if the port is taken.
/// @return process exit code.
int RunPlatform(uint16_t port, Duration vm_lag);

}  // namespace jd
