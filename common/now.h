#pragma once

#include "common/units.h"

namespace jd {

/// The present time on both clocks, read once per event by the event loop.
struct Now {
  MonoTime mono;
  WallTime wall;
};

}  // namespace jd
