#pragma once

#include <string>
#include <vector>

#include "cluster/gateway_view.h"

namespace jd {

/// Returns the bytes of hashes of gateways, 8 for each.
std::string PackGateways(const std::vector<GatewayHash>& gateways);
/// @throws FrameError if the bytes are no such hashes, or more than GatewayView::kMaxGateways.
std::vector<GatewayHash> UnpackGateways(const std::string& bytes);

}  // namespace jd
