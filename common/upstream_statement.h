#pragma once

#include <optional>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// What an upstream says of itself in a response, besides its load.
struct UpstreamStatement {
  bool leaving = false;  ///< It will stop, and wants no new requests.
  /// It wants no requests from this gateway for this time; zero ends an earlier statement.
  std::optional<Duration> wants_nothing_for;
  InstanceId instance;  ///< The run of the upstream that responded; empty if it is not named.

  /// Returns whether the response states nothing.
  bool empty() const { return !leaving && !wants_nothing_for; }
  bool operator==(const UpstreamStatement&) const = default;
};

}  // namespace jd
