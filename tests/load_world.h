#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "policy/dispatcher.h"

namespace jd {

/// Parameters of a simulated deployment and its calls.
struct LoadShape {
  int gateways = 17;
  int zones = 3;
  int endpoints = 30;
  int slots = 4;
  int queue = 8;          ///< Maximum queue length of an endpoint.
  Duration work = 220ms;  ///< Mean service time at normal speed.
  Duration target = 600ms;
  Duration patience = 2500ms;
  double slow_share = 0.25;  ///< Share of the time in which an endpoint is slow.
  double slow_factor = 5.0;
  double full_factor = 1.7;  ///< Slowdown if more than 0.8 of the slots are busy.
};

/// Simulation in virtual time of upstreams whose speed changes every 150 ms, gateways that share no
/// state, and callers that retry once after a refusal. It measures the share of callers that are
/// answered within the target latency, counted from their first attempt.
/// @tparam Policy routing policy of the gateways.
template <typename Policy>
class LoadWorld {
 public:
  LoadWorld(const LoadShape& shape, uint64_t seed) : shape_(shape), random_(seed) {
    for (int i = 0; i < shape.endpoints; ++i) {
      endpoints_.emplace_back();
    }
    for (int i = 0; i < shape.gateways; ++i) {
      gateways_.push_back(std::make_unique<Gateway>(ZoneOf(i), seed + static_cast<uint64_t>(i)));
    }
    Configure();
  }

