#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "common/route_table.h"
#include "policy/dispatcher.h"
#include "tests/simulated_endpoint.h"

namespace jd {

/// What happened to the calls of one period.
struct OverloadCounts {
  int callers = 0;
  int in_target = 0;
  int late = 0;
  int refusals = 0;             ///< Refusals, those of calls that came back included.
  int refused_again = 0;        ///< Refusals of calls that came back.
  int refused_beside_room = 0;  ///< Refusals while an endpoint of the zone had room.
  int expired = 0;              ///< Calls whose deadline passed at a gateway or endpoint.
  int rejected_by_endpoint = 0;
  int probes = 0;
  int64_t busy_slot_steps = 0;
  int64_t queued_steps = 0;
  int64_t steps = 0;
  std::vector<int> in_target_by_kind;
  std::vector<int> callers_by_kind;

  double share_in_target() const { return static_cast<double>(in_target) / std::max(callers, 1); }
};

/// Simulates in virtual time a service whose demand exceeds its capacity: endpoints that slow down
/// at random and when nearly full, gateways that share no state, a limit on probes, and callers
/// that come back once after a refusal.
/// @tparam Policy routing policy of the gateways.
template <typename Policy>
class OverloadSimulation {
 public:
  OverloadSimulation(const OverloadScenario& scenario, uint64_t seed)
      : scenario_(scenario), random_(seed), endpoints_(static_cast<size_t>(scenario.endpoints)) {
    std::vector<double> weights;
    for (int i = 0; i < scenario.gateways; ++i) {
      gateways_.push_back(std::make_unique<Gateway>(ZoneOf(i), seed + static_cast<uint64_t>(i)));
      weights.push_back(
          std::uniform_real_distribution<double>(1.0, std::max(scenario.skew, 1.001))(random_));
    }
    gateway_choice_ = std::discrete_distribution<size_t>(weights.begin(), weights.end());
    Configure();
    TakeCounts();
  }

  /// Runs the simulation for this time.
  /// @param demand multiple of the normal demand.
  /// @return what happened to the calls meanwhile.
  OverloadCounts Run(Duration time, double demand) {
    for (const MonoTime end = now_ + time; now_ < end; now_ += kStep) {
      for (size_t kind = 0; kind < scenario_.kinds.size(); ++kind) {
        const double mean = scenario_.kinds[kind].per_second * demand * Seconds(kStep);
        for (int i = std::poisson_distribution<int>(mean)(random_); i > 0; --i) {
          const size_t gateway = gateway_choice_(random_);
          ++counts_.callers;
          ++counts_.callers_by_kind[kind];
          StartCall({now_, kind, gateway, false});
        }
      }
      Step();
    }
    return TakeCounts();
  }

  /// Changes the share of the time in which an endpoint is slow.
  void SetSlowShare(double share) { scenario_.slow_share = share; }

 private:
  static constexpr Duration kStep = SimulatedEndpoint::kStep;

  struct Caller {
    MonoTime first_attempt;
    size_t kind = 0;
    size_t gateway = 0;
    bool came_back = false;
  };
  struct Gateway {
    Gateway(const ZoneId& zone, uint64_t seed) : dispatcher(zone, &policy, seed) {}
    Policy policy;
    Dispatcher<Policy> dispatcher;
    std::map<CallId, Caller> callers;
    std::map<AttemptId, size_t> attempts;
    uint64_t next_call = 1;
  };
  struct AttemptEnd {
    size_t gateway = 0;
    size_t endpoint = 0;
    AttemptId attempt;
    AttemptOutcome outcome = AttemptOutcome::kAnswered;
    MonoTime sent;
  };
  struct ProbeReply {
    size_t gateway = 0;
    ProbeResult result;
  };
  struct NewAttempt {
    size_t endpoint = 0;
    EndpointCall call;
  };

  static double Seconds(Duration time) { return std::chrono::duration<double>(time).count(); }
  ZoneId ZoneOf(int index) const { return ZoneId("z" + std::to_string(index % scenario_.zones)); }

  OverloadCounts TakeCounts() {
    OverloadCounts empty;
    empty.in_target_by_kind.resize(scenario_.kinds.size());
    empty.callers_by_kind.resize(scenario_.kinds.size());
    return std::exchange(counts_, empty);
  }

  Route RouteOf(const SimulatedKind& kind) const {
    Route route;
    route.id = RouteId(kind.name);
    route.host = "h";
    route.prefix = "/" + kind.name + "/";
    route.profile.id = ProfileId(kind.name);
    route.profile.deadline = kind.deadline;
    route.profile.target_latency = kind.target_latency;
    route.profile.priority = kind.priority;
    route.profile.max_attempts = 2;
    route.profile.retry_budget = 0.2;
    route.targets = {{ServiceId("s"), 1.0}};
    return route;
  }

