#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/load_report.h"
#include "standin/run_ledger.h"
#include "standin/upstream_settings.h"

namespace jd {

/// A job of an endpoint: a call or a probe that it has received.
struct UpstreamJob {
  uint64_t token = 0;  ///< Identifies the request in `UpstreamAnswer`; unique per endpoint.
  std::string request_id;
  std::string method;
  std::optional<MonoTime> deadline;
  bool new_connection = false;  ///< First request on its connection.
  bool probe = false;           ///< Request for the health page, not a call.
  bool crash = false;           ///< The endpoint crashes when it starts the request.
};

/// The answer to one request. Requests lost in a crash get no answer.
struct UpstreamAnswer {
  uint64_t token = 0;
  int status = 200;
  bool refused_not_run = false;  ///< Refused with the promise that the request did not run.
};

/// What the I/O code must do: send the answers and, after a crash, close every connection
/// of the endpoint.
struct UpstreamOutput {
  std::vector<UpstreamAnswer> answers;
  bool crashed = false;
};

/// Simulates one upstream endpoint: slots, queue, service times, cold start, overload, crashes and
/// load reports. Does no I/O.
class UpstreamModel {
 public:
  UpstreamModel(EndpointSettings settings, uint64_t seed, RunLedger* ledger);

  /// Processes a new request: starts it, queues it, refuses it or fails it.
  void Submit(MonoTime now, const UpstreamJob& job, UpstreamOutput* out);
  /// Removes a request whose connection was closed, if it still waits for a slot. A request that
  /// has started runs to its end.
  void Cancel(MonoTime now, uint64_t token);
  /// Ends the requests whose service time is over, starts waiting requests and adds the answers
  /// that are due to `out`.
  void Advance(MonoTime now, UpstreamOutput* out);
  /// Returns when `Advance` has to be called next, or nothing if no event is scheduled.
  std::optional<MonoTime> next_event() const;

  /// Simulates a crash and restart: all running and waiting requests are lost, the instance id
  /// changes and the endpoint is cold.
  void Restart(MonoTime now);
  /// Makes the endpoint cold while it keeps its instance id and still reports itself as warm.
  void SetColdUnreported();

  /// Returns the load report, which may be out of date or wrong if the settings say so.
  LoadReport Report(MonoTime now);
  const EndpointSettings& settings() const { return settings_; }
  EndpointSettings& settings() { return settings_; }
  bool is_cold() const { return cold_; }

  double slow_factor = 1.0;  ///< Multiplies the service time and the probe cost.
  bool draining = false;     ///< Reports the endpoint as draining.
  bool fail_fast = false;    ///< Answers every request at once with status 500.

 private:
  struct RunningJob {
    UpstreamJob job;
    size_t run = 0;  ///< Index of the run in the ledger.
    MonoTime start;
  };

  int32_t usable_slots() const { return cold_ ? settings_.cold_slots : settings_.slots; }
  int32_t calls_in_flight() const;
  Duration SampleServiceTime(const UpstreamJob& job);
  void StartJob(MonoTime now, const UpstreamJob& job, UpstreamOutput* out);
  void StartWaitingJobs(MonoTime now, UpstreamOutput* out);
  void FinishJob(MonoTime now, const RunningJob& running);
  void RefuseJob(const UpstreamJob& job, UpstreamOutput* out);
  void FailJob(MonoTime now, const UpstreamJob& job, UpstreamOutput* out);
  /// Records the number of calls in flight. If the endpoint is cold and has too many, it collapses.
  void RecordInFlight(MonoTime now);
  /// Simulates an overloaded cold endpoint: running requests take longer by the collapse time, and
  /// no request starts during that time.
  void Collapse(MonoTime now);

  EndpointSettings settings_;
  RandomEngine random_;
  RunLedger* ledger_;
  bool cold_;
  bool reports_cold_;              ///< False while `cold_` if the endpoint hides that it is cold.
  int32_t calls_served_cold_ = 0;  ///< Calls completed since the endpoint became cold.
  int32_t instance_number_ = 1;    ///< Incremented on each restart; part of the instance id.
  std::multimap<MonoTime, RunningJob> running_;  ///< Key: end time.
  std::deque<UpstreamJob> waiting_;
  std::multimap<MonoTime, UpstreamAnswer> delayed_answers_;     ///< Key: time to send.
  std::deque<std::pair<MonoTime, int32_t>> in_flight_history_;  ///< In-flight counts by time, for
                                                                ///< reports that lag.
  MonoTime collapsed_until_;
};

}  // namespace jd
