#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/units.h"

namespace jd {

/// One run of a request at an endpoint.
struct LedgerRun {
  std::string endpoint;
  std::string method;
  MonoTime start;
  MonoTime end;
  bool ended = false;
  bool completed = false;  ///< The work was done and its answer was produced.
};

/// What an endpoint did, over its whole life.
struct EndpointTally {
  std::string zone;
  uint64_t starts = 0;
  uint64_t completed = 0;
  uint64_t cancelled = 0;  ///< Closed by the caller before the work started.
  uint64_t refused = 0;
  uint64_t overloads = 0;  ///< Collapses in cold start.
  uint64_t crashes = 0;
  uint64_t probes = 0;
  int64_t probe_us = 0;  ///< Slot time spent on probes.
  int64_t busy_us = 0;   ///< Slot time spent on completed calls.
  int32_t max_in_flight = 0;
  int32_t max_in_flight_cold = 0;
  MonoTime last_start;
};

/// Records what really ran, as the witness against which callers' answers are checked.
class RunLedger {
 public:
  /// @return index of the run for `End`.
  size_t Start(MonoTime now, const std::string& request_id, LedgerRun run);
  void End(MonoTime now, const std::string& request_id, size_t run, bool completed);
  EndpointTally& Tally(const std::string& endpoint) { return tallies_[endpoint]; }

  /// Runs by request id: {id: [{endpoint, method, start_us, end_us, completed}]}.
  nlohmann::json Runs() const;
  /// Counts, duplicates of non-idempotent methods, and tallies by zone and by endpoint.
  nlohmann::json Summary(MonoTime now) const;

 private:
  std::map<std::string, std::vector<LedgerRun>> runs_;
  std::map<std::string, EndpointTally> tallies_;
};

/// Returns whether a method may run more than once.
bool IsIdempotentMethod(const std::string& method);

}  // namespace jd
