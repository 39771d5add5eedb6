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

/// A request that reached an endpoint.
struct UpstreamWork {
  uint64_t token = 0;  ///< Names the request in `UpstreamAnswer`; unique per endpoint.
  std::string request_id;
  std::string method;
  std::optional<MonoTime> deadline;
  bool new_connection = false;
  bool probe = false;
  bool crash = false;
};

/// The answer to one request. A crash leaves requests unanswered.
struct UpstreamAnswer {
  uint64_t token = 0;
  int status = 200;
  bool refused_not_run = false;
};

/// What the I/O must do; a crash closes every connection of the endpoint.
struct UpstreamOutput {
  std::vector<UpstreamAnswer> answers;
  bool crashed = false;
};

/// The behaviour of one upstream endpoint, apart from I/O.
class UpstreamModel {
 public:
  UpstreamModel(UpstreamEndpoint settings, uint64_t seed, RunLedger* ledger);

  void Submit(MonoTime now, const UpstreamWork& work, UpstreamOutput* out);
  /// The connection of a request closed. Work that has started runs on.
  void Cancel(MonoTime now, uint64_t token);
  /// Ends work that is due, starts waiting work and emits answers that are due.
  void Advance(MonoTime now, UpstreamOutput* out);
  /// When `Advance` has something to do next.
  std::optional<MonoTime> next_event() const;

  /// New instance id, cold; what was running is lost.
  void Restart(MonoTime now);
  /// Cold, under the same instance id and still reporting warm.
  void ChillSilently();

  LoadReport Report(MonoTime now);
  const UpstreamEndpoint& settings() const { return settings_; }
  UpstreamEndpoint& settings() { return settings_; }
  bool is_cold() const { return cold_; }

  double slow_factor = 1.0;
  bool draining = false;
  bool fail_fast = false;

 private:
  struct Running {
    UpstreamWork work;
    size_t run = 0;
    MonoTime start;
  };

  int32_t usable_slots() const { return cold_ ? settings_.cold_slots : settings_.slots; }
  int32_t calls_in_flight() const;
  Duration WorkTime(const UpstreamWork& work);
  void Start(MonoTime now, const UpstreamWork& work, UpstreamOutput* out);
  void StartWaiting(MonoTime now, UpstreamOutput* out);
  void Finish(MonoTime now, const Running& running);
  void Refuse(const UpstreamWork& work, UpstreamOutput* out);
  void FailFast(MonoTime now, const UpstreamWork& work, UpstreamOutput* out);
  void CountInFlight(MonoTime now);
  void Collapse(MonoTime now);

  UpstreamEndpoint settings_;
  RandomEngine random_;
  RunLedger* ledger_;
  bool cold_;
  bool reports_cold_;
  int32_t served_cold_ = 0;
  int32_t generation_ = 1;
  std::multimap<MonoTime, Running> running_;  ///< By end time.
  std::deque<UpstreamWork> waiting_;
  std::multimap<MonoTime, UpstreamAnswer> outbox_;    ///< By due time.
  std::deque<std::pair<MonoTime, int32_t>> history_;  ///< In-flight counts, for lagging reports.
  MonoTime collapsed_until_;
};

}  // namespace jd
