#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// The calls that wait for probes of their candidate endpoints. A probe serves every round that
/// waits for its endpoint, so that calls that arrive together share the cost of measuring.
class ProbeRounds {
 public:
  /// A round with at least one answer waits no longer than this for the others.
  static constexpr Duration kPatience = 8ms;
  /// A round without any answer ends after kGiveUpFactor times the usual latency of probes, within
  /// these limits.
  static constexpr int kGiveUpFactor = 10;
  static constexpr Duration kLeastGiveUp = 20ms;
  static constexpr Duration kGreatestGiveUp = 60ms;

  /// Starts a round; a call has one at a time.
  void Start(MonoTime now, CallId call, const std::vector<EndpointId>& candidates);
  /// Takes in the end of a probe.
  /// @param answered the endpoint can be judged by it. @param decides it is good enough that no
  /// other answer is awaited.
  /// @return the calls whose round is complete.
  std::vector<CallId> OnProbe(const EndpointId& endpoint, bool answered, bool decides);
  /// Takes in how long an answered probe took.
  void OnLatency(Duration latency);
  /// Returns the time after which a round without any answer ends.
  Duration give_up() const;
  /// Returns the calls whose round ran out of time.
  std::vector<CallId> TakeDue(MonoTime now);
  void Remove(CallId call);

  bool Contains(CallId call) const { return rounds_.contains(call); }
  std::optional<MonoTime> next_timer() const;

 private:
  struct Round {
    MonoTime started;
    MonoTime due;
    std::set<EndpointId> awaited;
  };

  void Reschedule(CallId call, Round* round, MonoTime due);

  Duration latency_{0};  ///< Smoothed; 0 until a probe was answered.
  std::unordered_map<CallId, Round> rounds_;
  std::set<std::pair<MonoTime, CallId>> timers_;
  std::map<EndpointId, std::set<CallId>> waiting_;
};

}  // namespace jd
