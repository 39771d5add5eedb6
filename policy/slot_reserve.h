#pragma once

#include <cstdint>
#include <vector>

#include "common/ids.h"

namespace jd {

/// Assigns each slot of an endpoint to the reserve of one gateway by rendezvous hashing.
/// @param roster all gateways.
/// @return for each slot the index of its gateway in `roster`; empty if `roster` is empty.
std::vector<size_t> AssignReserve(const std::vector<GatewayId>& roster,
                                  const EndpointId& endpoint,
                                  int32_t slots);

}  // namespace jd
