#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/units.h"
#include "standin/load_settings.h"

namespace jd {

/// How a request of the load generator ended.
enum class LoadOutcome : uint8_t {
  kAnswered,  ///< An upstream answered this request with status 200.
  kWrong,     ///< The answer is incomplete or belongs to another request.
  kFailed,    ///< An upstream answered with an error status; the request ran.
  kRefused,   ///< Refused, with a verdict on whether the request may have run.
  kUnknown,   ///< The connection failed or timed out after the request was sent.
  kNotSent,   ///< No gateway accepted a connection.
};

/// The recorded result of one request.
struct LoadSample {
  std::string id;
  std::string method;
  std::string workspace;
  std::string service;
  Duration arrival{};  ///< Intended arrival time, measured from the start of the run.
  Duration latency{};  ///< Measured from the intended arrival time.
  LoadOutcome outcome = LoadOutcome::kUnknown;
  std::string reason;
  std::string verdict;
};

/// Returns the report of a run: the number of requests per outcome, exact latency percentiles, and
/// the same for each method, workspace, service and second of arrival.
nlohmann::json ReportLoad(const LoadSettings& settings, const std::vector<LoadSample>& samples);

/// Compares the outcomes that callers saw with the requests that upstreams executed. Reports
/// requests that were answered but did not complete (lost), non-idempotent requests that ran more
/// than once (duplicates), and requests that ran although the caller was told that they did not
/// (refused_ran).
/// @param runs the ledger in the format of `GET /ledger`.
nlohmann::json CompareWithLedger(const std::vector<LoadSample>& samples,
                                 const nlohmann::json& runs);

}  // namespace jd
