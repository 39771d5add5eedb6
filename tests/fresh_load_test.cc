#include "policy/fresh_load.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <deque>

#include "policy/call_history.h"
#include "policy/probe_rounds.h"
#include "policy/retry_budget.h"

namespace jd {
namespace {

const ServiceId kService("s");

struct Fixture {
  explicit Fixture(std::vector<EndpointView> endpoints) {
    policy.SetService(now, {kService, std::move(endpoints)});
  }
  AcquireRequest Request() const {
    AcquireRequest request;
    request.service = kService;
    request.local_zone = ZoneId("own");
    request.usual_service_time = 100ms;
    request.target_time = now + 300ms;
    request.deadline = now + 1s;
    return request;
  }
  bool ReportLoad(const std::string& endpoint,
                  int running,
                  int slowdown = 100,
                  Duration cold = {}) {
    ProbeResult result;
    result.endpoint = EndpointId(endpoint);
    result.answered = true;
    result.status = 200;
    result.report = LoadReport();
    result.report->in_flight = running;
    result.report->slots = 4;
    result.report->slowdown_percent = slowdown;
    result.report->cold_remaining = cold;
    return policy.OnProbeResult(now, result);
  }
  void ReportNoAnswer(const std::string& endpoint) {
    ProbeResult result;
    result.endpoint = EndpointId(endpoint);
    policy.OnProbeResult(now, result);
  }
  std::string ChooseEndpoint() {
    const auto endpoint = policy.Acquire(now, Request(), random);
    return endpoint ? endpoint->value : "none";
  }