  /// Makes every endpoint refuse this share of the calls from now on.
  void ShedShare(double share) { shed_share_ = share; }
  /// Stops the endpoints of a zone and removes them from the configuration.
  void LoseZone(int zone) {
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      if (static_cast<int>(i) % shape_.zones == zone) {
        endpoints_[i].lost = true;
      }
    }
    Configure();
  }
  void LimitRetries(const RetryBudget::Limits& limits) {
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
        Arrive({now_, 0});
      }
      Step();
    }
  }
  /// Resets the counters of callers and retries.
  void Restart() { callers_ = in_target_ = arrivals_ = repeats_ = 0; }
  double in_target() const { return static_cast<double>(in_target_) / callers_; }
  int callers() const { return callers_; }
  int repeats() const { return repeats_; }
  int probes() const { return probes_; }

 private:
  static constexpr Duration kStep = 1ms;
  static constexpr Duration kSlowPhase = 150ms;

  struct Caller {
    MonoTime since;
    int returns = 0;
  };
  struct Run_ {
    size_t gateway = 0;
    AttemptId attempt;
    MonoTime sent;
    double left = 0;  ///< Remaining service time in microseconds at normal speed.
  };
  struct Endpoint_ {
    std::vector<Run_> running;
    std::deque<Run_> waiting;
    double speed = 1.0;
    MonoTime speed_until;
    bool lost = false;
  };
  struct Gateway {
    Gateway(const ZoneId& own_zone, uint64_t seed) : dispatcher(own_zone, &policy, seed) {}
    Policy policy;
    Dispatcher<Policy> dispatcher;
    std::map<CallId, Caller> callers;
    std::map<AttemptId, size_t> attempts;
    uint64_t next_call = 1;
  };
  struct Probe {
    size_t gateway = 0;
    size_t endpoint = 0;
  };

  ZoneId ZoneOf(int index) const { return ZoneId("z" + std::to_string(index % shape_.zones)); }

  void Configure() {
    Configuration configuration;
    Profile profile;
    profile.id = ProfileId("p");
    profile.deadline = shape_.patience;
    profile.target_latency = shape_.target;
    profile.max_attempts = 2;
    profile.retry_budget = 1.0;
    Service service;
    service.id = ServiceId("s");
    service.profile = profile.id;
    ServiceView view{service.id, {}};
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      if (endpoints_[i].lost) {
        continue;
      }
      Endpoint endpoint;
      endpoint.id = EndpointId(std::to_string(i));
      endpoint.zone = ZoneOf(static_cast<int>(i));
      endpoint.slots = shape_.slots;
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

  void Arrive(const Caller& caller) {
    const Duration left = caller.since + shape_.patience - now_;
    if (left <= Duration(0)) {
      return;
    }
    const size_t index = random_() % gateways_.size();
    Gateway& gateway = *gateways_[index];
    CallRequest request;
    request.id = CallId(gateway.next_call++);
    request.request = RequestId(std::to_string(random_()));
    request.service = ServiceId("s");
    request.method = "POST";
    request.path = "/";
    request.fingerprint = Fingerprint(random_());
    request.timeout = left;
    gateway.callers[request.id] = caller;
    CallActions actions;
    gateway.dispatcher.OnCall(now_, request, &actions);
    Take(index, actions);
  }

  void Take(size_t index, const CallActions& actions) {
    for (const CallAction& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        Send(index, *send);
      } else if (const auto* probe = std::get_if<SendProbe>(&action)) {
        ++probes_;
        probes_due_.push_back({index, std::stoul(probe->endpoint.value)});
      } else if (const auto* answer = std::get_if<AnswerCall>(&action)) {
        const auto caller = gateways_[index]->callers.extract(answer->call);
        in_target_ += now_ - caller.mapped().since <= shape_.target ? 1 : 0;
      } else if (const auto* refuse = std::get_if<RefuseCall>(&action)) {
        const auto caller = gateways_[index]->callers.extract(refuse->call);
        if (refuse->refusal.verdict == Verdict::kNotRun && caller.mapped().returns == 0) {
          returning_.emplace(now_ + refuse->refusal.retry_after, Caller{caller.mapped().since, 1});
        }
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        End(index, cancel->attempt, AttemptOutcome::kCancelled, now_);
      }
    }
  }

  void Send(size_t index, const SendAttempt& send) {
    const size_t target = std::stoul(send.endpoint.value);
    Endpoint_& endpoint = endpoints_[target];
    ++arrivals_;
    repeats_ += attempts_of_[{index, send.call}]++ > 0 ? 1 : 0;
    gateways_[index]->attempts[send.attempt] = target;
    std::normal_distribution<double> spread(1.0, 0.3);
    const double work = static_cast<double>(shape_.work.count()) * std::max(spread(random_), 0.2);
    const bool shed = std::uniform_real_distribution<double>(0, 1)(random_) < shed_share_;
    if (shed || endpoint.waiting.size() >= static_cast<size_t>(shape_.queue)) {
      ended_.push_back({index, send.attempt, AttemptOutcome::kRefused, now_});
    } else {
      endpoint.waiting.push_back({index, send.attempt, now_, work});
    }
  }

  struct Ended {
    size_t gateway = 0;
    AttemptId attempt;
    AttemptOutcome outcome = AttemptOutcome::kAnswered;
    MonoTime sent;
  };

  void End(size_t index, AttemptId attempt, AttemptOutcome outcome, MonoTime sent) {
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
    Take(index, actions);
  }

  void Step() {
    for (Endpoint_& endpoint : endpoints_) {
      Work(&endpoint);
    }
    for (const Ended& ended : std::exchange(ended_, {})) {
      End(ended.gateway, ended.attempt, ended.outcome, ended.sent);
    }
    for (const Probe& probe : std::exchange(probes_due_, {})) {
      AnswerProbe(probe);
    }
    while (!returning_.empty() && returning_.begin()->first <= now_) {
      const Caller caller = returning_.begin()->second;
      returning_.erase(returning_.begin());
      Arrive(caller);
    }
    for (size_t i = 0; i < gateways_.size(); ++i) {
      CallActions actions;
      gateways_[i]->dispatcher.OnTimer(now_, &actions);
      Take(i, actions);
    }
  }

  void Work(Endpoint_* endpoint) {
    if (endpoint->lost) {
      return;
    }
    if (now_ >= endpoint->speed_until) {
      endpoint->speed_until = now_ + kSlowPhase;
      const bool slow = std::uniform_real_distribution<double>(0, 1)(random_) < shape_.slow_share;
      endpoint->speed = slow ? shape_.slow_factor : 1.0;
    }
    while (!endpoint->waiting.empty() &&
           endpoint->running.size() < static_cast<size_t>(shape_.slots)) {
      endpoint->running.push_back(endpoint->waiting.front());
      endpoint->waiting.pop_front();
    }
    const bool full = static_cast<double>(endpoint->running.size()) > 0.8 * shape_.slots;
    const double done =
        static_cast<double>(kStep.count()) / endpoint->speed / (full ? shape_.full_factor : 1.0);
    std::erase_if(endpoint->running, [&](Run_& run) {
      run.left -= done;
      if (run.left > 0) {
        return false;
      }
      ended_.push_back({run.gateway, run.attempt, AttemptOutcome::kAnswered, run.sent});
      return true;
    });
  }

  void AnswerProbe(const Probe& probe) {
    const Endpoint_& endpoint = endpoints_[probe.endpoint];
    ProbeResult result;
    result.endpoint = EndpointId(std::to_string(probe.endpoint));
    if (endpoint.lost) {
      return;
    }
    result.answered = true;
    result.status = 200;
    result.report = LoadReport();
    result.report->in_flight = static_cast<int32_t>(endpoint.running.size());
    result.report->waiting = static_cast<int32_t>(endpoint.waiting.size());
    result.report->slots = shape_.slots;
    result.report->slowdown_percent = static_cast<int32_t>(endpoint.speed * 100);
    CallActions actions;
    gateways_[probe.gateway]->dispatcher.OnProbeResult(now_, result, &actions);
    Take(probe.gateway, actions);
  }

  LoadShape shape_;
  RandomEngine random_;
  MonoTime now_ = MonoTime() + 100s;
  double shed_share_ = 0;
  std::vector<Endpoint_> endpoints_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<Ended> ended_;
  std::vector<Probe> probes_due_;
  std::multimap<MonoTime, Caller> returning_;
  std::map<std::pair<size_t, CallId>, int> attempts_of_;
  int callers_ = 0;
  int in_target_ = 0;
  int arrivals_ = 0;
  int repeats_ = 0;
  int probes_ = 0;
};

}  // namespace jd
