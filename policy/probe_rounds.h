#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// Tracks the calls that wait for probe results before an endpoint is chosen. The round of a call
/// is the set of probes that the call waits for. The result of a probe counts for every round that
/// waits for the same endpoint, so calls that arrive at about the same time share probes.
class ProbeRounds {
 public:
  /// Maximum duration of a round in which at least one endpoint has answered.
  static constexpr Duration kMaxWaitAfterAnswer = 8ms;
  /// A round without any answer ends after the smoothed probe latency times this factor, within the
  /// two limits below.
  static constexpr int kNoAnswerTimeoutFactor = 10;
  static constexpr Duration kMinNoAnswerTimeout = 20ms;
  static constexpr Duration kMaxNoAnswerTimeout = 60ms;

  /// Starts a round for the call and replaces its previous round, if any.
  /// @param candidates the endpoints that are probed.
  void Start(MonoTime now, CallId call, const std::vector<EndpointId>& candidates);
  /// Updates all rounds that wait for the endpoint with the result of a probe, and removes the
  /// rounds that are complete.
  /// @param answered whether the endpoint answered the probe.
  /// @param sufficient whether a call may be sent on this answer without waiting for the others.
  /// @return the calls whose round is complete.
  std::vector<CallId> OnProbeResult(const EndpointId& endpoint, bool answered, bool sufficient);
  /// Updates the smoothed probe latency with the latency of an answered probe.
  void RecordLatency(Duration latency);
  /// Returns the duration after which a round without any answer ends.
  Duration no_answer_timeout() const;
  /// Removes the rounds whose deadline has passed and returns their calls.
  std::vector<CallId> TakeExpired(MonoTime now);
  /// Removes the round of the call, if it has one.
  void Remove(CallId call);

  bool Contains(CallId call) const { return rounds_.contains(call); }
  std::optional<MonoTime> next_timer() const;

 private:
  struct Round {
    MonoTime started;
    MonoTime deadline;
    std::set<EndpointId> pending;  ///< Endpoints whose probe has not ended.
  };

  void SetDeadline(CallId call, Round* round, MonoTime deadline);

  Duration smoothed_latency_{0};  ///< Moving average; 0 until a probe was answered.
  std::unordered_map<CallId, Round> rounds_;
  std::set<std::pair<MonoTime, CallId>> deadlines_;
  /// The calls that wait for a probe of each endpoint.
  std::map<EndpointId, std::set<CallId>> calls_by_endpoint_;
};

}  // namespace jd
