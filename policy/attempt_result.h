#pragma once

#include <cstdint>
#include <optional>

#include "common/ids.h"
#include "common/load_report.h"
#include "common/units.h"
#include "common/upstream_statement.h"
#include "common/verdict.h"

namespace jd {

/// How an attempt ended.
enum class AttemptOutcome : uint8_t {
  kAnswered,        ///< A complete response arrived.
  kRefused,         ///< The upstream stated that it refused the request without running it.
  kConnectFailed,   ///< No byte of the request was written.
  kConnectionLost,  ///< The connection ended after the request was written.
  kInvalid,         ///< The response must not be relayed; the upstream may have run the request.
  kTimedOut,        ///< The timeout passed without a complete response.
  kCancelled,       ///< The gateway cancelled the attempt.
};

/// The result of one attempt at an endpoint, as the event loop reports it.
struct AttemptResult {
  AttemptId attempt;
  AttemptOutcome outcome = AttemptOutcome::kConnectFailed;
  int status = 0;  ///< HTTP status of the answer or refusal; 0 without one.
  Duration latency{0};
  bool request_written = false;   ///< At least one byte was written to the connection.
  bool response_started = false;  ///< At least one byte of the response arrived.
  bool new_connection = false;    ///< The connection was opened for this attempt.
  MonoTime connection_opened;
  std::optional<LoadReport> report;
  UpstreamStatement statement = {};
};

/// Returns whether the request may have run in an attempt with this result.
constexpr Verdict VerdictOf(const AttemptResult& result) {
  if (result.outcome == AttemptOutcome::kAnswered) {
    return Verdict::kRan;
  }
  if (result.outcome == AttemptOutcome::kInvalid) {
    return Verdict::kMayHaveRun;
  }
  if (result.outcome == AttemptOutcome::kRefused || !result.request_written) {
    return Verdict::kNotRun;
  }
  return Verdict::kMayHaveRun;
}

}  // namespace jd
