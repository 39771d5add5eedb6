#pragma once

#include <cstdint>

#include "common/units.h"

namespace jd {

/// Runs the platform stand-in on a loopback port until SIGTERM or SIGINT arrives.
/// @param vm_lag delay before a change of the VM list becomes visible.
/// @return the exit code of the process. @throws std::runtime_error if the port is in use.
int RunPlatform(uint16_t port, Duration vm_lag);

}  // namespace jd
