#pragma once

#include "common/units.h"

namespace jd {

/// The current time on both clocks. The event loop reads the clocks once per event.
struct Now {
  MonoTime mono;
  WallTime wall;
};

}  // namespace jd
