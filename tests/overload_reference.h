#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "tests/simulated_endpoint.h"

namespace jd {

/// One queue that knows the load of every endpoint at every moment, as the upper bound of what
/// gateways can do with the same demand. Calls wait in the order of priority, and the latest
/// arrival goes first, because it has the most time left. A
/// call is sent only to an endpoint that stays below the load from which it is nearly full, and is
/// given up once it can't be answered in time.
class OverloadReference {
 public:
  OverloadReference(const OverloadScenario& scenario, uint64_t seed)
      : scenario_(scenario), random_(seed), endpoints_(static_cast<size_t>(scenario.endpoints)) {}

  /// Runs the queue for this time. @return the number of callers answered in time.
  int Run(Duration time, double demand) {
    in_target_ = 0;
    for (const MonoTime end = now_ + time; now_ < end; now_ += SimulatedEndpoint::kStep) {
      AddCallers(demand);
      for (SimulatedEndpoint& endpoint : endpoints_) {
        for (const EndpointCall& call : endpoint.Advance(now_, scenario_, random_)) {
          in_target_ += now_ <= targets_.extract(call.attempt).mapped() ? 1 : 0;
        }
      }
      SendCalls();
    }
    return in_target_;
  }

 private:
  struct WaitingCall {
    Priority priority = Priority::kNormal;
    MonoTime target;
    double service_time_us = 0;
    bool operator<(const WaitingCall& other) const {
      return std::tuple(-static_cast<int>(priority), other.target) <
             std::tuple(-static_cast<int>(other.priority), target);
    }
  };

  void AddCallers(double demand) {
    for (const SimulatedKind& kind : scenario_.kinds) {
      const double step_s = std::chrono::duration<double>(SimulatedEndpoint::kStep).count();
      std::poisson_distribution<int> arrivals(kind.per_second * demand * step_s);
      for (int i = arrivals(random_); i > 0; --i) {
        waiting_.insert({kind.priority, now_ + kind.target_latency,
                         SimulatedEndpoint::DrawServiceTime(kind, random_)});
      }
    }
  }

  void SendCalls() {
    for (auto call = waiting_.begin(); call != waiting_.end();) {
      const Duration service_time(static_cast<int64_t>(call->service_time_us));
      SimulatedEndpoint* endpoint =
          FindEndpoint(now_ + Scale(service_time, scenario_.slow_factor) <= call->target);
      const bool too_late = now_ + service_time > call->target;
      if (endpoint != nullptr && !too_late) {
        const AttemptId attempt(next_attempt_++);
        endpoint->Accept(scenario_, {0, attempt, now_, call->service_time_us});
        targets_[attempt] = call->target;
      }
      call = endpoint != nullptr || too_late ? waiting_.erase(call) : std::next(call);
    }
  }

  /// Returns the endpoint with the fewest calls that stays below the load from which it is nearly
  /// full, or null. Endpoints at normal speed go first.
  /// @param may_be_slow whether the call can be answered in time by a slow endpoint.
  SimulatedEndpoint* FindEndpoint(bool may_be_slow) {
    SimulatedEndpoint* best = nullptr;
    for (SimulatedEndpoint& endpoint : endpoints_) {
      if ((endpoint.is_slow() && !may_be_slow) ||
          SimulatedEndpoint::IsNearlyFull(scenario_, endpoint.calls() + 1)) {
        continue;
      }
      if (best == nullptr || std::pair(endpoint.is_slow(), endpoint.calls()) <
                                 std::pair(best->is_slow(), best->calls())) {
        best = &endpoint;
      }
    }
    return best;
  }

  OverloadScenario scenario_;
  RandomEngine random_;
  MonoTime now_ = MonoTime() + 100s;
  std::vector<SimulatedEndpoint> endpoints_;
  std::multiset<WaitingCall> waiting_;
  std::map<AttemptId, MonoTime> targets_;
  uint64_t next_attempt_ = 1;
  int in_target_ = 0;
};

}  // namespace jd
