#pragma once

#include <random>

namespace jd {

/// The engine of every random decision; seeded by the caller so that a run can be repeated.
using RandomEngine = std::mt19937_64;

}  // namespace jd
