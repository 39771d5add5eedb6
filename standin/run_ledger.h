#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/units.h"

namespace jd {

/// One execution of a request at an endpoint.
struct LedgerRun {
  std::string endpoint;
  std::string method;
  MonoTime start;
  MonoTime end;
  bool ended = false;
  bool completed = false;  ///< The request was processed and its answer was produced.
};

/// Counters of an endpoint since the start of the upstream stand-in.
struct EndpointCounters {
  std::string zone;
  uint64_t starts = 0;  ///< Requests that started to run.
  uint64_t completed = 0;
  uint64_t cancelled = 0;  ///< The caller closed the connection before the request started.
  uint64_t refused = 0;    ///< Requests refused as not run.
  uint64_t overloads = 0;  ///< Times the endpoint collapsed while cold.
  uint64_t crashes = 0;
  uint64_t probes = 0;
  int64_t probe_us = 0;  ///< Slot time spent on probes.
  int64_t busy_us = 0;   ///< Slot time spent on completed calls.
  int32_t max_in_flight = 0;
  int32_t max_in_flight_cold = 0;
  MonoTime last_start;
};

/// Records which requests the endpoints executed, so that the answers that callers received can be
/// checked against it.
class RunLedger {
 public:
  /// Records the start of a request. @return the index of the run, to pass to `End`.
  size_t Start(MonoTime now, const std::string& request_id, LedgerRun run);
  /// Records the end of a run.
  void End(MonoTime now, const std::string& request_id, size_t run, bool completed);
  EndpointCounters& endpoint_counters(const std::string& endpoint) { return counters_[endpoint]; }

  /// Returns the runs by request id: {id: [{endpoint, method, start_us, end_us, completed}]}.
  nlohmann::json Runs() const;
  /// Returns the total counters, the non-idempotent requests that ran more than once, and the
  /// counters by zone and by endpoint.
  nlohmann::json Summary(MonoTime now) const;

 private:
  std::map<std::string, std::vector<LedgerRun>> runs_;
  std::map<std::string, EndpointCounters> counters_;
};

/// Returns whether requests of a method may run more than once (GET, HEAD, OPTIONS).
bool IsIdempotentMethod(const std::string& method);

}  // namespace jd
