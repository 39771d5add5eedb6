#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "cluster/ownership.h"
#include "cluster/permit_issuer.h"
#include "policy/dispatcher.h"

namespace jd {

/// Parameters of a simulated deployment and its calls.
struct LoadScenario {
  int gateways = 17;
  int zones = 3;
  int endpoints = 30;
  int slots = 4;
  int max_queue = 8;              ///< Maximum queue length of an endpoint.
  Duration service_time = 220ms;  ///< Mean service time at normal speed.
  Duration target_latency = 600ms;
  Duration deadline = 2500ms;
  double slow_share = 0.25;  ///< Share of the time in which an endpoint is slow.
  double slow_factor = 5.0;
  /// Share of the calls that arrive at the first fifth of the gateways.
  double skew = 0.2;
  double full_factor = 1.7;  ///< Slowdown if more than 0.8 of the slots are busy.
};

/// Simulation in virtual time of upstreams whose speed changes every 150 ms, gateways that share no
/// state, and callers that retry once after a refusal. It measures the share of callers that are
/// answered within the target latency, counted from their first attempt.
/// @tparam Policy routing policy of the gateways.
template <typename Policy>
class LoadSimulation {
 public:
  LoadSimulation(const LoadScenario& scenario, uint64_t seed) : scenario_(scenario), random_(seed) {
    for (int i = 0; i < scenario.endpoints; ++i) {
      endpoints_.emplace_back();
    }
    for (int i = 0; i < scenario.gateways; ++i) {
      gateways_.push_back(std::make_unique<Gateway>(ZoneOf(i), seed + static_cast<uint64_t>(i)));
    }
    Configure();
  }