  void Configure() {
    Configuration configuration;
    Service service;
    service.id = ServiceId("s");
    ServiceView view{service.id, {}};
    for (int i = 0; i < scenario_.endpoints; ++i) {
      Endpoint endpoint;
      endpoint.id = EndpointId(std::to_string(i));
      endpoint.zone = ZoneOf(i);
      endpoint.slots = scenario_.slots;
      service.endpoints.push_back(endpoint);
      view.endpoints.push_back({endpoint.id, endpoint.zone, endpoint.slots, true});
    }
    configuration.services[service.id] = service;
    std::vector<Route> routes;
    for (const SimulatedKind& kind : scenario_.kinds) {
      routes.push_back(RouteOf(kind));
    }
    configuration.routes = std::make_shared<const RouteTable>(routes);
    const auto shared = std::make_shared<const Configuration>(configuration);
    for (auto& gateway : gateways_) {
      gateway->dispatcher.SetConfiguration(now_, shared);
      gateway->dispatcher.SetRetryLimits(RetryBudget::SharedLimits(0.2, 10s));
      gateway->dispatcher.SetService(now_, view);
      gateway->policy.SetProbeRate(now_, scenario_.probe_rate / scenario_.gateways);
      gateway->policy.SetService(now_, view);
    }
  }

  void StartCall(const Caller& caller) {
    const SimulatedKind& kind = scenario_.kinds[caller.kind];
    const Duration left = caller.first_attempt + kind.deadline - now_;
    if (left <= Duration(0)) {
      return;
    }
    Gateway& gateway = *gateways_[caller.gateway];
    CallRequest request;
    request.id = CallId(gateway.next_call++);
    request.request_id = RequestId(std::to_string(random_()));
    request.host = "h";
    request.method = "GET";
    request.path = "/" + kind.name + "/";
    request.fingerprint = Fingerprint(random_());
    request.timeout = left;
    gateway.callers[request.id] = caller;
    CallActions actions;
    gateway.dispatcher.OnCall(now_, request, &actions);
    ApplyActions(caller.gateway, actions);
  }

  void ApplyActions(size_t index, const CallActions& actions) {
    for (const CallAction& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        StartAttempt(index, *send);
      } else if (const auto* probe = std::get_if<SendProbe>(&action)) {
        ++counts_.probes;
        probes_sent_.emplace_back(index, std::stoul(probe->endpoint.value));
      } else if (const auto* answer = std::get_if<AnswerCall>(&action)) {
        CountAnswer(gateways_[index]->callers.extract(answer->call).mapped());
      } else if (const auto* refuse = std::get_if<RefuseCall>(&action)) {
        HandleRefusal(gateways_[index]->callers.extract(refuse->call).mapped(), refuse->refusal);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        Cancel(index, cancel->attempt);
      }
    }
  }

  void CountAnswer(const Caller& caller) {
    const bool in_target =
        now_ - caller.first_attempt <= scenario_.kinds[caller.kind].target_latency;
    ++(in_target ? counts_.in_target : counts_.late);
    counts_.in_target_by_kind[caller.kind] += in_target ? 1 : 0;
  }

  void HandleRefusal(Caller caller, const Refusal& refusal) {
    if (refusal.reason == RefusalReason::kDeadline) {
      ++counts_.expired;
      return;
    }
    ++counts_.refusals;
    counts_.refused_beside_room += HasRoom(caller.gateway) ? 1 : 0;
    if (std::exchange(caller.came_back, true)) {
      ++counts_.refused_again;
    } else if (refusal.verdict == Verdict::kNotRun) {
      returning_.emplace(now_ + refusal.retry_after, caller);
    }
  }

  /// Returns whether an endpoint in the gateway's zone at normal speed would stay below the load
  /// from which it is nearly full.
  bool HasRoom(size_t gateway) const {
    for (size_t i = gateway % static_cast<size_t>(scenario_.zones); i < endpoints_.size();
         i += static_cast<size_t>(scenario_.zones)) {
      if (!endpoints_[i].is_slow() &&
          !SimulatedEndpoint::IsNearlyFull(scenario_, endpoints_[i].calls() + 1)) {
        return true;
      }
    }
    return false;
  }

