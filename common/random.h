#pragma once

#include <random>

#include "common/units.h"

namespace jd {

/// The random number generator of all random decisions. Its owner chooses the seed, so that a run
/// can be reproduced.
using RandomEngine = std::mt19937_64;

/// Draws a duration that is uniformly distributed from `min` to `max`, inclusive.
inline Duration RandomDuration(RandomEngine* random, Duration min, Duration max) {
  return Duration(std::uniform_int_distribution<int64_t>(min.count(), max.count())(*random));
}

}  // namespace jd
