#pragma once

#include <random>

namespace jd {

/// The random number generator of all random decisions. Its owner chooses the seed, so that a run
/// can be reproduced.
using RandomEngine = std::mt19937_64;

}  // namespace jd
