#pragma once

#include <optional>

#include "common/ids.h"
#include "common/load_report.h"
#include "common/units.h"

namespace jd {

/// The answer of an endpoint's health page.
struct ProbeResult {
  EndpointId endpoint;
  bool answered = false;
  int status = 0;
  Duration latency{0};
  std::optional<LoadReport> report;
};

}  // namespace jd
