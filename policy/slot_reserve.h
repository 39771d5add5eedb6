#pragma once

#include <cstdint>
#include <vector>

#include "common/ids.h"

namespace jd {

/// Assigns every slot of an endpoint to one gateway of the roster by rendezvous hashing.
/// @return for each slot the index of its gateway in `roster`; empty if the roster is empty.
std::vector<size_t> AssignReserve(const std::vector<GatewayId>& roster,
                                  const EndpointId& endpoint,
                                  int32_t slots);

}  // namespace jd
