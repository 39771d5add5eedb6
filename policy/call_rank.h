#pragma once

#include <compare>

#include "common/configuration.h"

namespace jd {

/// The order in which calls are served when there is too little capacity: the priority of the
/// workspace goes before the priority of the route or profile. A higher rank is more urgent.
struct CallRank {
  Priority workspace = Priority::kNormal;
  Priority profile = Priority::kNormal;
  auto operator<=>(const CallRank&) const = default;
};

}  // namespace jd
