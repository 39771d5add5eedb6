#pragma once

#include <cstdint>

namespace jd {

/// The side of a roll-out that an endpoint is on, or that a call must be sent to.
enum class VersionSide : uint8_t {
  kAny,  ///< No roll-out divides the calls of the service.
  kOld,  ///< Any version but the ordered one.
  kNew,  ///< The ordered version.
};

/// Returns whether a call that is assigned to `wanted` may be sent to an endpoint on `side`.
constexpr bool Admits(VersionSide wanted, VersionSide side) {
  return wanted == VersionSide::kAny || side == VersionSide::kAny || wanted == side;
}

}  // namespace jd
