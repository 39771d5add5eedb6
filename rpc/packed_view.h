#pragma once

#include <string>

#include "cluster/gateway_view.h"

namespace jd {

/// Returns the bytes of a view: 8 for each gateway, the lowest first.
std::string PackView(const GatewayView& view);
/// @throws FrameError if the bytes are no view, or too many.
GatewayViewPtr UnpackView(const std::string& bytes);

}  // namespace jd
