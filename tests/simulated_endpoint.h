#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "common/configuration.h"
#include "common/ids.h"
#include "common/load_report.h"
#include "common/random.h"
#include "common/units.h"

namespace jd {

/// A kind of request in a simulated overload.
struct SimulatedKind {
  std::string name = "read";
  double per_second = 452;  ///< Callers per second under normal demand.
  Duration service_time = 140ms;
  Duration target_latency = 400ms;
  Duration deadline = 1200ms;
  Priority priority = Priority::kNormal;
};

/// A service of many endpoints behind many gateways.
struct OverloadScenario {
  int gateways = 105;
  int zones = 3;
  int endpoints = 55;
  int slots = 6;
  int max_queue = 12;
  /// Probes per second to an endpoint by all gateways together; 0: no limit.
  double probe_rate = 42;
  std::vector<SimulatedKind> kinds = {SimulatedKind()};
  double slow_share = 0.3;  ///< Share of the time in which an endpoint is slow.
  double slow_factor = 5.0;
  double full_share = 0.8;   ///< Share of busy slots from which an endpoint is nearly full.
  double full_factor = 1.7;  ///< Slowdown of a nearly full endpoint.
  double skew = 3.0;         ///< Ratio of the calls of the busiest gateway and the idlest one.
};

/// A call at a simulated endpoint.
struct EndpointCall {
  size_t gateway = 0;
  AttemptId attempt;
  MonoTime sent;
  double remaining_us = 0;  ///< Remaining service time; before the start, at normal speed.
};

/// An endpoint whose speed changes several times a second and falls when it is nearly full. The
/// speed at the start of a call holds until the call ends.
class SimulatedEndpoint {
 public:
  static constexpr Duration kStep = 1ms;
  static constexpr Duration kSlowPhaseDuration = 150ms;

  /// Returns whether this many calls make an endpoint nearly full.
  static bool IsNearlyFull(const OverloadScenario& scenario, size_t calls) {
    return static_cast<double>(calls) >= scenario.full_share * scenario.slots;
  }
  /// Draws the service time of a call at normal speed, in microseconds.
  static double DrawServiceTime(const SimulatedKind& kind, RandomEngine& random) {
    const double factor = std::max(std::normal_distribution<double>(1.0, 0.3)(random), 0.2);
    return static_cast<double>(kind.service_time.count()) * factor;
  }

  /// Takes a call. @return false if the endpoint's queue is full.
  bool Accept(const OverloadScenario& scenario, const EndpointCall& call) {
    if (running_.size() >= static_cast<size_t>(scenario.slots) &&
        waiting_.size() >= static_cast<size_t>(scenario.max_queue)) {
      return false;
    }
    waiting_.push_back(call);
    return true;
  }
  /// Stops a call.
  void Remove(size_t gateway, AttemptId attempt) {
    const auto is_removed = [&](const EndpointCall& call) {
      return call.gateway == gateway && call.attempt == attempt;
    };
    std::erase_if(running_, is_removed);
    std::erase_if(waiting_, is_removed);
  }
  /// Lets the time advance by one step. @return the calls that have finished.
  std::vector<EndpointCall> Advance(MonoTime now,
                                    const OverloadScenario& scenario,
                                    RandomEngine& random) {
    if (now >= slowdown_until_) {
      slowdown_until_ = now + kSlowPhaseDuration;
      const bool slow = std::uniform_real_distribution<double>(0, 1)(random) < scenario.slow_share;
      slowdown_ = slow ? scenario.slow_factor : 1.0;
    }
    while (!waiting_.empty() && running_.size() < static_cast<size_t>(scenario.slots)) {
      running_.push_back(waiting_.front());
      waiting_.pop_front();
      const double full_factor = IsNearlyFull(scenario, running_.size()) ? scenario.full_factor : 1;
      running_.back().remaining_us *= slowdown_ * full_factor;
    }
    std::vector<EndpointCall> finished;
    std::erase_if(running_, [&](EndpointCall& call) {
      call.remaining_us -= static_cast<double>(kStep.count());
      if (call.remaining_us <= 0) {
        finished.push_back(call);
      }
      return call.remaining_us <= 0;
    });
    return finished;
  }

  LoadReport Report(const OverloadScenario& scenario) const {
    LoadReport report;
    report.in_flight = static_cast<int32_t>(running_.size());
    report.waiting = static_cast<int32_t>(waiting_.size());
    report.slots = scenario.slots;
    report.slowdown_percent = static_cast<int32_t>(slowdown_ * 100);
    return report;
  }
  bool is_slow() const { return slowdown_ > 1.0; }
  size_t running() const { return running_.size(); }
  size_t waiting() const { return waiting_.size(); }
  size_t calls() const { return running_.size() + waiting_.size(); }

 private:
  std::vector<EndpointCall> running_;
  std::deque<EndpointCall> waiting_;
  double slowdown_ = 1.0;  ///< Factor of the service time.
  MonoTime slowdown_until_;
};

}  // namespace jd