  /// Makes every endpoint refuse this share of the calls from now on.
  void SetRefusedShare(double share) { refused_share_ = share; }
  /// Stops the endpoints of a zone and removes them from the configuration.
  void FailZone(int zone) {
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      if (static_cast<int>(i) % scenario_.zones == zone) {
        endpoints_[i].failed = true;
      }
    }
    Configure();
  }
  /// Lets the first `share` of the endpoints name a limit, or none, from now on. The arrivals that
  /// HighestArrivals counts begin anew.
  void SetLimit(double share, std::optional<CallRate> limit) {
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      const bool limited = static_cast<double>(i) < share * static_cast<double>(endpoints_.size());
      endpoints_[i].limit = limited ? limit : std::nullopt;
      endpoints_[i].arrivals.clear();
    }
    limit_set_at_ = now_;
  }
  /// Returns the highest number of calls that one endpoint with a limit got in a window that begins
  /// at least `after` later than SetLimit.
  int HighestArrivals(Duration after, Duration window) const {
    size_t highest = 0;
    for (const SimulatedEndpoint& endpoint : endpoints_) {
      const std::vector<MonoTime>& arrivals = endpoint.arrivals;
      size_t first = 0;
      for (size_t last = 0; endpoint.limit && last < arrivals.size(); ++last) {
        while (arrivals[first] <= arrivals[last] - window ||
               arrivals[first] < limit_set_at_ + after) {
          if (++first > last) {
            break;
          }
        }
        highest = std::max(highest, last + 1 - first);
      }
    }
    return static_cast<int>(highest);
  }
  void SetRetryLimits(const RetryBudget::Limits& limits) {
    for (auto& gateway : gateways_) {
      gateway->dispatcher.SetRetryLimits(limits);
    }
  }

  /// Runs the simulation for this time with this many new callers per second.
  void Run(Duration time, double per_second) {
    const MonoTime end = now_ + time;
    std::exponential_distribution<double> gap(per_second / 1e6);
    MonoTime next = now_ + Duration(static_cast<int64_t>(gap(random_)));
    for (; now_ < end; now_ += kStep) {
      for (; next <= now_; next += Duration(static_cast<int64_t>(gap(random_)))) {
        ++callers_;
        StartCall({now_, 0});
      }
      Step();
    }
  }
  /// Resets the counters of callers and retries.
  void ResetCounters() { callers_ = on_time_callers_ = attempts_sent_ = retries_ = 0; }
  /// Returns the calls that the endpoints with a limit got since SetLimit.
  int limited_arrivals() const {
    size_t count = 0;
    for (const SimulatedEndpoint& endpoint : endpoints_) {
      count += endpoint.limit ? endpoint.arrivals.size() : 0;
    }
    return static_cast<int>(count);
  }
  double on_time_share() const { return static_cast<double>(on_time_callers_) / callers_; }
  int callers() const { return callers_; }
  int retries() const { return retries_; }
  int probes() const { return probes_; }

 private:
  static constexpr Duration kStep = 1ms;
  static constexpr Duration kSlowPhaseDuration = 150ms;

  struct Caller {
    MonoTime first_attempt;
    int retries = 0;
  };
  struct RunningCall {
    size_t gateway = 0;
    AttemptId attempt;
    MonoTime sent;
    double remaining = 0;  ///< Remaining service time in microseconds at normal speed.
  };
  struct SimulatedEndpoint {
    std::vector<RunningCall> running;
    std::deque<RunningCall> waiting;
    double slowdown = 1.0;  ///< Factor of the service time.
    MonoTime slowdown_until;
    bool failed = false;
    std::optional<CallRate> limit;   ///< The limit that the endpoint names.
    std::vector<MonoTime> arrivals;  ///< Of calls, since the limit was set.
  };
  struct Gateway {
    Gateway(const ZoneId& local_zone, uint64_t seed) : dispatcher(local_zone, &policy, seed) {}
    Policy policy;
    Dispatcher<Policy> dispatcher;
    std::map<CallId, Caller> callers;
    std::map<AttemptId, size_t> attempts;
    PermitIssuer issuer;
    uint64_t next_call = 1;
  };
  struct PendingPermit {
    size_t gateway = 0;
    RequestPermit request;
  };
  struct PendingProbe {
    size_t gateway = 0;
    size_t endpoint = 0;
  };

  ZoneId ZoneOf(int index) const { return ZoneId("z" + std::to_string(index % scenario_.zones)); }

  void Configure() {
    Configuration configuration;
    Profile profile;
    profile.id = ProfileId("p");
    profile.deadline = scenario_.deadline;
    profile.target_latency = scenario_.target_latency;
    profile.max_attempts = 2;
    profile.retry_budget = 1.0;
    Service service;
    service.id = ServiceId("s");
    service.profile = profile.id;
    ServiceView view{service.id, {}};
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      if (endpoints_[i].failed) {
        continue;
      }
      Endpoint endpoint;
      endpoint.id = EndpointId(std::to_string(i));
      endpoint.zone = ZoneOf(static_cast<int>(i));
      endpoint.slots = scenario_.slots;
      service.endpoints.push_back(endpoint);
      view.endpoints.push_back({endpoint.id, endpoint.zone, endpoint.slots, true});
    }
    configuration.profiles[profile.id] = profile;
    configuration.services[service.id] = service;
    const auto shared = std::make_shared<const Configuration>(configuration);
    for (auto& gateway : gateways_) {
      gateway->dispatcher.SetConfiguration(now_, shared);
      gateway->dispatcher.SetService(now_, view);
      gateway->policy.SetService(now_, view);
    }
  }

  void StartCall(const Caller& caller) {
    const Duration left = caller.first_attempt + scenario_.deadline - now_;
    if (left <= Duration(0)) {
      return;
    }
    const size_t busy = (gateways_.size() + 4) / 5;
    const bool to_busy = scenario_.skew > 0.2 &&
                         std::uniform_real_distribution<double>(0, 1)(random_) < scenario_.skew;
    const size_t index = random_() % (to_busy ? busy : gateways_.size());
    Gateway& gateway = *gateways_[index];
    CallRequest request;
    request.id = CallId(gateway.next_call++);
    request.request_id = RequestId(std::to_string(random_()));
    request.service = ServiceId("s");
    request.method = "POST";
    request.path = "/";
    request.fingerprint = Fingerprint(random_());
    request.timeout = left;
    gateway.callers[request.id] = caller;
    CallActions actions;
    gateway.dispatcher.OnCall(now_, request, &actions);
    ApplyActions(index, actions);
  }

  void ApplyActions(size_t index, const CallActions& actions) {
    for (const CallAction& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        StartAttempt(index, *send);
      } else if (const auto* probe = std::get_if<SendProbe>(&action)) {
        ++probes_;
        pending_probes_.push_back({index, std::stoul(probe->endpoint.value)});
      } else if (const auto* permit = std::get_if<RequestPermit>(&action)) {
        pending_permits_.push_back({index, *permit});
      } else if (const auto* answer = std::get_if<AnswerCall>(&action)) {
        const auto caller = gateways_[index]->callers.extract(answer->call);
        on_time_callers_ +=
            now_ - caller.mapped().first_attempt <= scenario_.target_latency ? 1 : 0;
      } else if (const auto* refuse = std::get_if<RefuseCall>(&action)) {
        const auto caller = gateways_[index]->callers.extract(refuse->call);
        if (refuse->refusal.verdict == Verdict::kNotRun && caller.mapped().retries == 0) {
          retrying_callers_.emplace(now_ + refuse->refusal.retry_after,
                                    Caller{caller.mapped().first_attempt, 1});
        }
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        EndAttempt(index, cancel->attempt, AttemptOutcome::kCancelled, now_);
      }
    }
  }

  void StartAttempt(size_t index, const SendAttempt& send) {
    const size_t target = std::stoul(send.endpoint.value);
    SimulatedEndpoint& endpoint = endpoints_[target];
    endpoint.arrivals.push_back(now_);
    ++attempts_sent_;
    retries_ += attempts_per_call_[{index, send.call}]++ > 0 ? 1 : 0;
    gateways_[index]->attempts[send.attempt] = target;
    std::normal_distribution<double> spread(1.0, 0.3);
    const double work =
        static_cast<double>(scenario_.service_time.count()) * std::max(spread(random_), 0.2);
    const bool refused = std::uniform_real_distribution<double>(0, 1)(random_) < refused_share_;
    if (refused || endpoint.waiting.size() >= static_cast<size_t>(scenario_.max_queue)) {
      attempt_ends_.push_back({index, send.attempt, AttemptOutcome::kRefused, now_});
    } else {
      endpoint.waiting.push_back({index, send.attempt, now_, work});
    }
  }

  struct AttemptEnd {
    size_t gateway = 0;
    AttemptId attempt;
    AttemptOutcome outcome = AttemptOutcome::kAnswered;
    MonoTime sent;
  };

  void EndAttempt(size_t index, AttemptId attempt, AttemptOutcome outcome, MonoTime sent) {
    Gateway& gateway = *gateways_[index];
    if (gateway.attempts.erase(attempt) == 0) {
      return;
    }
    AttemptResult result;
    result.attempt = attempt;
    result.outcome = outcome;
    result.status = outcome == AttemptOutcome::kAnswered ? 200 : 503;
    result.latency = now_ - sent;
    result.request_written = true;
    CallActions actions;
    gateway.dispatcher.OnAttemptResult(now_, result, &actions);
    ApplyActions(index, actions);
  }

  void Step() {
    for (SimulatedEndpoint& endpoint : endpoints_) {
      AdvanceEndpoint(&endpoint);
    }
    for (const AttemptEnd& ended : std::exchange(attempt_ends_, {})) {
      EndAttempt(ended.gateway, ended.attempt, ended.outcome, ended.sent);
    }
    for (const PendingProbe& probe : std::exchange(pending_probes_, {})) {
      AnswerProbe(probe);
    }
    for (const PendingPermit& permit : std::exchange(pending_permits_, {})) {
      AnswerPermitRequest(permit);
    }
    while (!retrying_callers_.empty() && retrying_callers_.begin()->first <= now_) {
      const Caller caller = retrying_callers_.begin()->second;
      retrying_callers_.erase(retrying_callers_.begin());
      StartCall(caller);
    }
    for (size_t i = 0; i < gateways_.size(); ++i) {
      CallActions actions;
      gateways_[i]->dispatcher.OnTimer(now_, &actions);
      ApplyActions(i, actions);
    }
  }

  void AdvanceEndpoint(SimulatedEndpoint* endpoint) {
    if (endpoint->failed) {
      return;
    }
    if (now_ >= endpoint->slowdown_until) {
      endpoint->slowdown_until = now_ + kSlowPhaseDuration;
      const bool slow =
          std::uniform_real_distribution<double>(0, 1)(random_) < scenario_.slow_share;
      endpoint->slowdown = slow ? scenario_.slow_factor : 1.0;
    }
    while (!endpoint->waiting.empty() &&
           endpoint->running.size() < static_cast<size_t>(scenario_.slots)) {
      endpoint->running.push_back(endpoint->waiting.front());
      endpoint->waiting.pop_front();
    }
    const bool full = static_cast<double>(endpoint->running.size()) > 0.8 * scenario_.slots;
    const double progress = static_cast<double>(kStep.count()) / endpoint->slowdown /
                            (full ? scenario_.full_factor : 1.0);
    std::erase_if(endpoint->running, [&](RunningCall& run) {
      run.remaining -= progress;
      if (run.remaining > 0) {
        return false;
      }
      attempt_ends_.push_back({run.gateway, run.attempt, AttemptOutcome::kAnswered, run.sent});
      return true;
    });
  }

  void AnswerProbe(const PendingProbe& probe) {
    const SimulatedEndpoint& endpoint = endpoints_[probe.endpoint];
    ProbeResult result;
    result.endpoint = EndpointId(std::to_string(probe.endpoint));
    if (endpoint.failed) {
      return;
    }
    result.answered = true;
    result.status = 200;
    result.report = LoadReport();
    result.report->in_flight = static_cast<int32_t>(endpoint.running.size());
    result.report->waiting = static_cast<int32_t>(endpoint.waiting.size());
    result.report->slots = scenario_.slots;
    result.report->slowdown_percent = static_cast<int32_t>(endpoint.slowdown * 100);
    result.report->limit.rate = endpoint.limit;
    CallActions actions;
    gateways_[probe.gateway]->dispatcher.OnProbeResult(now_, result, &actions);
    ApplyActions(probe.gateway, actions);
  }

  // One gateway of the endpoint's zone issues the permits; without one there, one of all gateways.
  void AnswerPermitRequest(const PendingPermit& pending) {
    const EndpointId& endpoint = pending.request.endpoint;
    const auto zone = static_cast<size_t>(std::stoi(endpoint.value) % scenario_.zones);
    std::vector<GatewayId> candidates;
    for (size_t i = zone < gateways_.size() ? zone : 0; i < gateways_.size();
         i += zone < gateways_.size() ? static_cast<size_t>(scenario_.zones) : 1) {
      candidates.emplace_back(std::to_string(i));
    }
    const size_t issuer = std::stoul(OwnerOf(PoolId(endpoint.value), candidates).value);
    const PermitRequest request{GatewayId(std::to_string(pending.gateway)),
                                pending.request.call,
                                endpoint,
                                ZoneId(),
                                pending.request.limit,
                                pending.request.priority,
                                false};
    const PermitDecision decision = gateways_[issuer]->issuer.Decide(now_, request, 1.0);
    CallActions actions;
    gateways_[pending.gateway]->dispatcher.OnPermitDecision(now_, pending.request.call, endpoint,
                                                            decision, &actions);
    ApplyActions(pending.gateway, actions);
  }

  LoadScenario scenario_;
  RandomEngine random_;
  MonoTime now_ = MonoTime() + 100s;
  double refused_share_ = 0;
  MonoTime limit_set_at_;
  std::vector<SimulatedEndpoint> endpoints_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<AttemptEnd> attempt_ends_;
  std::vector<PendingProbe> pending_probes_;
  std::vector<PendingPermit> pending_permits_;
  std::multimap<MonoTime, Caller> retrying_callers_;
  std::map<std::pair<size_t, CallId>, int> attempts_per_call_;
  int callers_ = 0;
  int on_time_callers_ = 0;
  int attempts_sent_ = 0;
  int retries_ = 0;
  int probes_ = 0;
};

}  // namespace jd
