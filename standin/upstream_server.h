#pragma once

#include "standin/upstream_settings.h"

namespace jd {

/// Runs the endpoints and the control port of the upstream stand-in until SIGTERM or SIGINT
/// arrives.
/// @return the exit code of the process. @throws std::runtime_error if a port is in use.
int RunUpstream(const UpstreamSettings& settings);

}  // namespace jd
