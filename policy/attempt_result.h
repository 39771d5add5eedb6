#pragma once

#include <cstdint>
#include <optional>

#include "common/ids.h"
#include "common/load_report.h"
#include "common/units.h"
#include "common/verdict.h"

namespace jd {

enum class AttemptOutcome : uint8_t {
  kAnswered,        ///< A whole response arrived.
  kRefused,         ///< The upstream said that it refused before running.
  kConnectFailed,   ///< No byte of the request was written.
  kConnectionLost,  ///< The connection ended after the request was written.
  kInvalid,         ///< A response arrived that must not be relayed; the upstream may have run it.
  kTimedOut,        ///< The time limit passed without a whole response.
  kCancelled,       ///< The gateway gave the attempt up.
};

/// How one attempt at an endpoint ended, as the event loop saw it.
struct AttemptResult {
  AttemptId attempt;
  AttemptOutcome outcome = AttemptOutcome::kConnectFailed;
  int status = 0;  ///< HTTP status of an answer or refusal.
  Duration latency{0};
  bool request_written = false;   ///< A byte of the request reached the connection.
  bool response_started = false;  ///< A byte of the response arrived.
  bool new_connection = false;    ///< The connection was opened for this attempt.
  MonoTime connection_opened;     ///< When the connection was opened.
  std::optional<LoadReport> report;
};

/// Returns whether the request may have run in an attempt that ended like this.
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
