#pragma once

#include "standin/upstream_settings.h"

namespace jd {

/// Serves all endpoints and the control port until a signal arrives. Throws if a port is taken.
/// @return process exit code.
int RunUpstream(const UpstreamSettings& settings);

}  // namespace jd