  MonoTime now = MonoTime() + 10s;
  RandomEngine random{1};
  FreshLoad policy;
};

EndpointView View(const std::string& id, const std::string& zone = "own") {
  return {EndpointId(id), ZoneId(zone), 4, true};
}

TEST_CASE("the endpoint that is expected to finish first is chosen", "[fresh_load_test]") {
  Fixture f({View("a"), View("b"), View("c")});
  CHECK_FALSE(f.ReportLoad("a", 0, 500));
  CHECK(f.ReportLoad("b", 1));
  CHECK_FALSE(f.ReportLoad("c", 4));
  CHECK(f.ChooseEndpoint() == "b");
}

TEST_CASE("an endpoint that starts again in another service is known there alone",
          "[fresh_load_test]") {
  // Guards against a missing record, which ended the gateway, and against the state of the earlier
  // run of the endpoint, in both orders in which the two services may be reported.
  const ServiceId other(GENERATE("a-before", "z-after"));
  Fixture f({View("moved"), View("stays")});
  f.ReportNoAnswer("moved");
  f.ReportNoAnswer("moved");
  const std::vector<ServiceView> changes = {{kService, {View("stays")}}, {other, {View("moved")}}};
  const bool new_service_first = other < kService;
  f.policy.SetService(f.now, changes[new_service_first ? 1 : 0]);
  f.policy.SetService(f.now, changes[new_service_first ? 0 : 1]);
  AcquireRequest request = f.Request();
  request.service = other;
  CHECK(f.policy.ChooseProbeTargets(f.now, request, 0, f.random) ==
        std::vector<EndpointId>{EndpointId("moved")});
  f.ReportLoad("moved", 0);
  f.ReportLoad("stays", 0);
  CHECK(f.policy.Acquire(f.now, request, f.random) == EndpointId("moved"));
  CHECK(f.ChooseEndpoint() == "stays");
}

TEST_CASE("an endpoint with an outdated load report is not chosen", "[fresh_load_test]") {
  // Guards against choosing an endpoint by a load that has changed since.
  Fixture f({View("a")});
  f.ReportLoad("a", 0);
  f.now += FreshLoad::kMaxReportAge + 1ms;
  CHECK(f.ChooseEndpoint() == "none");
}

TEST_CASE("a limit that cannot be read leaves the known one in force", "[fresh_load_test]") {
  // Guards against an endpoint that is sent calls without limit because of one malformed response.
  Fixture f({View("a")});
  const EndpointId endpoint("a");
  LoadReport report;
  report.slots = 4;
  report.limit = {CallRate{2.5}, true};
  f.policy.OnLoadReport(f.now, endpoint, report);
  report.limit = {std::nullopt, false};
  f.policy.OnLoadReport(f.now, endpoint, report);
  CHECK(f.policy.KnownLimit(endpoint) == CallRate{2.5});
  report.limit = {};
  f.policy.OnLoadReport(f.now, endpoint, report);
  CHECK_FALSE(f.policy.KnownLimit(endpoint));
}

TEST_CASE("calls sent since the load report count as load", "[fresh_load_test]") {
  // Guards against sending several calls to the same free slot because of the same probe result.
  Fixture f({View("a"), View("b")});
  f.ReportLoad("a", 0);
  f.ReportLoad("b", 2);
  int a = 0;
  for (int i = 0; i < 4; ++i) {
    a += f.ChooseEndpoint() == "a" ? 1 : 0;
  }
  CHECK(a == 3);
}

TEST_CASE("a cold endpoint gets no call", "[fresh_load_test]") {
  Fixture f({View("a")});
  f.ReportLoad("a", 0, 100, 2s);
  CHECK(f.ChooseEndpoint() == "none");
  f.now += 2s;
  f.ReportLoad("a", 0);
  CHECK(f.ChooseEndpoint() == "a");
}

TEST_CASE("endpoints of the local zone are probed first, then fewer endpoints of other zones",
          "[fresh_load_test]") {
  std::vector<EndpointView> endpoints;
  for (int i = 0; i < 8; ++i) {
    endpoints.push_back(View("own" + std::to_string(i)));
    endpoints.push_back(View("far" + std::to_string(i), "far"));
  }
  Fixture f(endpoints);
  const auto local = f.policy.ChooseProbeTargets(f.now, f.Request(), 0, f.random);
  CHECK(local.size() == FreshLoad::kProbesPerCall);
  for (const EndpointId& endpoint : local) {
    CHECK(endpoint.value.starts_with("own"));
  }
  const auto remote = f.policy.ChooseProbeTargets(f.now, f.Request(), 1, f.random);
  CHECK(remote.size() == FreshLoad::kRemoteProbesPerCall);
  for (const EndpointId& endpoint : remote) {
    CHECK(endpoint.value.starts_with("far"));
  }
}

TEST_CASE("a call that would be late is sent only if no other endpoint is left to probe",
          "[fresh_load_test]") {
  // Guards against calls that wait at a slow endpoint of the local zone while endpoints of other
  // zones are idle.
  Fixture f({View("a"), View("b", "far")});
  f.ReportLoad("a", 0, 500);
  AcquireRequest request = f.Request();
  request.target_time = f.now + 150ms;
  request.last_stage = false;
  CHECK_FALSE(f.policy.Acquire(f.now, request, f.random));
  request.last_stage = true;
  CHECK(f.policy.Acquire(f.now, request, f.random) == EndpointId("a"));
}

TEST_CASE("an endpoint that fails probes is not probed until its backoff ends",
          "[fresh_load_test]") {
  Fixture f({View("a")});
  f.ReportNoAnswer("a");
  CHECK(f.policy.ChooseProbeTargets(f.now, f.Request(), 0, f.random).size() == 1);
  f.ReportNoAnswer("a");
  CHECK(f.policy.ChooseProbeTargets(f.now, f.Request(), 0, f.random).empty());
  f.now += 2s;
  CHECK(f.policy.ChooseProbeTargets(f.now, f.Request(), 0, f.random).size() == 1);
}

TEST_CASE("the state of an endpoint is reset if it is removed and added again during calls",
          "[fresh_load_test]") {
  Fixture f({View("a")});
  f.ReportLoad("a", 0);
  CHECK(f.ChooseEndpoint() == "a");
  f.policy.SetService(f.now, {kService, {}});
  f.policy.SetService(f.now, {kService, {View("a")}});
  f.policy.Release(f.now, EndpointId("a"), AttemptResult());
  CHECK(f.ChooseEndpoint() == "none");
}

TEST_CASE("the slowdown of nearly full endpoints is estimated from latencies",
          "[fresh_load_test]") {
  SaturationSlowdown slowdown;
  for (int i = 0; i < 64; ++i) {
    slowdown.OnAnswered(false, 100ms);
    slowdown.OnAnswered(true, 100ms);
  }
  CHECK(slowdown.factor() < 1.1);
  CHECK(slowdown.OptimalConcurrency(4) == 4);
  for (int i = 0; i < 64; ++i) {
    slowdown.OnAnswered(true, 170ms);
  }
  CHECK(slowdown.factor() > 1.4);
  CHECK(slowdown.OptimalConcurrency(4) == 3);
}

TEST_CASE("probes stay within the rate limit", "[fresh_load_test]") {
  // Guards against a probing cost that grows with the load.
  ProbeBudget budget;
  MonoTime now = MonoTime() + 1s;
  budget.SetRate(now, 100);
  int sent = 0;
  int calls = 0;
  for (; now < MonoTime() + 11s; now += 10ms) {
    sent += budget.TakeTokens(now, 4);
    ++calls;
  }
  CHECK(sent <= 100 * 10 + 200);
  CHECK(sent >= calls);
}

TEST_CASE("a probe round ends with a sufficient answer, the last answer, or a timeout",
          "[fresh_load_test]") {
  const MonoTime now = MonoTime() + 1s;
  const EndpointId a("a");
  const EndpointId b("b");
  ProbeRounds rounds;
  rounds.Start(now, CallId(1), {a, b});
  CHECK(rounds.OnProbeResult(a, true, true) == std::vector<CallId>{CallId(1)});
  rounds.Start(now, CallId(2), {a, b});
  CHECK(rounds.OnProbeResult(a, true, false).empty());
  CHECK(rounds.OnProbeResult(b, false, false) == std::vector<CallId>{CallId(2)});
  rounds.Start(now, CallId(3), {a, b});
  rounds.OnProbeResult(a, true, false);
  CHECK(rounds.next_timer() == now + ProbeRounds::kMaxWaitAfterAnswer);
  CHECK(rounds.TakeExpired(now + ProbeRounds::kMaxWaitAfterAnswer) ==
        std::vector<CallId>{CallId(3)});
  rounds.Start(now, CallId(4), {a});
  CHECK(rounds.next_timer() == now + ProbeRounds::kMaxNoAnswerTimeout);
  rounds.Remove(CallId(4));
  CHECK_FALSE(rounds.next_timer());
  CHECK(rounds.OnProbeResult(a, true, true).empty());
}

TEST_CASE("the timeout of unanswered probes follows the smoothed probe latency",
          "[fresh_load_test]") {
  // Guards against calls that wait too long for a zone that is down before another zone is probed.
  ProbeRounds rounds;
  rounds.RecordLatency(1500us);
  CHECK(rounds.no_answer_timeout() == ProbeRounds::kMinNoAnswerTimeout);
  for (int i = 0; i < 200; ++i) {
    rounds.RecordLatency(4ms);
  }
  CHECK(rounds.no_answer_timeout() > 35ms);
  for (int i = 0; i < 200; ++i) {
    rounds.RecordLatency(60ms);
  }
  CHECK(rounds.no_answer_timeout() == ProbeRounds::kMaxNoAnswerTimeout);
}

TEST_CASE("the time that a retrying caller has already waited is derived from its timeout",
          "[fresh_load_test]") {
  CallHistory history;
  const ProfileId profile("p");
  CHECK(history.EstimateCallerWait(profile, 2500ms) == Duration(0));
  CHECK(history.EstimateCallerWait(profile, 2000ms) == Duration(500ms));
  CHECK(history.EstimateCallerWait(profile, 2495ms) == Duration(0));
  CHECK_FALSE(history.UsualServiceTime(profile));
  history.RecordLatency(profile, 100ms);
  for (int i = 0; i < 20; ++i) {
    history.RecordLatency(profile, i % 2 == 0 ? 100ms : 500ms);
  }
  CHECK(*history.UsualServiceTime(profile) < Duration(250ms));
}

TEST_CASE("gateways with a shared retry limit together keep it in every time window",
          "[fresh_load_test]") {
  // Guards against retries that exceed the limit in total although each gateway keeps its own
  // limit.
  CHECK(rc::check([] {
    constexpr double kShare = 0.2;
    constexpr Duration kWindow = 10s;
    constexpr int kSlack = 56;
    const int count = *rc::gen::inRange(1, 40);
    std::vector<RetryBudget> budgets(static_cast<size_t>(count));
    for (RetryBudget& budget : budgets) {
      budget.SetLimits(RetryBudget::SharedLimits(kShare, kWindow));
    }
    RandomEngine random(*rc::gen::arbitrary<uint64_t>());
    const int gap_us = *rc::gen::inRange(1000, 20000);
    const int quiet_every = *rc::gen::inRange(1, 5);
    std::deque<MonoTime> calls;
    std::deque<MonoTime> retries;
    size_t most_calls = 0;
    for (MonoTime now = MonoTime() + 1s; now < MonoTime() + 41s; now += Duration(gap_us)) {
      RetryBudget& budget = budgets[random() % budgets.size()];
      budget.EarnTokens(now, 1.0);
      calls.push_back(now);
      // Failures occur in phases, so that the retry budgets accumulate in between.
      const auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
      if (second.count() % (2 * quiet_every) >= quiet_every && budget.TryTakeToken(now)) {
        retries.push_back(now);
      }
      while (calls.front() <= now - kWindow) {
        calls.pop_front();
      }
      while (!retries.empty() && retries.front() <= now - kWindow) {
        retries.pop_front();
      }
      most_calls = std::max(most_calls, calls.size());
      RC_ASSERT(static_cast<double>(retries.size()) <=
                kShare * static_cast<double>(most_calls) + kSlack);
    }
  }));
}

}  // namespace
}  // namespace jd
