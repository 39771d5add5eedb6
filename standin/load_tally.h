#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/units.h"
#include "standin/load_settings.h"

namespace jd {

enum class LoadOutcome : uint8_t {
  kAnswered,  ///< The answer of an upstream to this request.
  kWrong,     ///< An answer that is incomplete or belongs to another request.
  kFailed,    ///< An upstream answered with an error; the request ran.
  kRefused,   ///< Refused with a verdict.
  kUnknown,   ///< The connection ended, or nothing came in time, after the request was sent.
  kNotSent,   ///< No gateway took the connection.
};

/// How one request ended.
struct LoadSample {
  std::string id;
  std::string method;
  std::string workspace;
  std::string service;
  Duration at{};       ///< Intended arrival since the start.
  Duration latency{};  ///< From the intended arrival.
  LoadOutcome outcome = LoadOutcome::kUnknown;
  std::string reason;
  std::string verdict;
};

/// Returns the report of a run: counts, exact percentiles and a series by second of arrival.
nlohmann::json ReportLoad(const LoadSettings& settings, const std::vector<LoadSample>& samples);

/// Compares what callers were told with what ran.
/// @param runs the ledger, as `GET /ledger` gives it.
nlohmann::json CompareWithLedger(const std::vector<LoadSample>& samples,
                                 const nlohmann::json& runs);

}  // namespace jd