  void StartAttempt(size_t index, const SendAttempt& send) {
    const size_t target = std::stoul(send.endpoint.value);
    Gateway& gateway = *gateways_[index];
    gateway.attempts[send.attempt] = target;
    const SimulatedKind& kind = scenario_.kinds[gateway.callers.at(send.call).kind];
    new_attempts_.push_back(
        {target, {index, send.attempt, now_, SimulatedEndpoint::DrawServiceTime(kind, random_)}});
  }

  void Cancel(size_t index, AttemptId attempt) {
    const auto target = gateways_[index]->attempts.find(attempt);
    if (target == gateways_[index]->attempts.end()) {
      return;
    }
    endpoints_[target->second].Remove(index, attempt);
    ended_.push_back({index, target->second, attempt, AttemptOutcome::kCancelled, now_});
  }

  void EndAttempt(const AttemptEnd& end) {
    Gateway& gateway = *gateways_[end.gateway];
    if (gateway.attempts.erase(end.attempt) == 0) {
      return;
    }
    AttemptResult result;
    result.attempt = end.attempt;
    result.outcome = end.outcome;
    result.status = end.outcome == AttemptOutcome::kAnswered ? 200 : 503;
    result.latency = now_ - end.sent;
    result.request_written = true;
    if (end.outcome != AttemptOutcome::kCancelled) {
      result.report = endpoints_[end.endpoint].Report(scenario_);
    }
    CallActions actions;
    gateway.dispatcher.OnAttemptResult(now_, result, &actions);
    ApplyActions(end.gateway, actions);
  }

  void Step() {
    ++counts_.steps;
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      AdvanceEndpoint(i);
    }
    for (const AttemptEnd& end : std::exchange(ended_, {})) {
      EndAttempt(end);
    }
    DeliverProbes();
    while (!returning_.empty() && returning_.begin()->first <= now_) {
      StartCall(returning_.extract(returning_.begin()).mapped());
    }
    for (size_t i = 0; i < gateways_.size(); ++i) {
      const std::optional<MonoTime> due = gateways_[i]->dispatcher.next_timer();
      if (due && *due <= now_) {
        CallActions actions;
        gateways_[i]->dispatcher.OnTimer(now_, &actions);
        ApplyActions(i, actions);
      }
    }
    AcceptAttempts();
  }

  void DeliverProbes() {
    for (const ProbeReply& reply : std::exchange(replies_, {})) {
      CallActions actions;
      gateways_[reply.gateway]->dispatcher.OnProbeResult(now_, reply.result, &actions);
      ApplyActions(reply.gateway, actions);
    }
    for (const auto& [gateway, endpoint] : std::exchange(probes_sent_, {})) {
      ProbeResult result;
      result.endpoint = EndpointId(std::to_string(endpoint));
      result.answered = true;
      result.status = 200;
      result.report = endpoints_[endpoint].Report(scenario_);
      replies_.push_back({gateway, result});
    }
  }

  void AcceptAttempts() {
    for (NewAttempt& attempt : std::exchange(new_attempts_, {})) {
      SimulatedEndpoint& endpoint = endpoints_[attempt.endpoint];
      if (!gateways_[attempt.call.gateway]->attempts.contains(attempt.call.attempt)) {
        continue;
      }
      if (!endpoint.Accept(scenario_, attempt.call)) {
        ++counts_.rejected_by_endpoint;
        ended_.push_back({attempt.call.gateway, attempt.endpoint, attempt.call.attempt,
                          AttemptOutcome::kRefused, attempt.call.sent});
      }
    }
  }

  void AdvanceEndpoint(size_t index) {
    SimulatedEndpoint& endpoint = endpoints_[index];
    for (const EndpointCall& call : endpoint.Advance(now_, scenario_, random_)) {
      ended_.push_back({call.gateway, index, call.attempt, AttemptOutcome::kAnswered, call.sent});
    }
    counts_.busy_slot_steps += static_cast<int64_t>(endpoint.running());
    counts_.queued_steps += static_cast<int64_t>(endpoint.waiting());
  }

  OverloadScenario scenario_;
  RandomEngine random_;
  MonoTime now_ = MonoTime() + 100s;
  std::vector<SimulatedEndpoint> endpoints_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::discrete_distribution<size_t> gateway_choice_;
  std::vector<AttemptEnd> ended_;
  std::vector<std::pair<size_t, size_t>> probes_sent_;  ///< Gateway and endpoint.
  std::vector<ProbeReply> replies_;
  std::vector<NewAttempt> new_attempts_;
  std::multimap<MonoTime, Caller> returning_;
  OverloadCounts counts_;
};

}  // namespace jd
