#include "standin/upstream_model.h"

#include <catch2/catch.hpp>

namespace jd {
namespace {

EndpointSettings Settings(int32_t slots) {
  EndpointSettings settings;
  settings.id = "e";
  settings.zone = "z";
  settings.slots = slots;
  settings.service_time = {ServiceTimeKind::kConstant, 10ms};
  settings.cold_factor = 1.0;
  return settings;
}

struct Harness {
  explicit Harness(const EndpointSettings& settings) : model(settings, 1, &ledger) {}

  /// Submits a POST request and returns the answers that are due.
  std::vector<UpstreamAnswer> Submit(MonoTime now, uint64_t token) {
    return Submit(now, {token, std::to_string(token), "POST", {}, false, false, false});
  }
  std::vector<UpstreamAnswer> Submit(MonoTime now, const UpstreamJob& job) {
    UpstreamOutput out;
    model.Submit(now, job, &out);
    crashed = crashed || out.crashed;
    return out.answers;
  }
  std::vector<UpstreamAnswer> Advance(MonoTime now) {
    UpstreamOutput out;
    model.Advance(now, &out);
    return out.answers;
  }
  EndpointCounters& counters() { return ledger.endpoint_counters("e"); }

  RunLedger ledger;
  UpstreamModel model;
  bool crashed = false;
};

constexpr MonoTime kStart = MonoTime(1s);

TEST_CASE("requests beyond the slots wait in order of arrival", "[upstream_model_test]") {
  Harness endpoint(Settings(1));
  endpoint.Submit(kStart, 1);
  endpoint.Submit(kStart, 2);
  CHECK(endpoint.counters().starts == 1);
  CHECK(endpoint.Advance(kStart + 9ms).empty());
  const auto first = endpoint.Advance(kStart + 10ms);
  REQUIRE(first.size() == 1);
  CHECK(first[0].token == 1);
  const auto second = endpoint.Advance(kStart + 25ms);
  REQUIRE(second.size() == 1);
  CHECK(second[0].token == 2);
  CHECK(endpoint.ledger.Runs()["2"][0]["end_us"] == Micros(kStart + 20ms));
}

TEST_CASE("a request refused as not run leaves no run in the ledger", "[upstream_model_test]") {
  EndpointSettings settings = Settings(1);
  SECTION("shedding") {
    settings.shed = true;
  }
  SECTION("full queue") {
    settings.queue_limit = 0;
  }
  Harness endpoint(settings);
  endpoint.Submit(kStart, 1);
  const auto refused = endpoint.Submit(kStart, 2);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].status == 503);
  CHECK(refused[0].refused_not_run);
  endpoint.Advance(kStart + 1s);
  CHECK_FALSE(endpoint.ledger.Runs().contains("2"));
}

TEST_CASE("a waiting request whose deadline passed or whose caller disconnected never starts",
          "[upstream_model_test]") {
  Harness endpoint(Settings(1));
  endpoint.Submit(kStart, 1);
  endpoint.Submit(kStart, {2, "2", "POST", kStart + 10ms, false, false, false});
  endpoint.Submit(kStart, 3);
  endpoint.model.Cancel(kStart + 5ms, 3);
  endpoint.model.Cancel(kStart + 5ms, 1);
  const auto answers = endpoint.Advance(kStart + 1s);
  REQUIRE(answers.size() == 2);
  CHECK(endpoint.counters().starts == 1);
  CHECK(endpoint.counters().cancelled == 1);
  CHECK(endpoint.counters().refused == 1);
}

TEST_CASE("a cold endpoint with too many calls in flight collapses and records the overload",
          "[upstream_model_test]") {
  EndpointSettings settings = Settings(4);
  settings.cold = true;
  settings.cold_bound = 2;
  settings.collapse_time = 100ms;
  Harness endpoint(settings);
  endpoint.Submit(kStart, 1);
  endpoint.Submit(kStart, 2);
  CHECK(endpoint.counters().starts == 1);
  CHECK(endpoint.counters().overloads == 0);
  endpoint.Submit(kStart, 3);
  CHECK(endpoint.counters().overloads == 1);
  CHECK(endpoint.counters().max_in_flight_cold == 3);
  CHECK(endpoint.Advance(kStart + 99ms).empty());
  CHECK(endpoint.Advance(kStart + 110ms).size() == 1);
}

TEST_CASE("an endpoint is warm after enough completed requests and can be made cold again",
          "[upstream_model_test]") {
  EndpointSettings settings = Settings(2);
  settings.cold = true;
  settings.warm_after = 1;
  Harness endpoint(settings);
  endpoint.Submit(kStart, 1);
  endpoint.Submit(kStart, 2);
  CHECK(endpoint.model.Report(kStart).state == EndpointState::kCold);
  endpoint.Advance(kStart + 10ms);
  CHECK(endpoint.model.Report(kStart).state == EndpointState::kWarm);
  endpoint.model.SetColdUnreported();
  CHECK(endpoint.model.is_cold());
  CHECK(endpoint.model.Report(kStart).state == EndpointState::kWarm);
}

TEST_CASE("a crash that a request triggers loses the running requests and changes the instance id",
          "[upstream_model_test]") {
  Harness endpoint(Settings(2));
  const LoadReport before = endpoint.model.Report(kStart);
  endpoint.Submit(kStart, 1);
  endpoint.Submit(kStart, {2, "2", "POST", {}, false, false, true});
  CHECK(endpoint.crashed);
  endpoint.model.Restart(kStart + 1ms);
  CHECK(endpoint.Advance(kStart + 1s).empty());
  for (const char* id : {"1", "2"}) {
    CHECK(endpoint.ledger.Runs()[id][0]["completed"] == false);
  }
  CHECK(endpoint.model.Report(kStart).instance != before.instance);
}

TEST_CASE("a probe takes a slot for its cost and is not counted as a call",
          "[upstream_model_test]") {
  EndpointSettings settings = Settings(1);
  settings.probe_cost = 6ms;
  settings.connect_cost = 1ms;
  Harness endpoint(settings);
  endpoint.Submit(kStart, {1, "", "GET", {}, true, true, false});
  endpoint.Submit(kStart, 2);
  CHECK(endpoint.Advance(kStart + 7ms).size() == 1);
  CHECK(endpoint.counters().probe_us == 7000);
  CHECK(endpoint.Advance(kStart + 17ms).size() == 1);
  CHECK(endpoint.counters().starts == 1);
}

TEST_CASE("load reports are out of date or wrong if the settings say so", "[upstream_model_test]") {
  EndpointSettings settings = Settings(4);
  settings.report_lag = 5ms;
  Harness endpoint(settings);
  endpoint.Submit(kStart, 1);
  CHECK(endpoint.model.Report(kStart + 4ms).in_flight == 0);
  CHECK(endpoint.model.Report(kStart + 5ms).in_flight == 1);
  endpoint.model.settings().report_fixed = 0;
  CHECK(endpoint.model.Report(kStart + 5ms).in_flight == 0);
}

TEST_CASE("an endpoint that fails fast does not claim that the request did not run",
          "[upstream_model_test]") {
  Harness endpoint(Settings(1));
  endpoint.model.fail_fast = true;
  const auto answers = endpoint.Submit(kStart, 1);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].status == 500);
  CHECK_FALSE(answers[0].refused_not_run);
  CHECK(endpoint.ledger.Runs().contains("1"));
}

}  // namespace
}  // namespace jd
