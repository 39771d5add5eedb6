#pragma once

#include <optional>

#include "common/ids.h"
#include "common/load_report.h"
#include "common/units.h"
#include "common/upstream_statement.h"

namespace jd {

/// The result of one probe, which is a request to the health page of an endpoint.
struct ProbeResult {
  EndpointId endpoint;
  bool answered = false;  ///< False if no response was received.
  int status = 0;         ///< HTTP status code.
  Duration latency{0};
  std::optional<LoadReport> report;
  UpstreamStatement statement = {};
};

}  // namespace jd
