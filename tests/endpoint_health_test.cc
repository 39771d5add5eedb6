#include "cluster/endpoint_health.h"

#include <catch2/catch.hpp>
#include <random>

#include "common/random.h"

namespace jd {
namespace {

const MonoTime kStart(1000s);

EndpointEvidence Answers(int32_t count, Duration latency, const char* instance = "a") {
  EndpointEvidence evidence;
  evidence.instance = InstanceId(instance);
  evidence.reported = true;
  evidence.successes = count;
  evidence.latency_sum = count * latency;
  return evidence;
}

EndpointEvidence Failures(int32_t count) {
  EndpointEvidence evidence;
  evidence.failures = count;
  return evidence;
}

// Guards against a cold upstream getting more work than it can handle (P2).
TEST_CASE("a cold endpoint gets more slots after successes", "[endpoint_health_test]") {
  EndpointHealth health(4, true);
  CHECK(health.bound(kStart) == 1);
  health.OnEvidence(kStart, Answers(1, 10ms), 10ms);
  CHECK(health.bound(kStart) == 1);
  health.OnEvidence(kStart, Answers(1, 10ms), 10ms);
  CHECK(health.bound(kStart) == 2);
  health.OnEvidence(kStart, Answers(4, 31ms), 10ms);
  CHECK(health.bound(kStart) < 4);
  health.OnEvidence(kStart + 1s, Answers(100, 10ms), 10ms);
  CHECK(health.bound(kStart + 1s) == 4);
  health.OnEvidence(kStart + 1s, Answers(8, 10ms), 10ms);
  SECTION("a new instance is cold") {
    health.OnEvidence(kStart + 2s, Answers(1, 10ms, "b"), 10ms);
    CHECK(health.bound(kStart + 2s) == 1);
  }
  SECTION("an endpoint that reports itself as cold is cold whatever its latency") {
    EndpointEvidence cold = Answers(100, 10ms);
    cold.state = EndpointState::kCold;
    health.OnEvidence(kStart + 2s, cold, 10ms);
    CHECK(health.bound(kStart + 2s) == 1);
  }
  SECTION("an endpoint whose latency rises sharply is cold without any report") {
    health.OnEvidence(kStart + 2s, Answers(32, 31ms), 10ms);
    CHECK(health.bound(kStart + 2s) == 1);
  }
  SECTION("an endpoint stays warm if the whole pool slows down") {
    health.OnEvidence(kStart + 2s, Answers(32, 31ms), 31ms);
    CHECK(health.bound(kStart + 2s) == 4);
  }
}

// Guards against sending more calls to an endpoint that seems idle because its calls fail quickly.
TEST_CASE("an endpoint that keeps failing is ejected for longer each time",
          "[endpoint_health_test]") {
  EndpointHealth health(4, false);
  health.OnEvidence(kStart, Failures(2), 10ms);
  CHECK_FALSE(health.EjectIfDue(kStart));
  health.OnEvidence(kStart, Failures(1), 10ms);
  REQUIRE(health.EjectIfDue(kStart));
  CHECK(health.bound(kStart + 999ms) == 0);
  CHECK(health.bound(kStart + 1s) == 1);
  health.OnEvidence(kStart + 1s, Failures(3), 10ms);
  REQUIRE(health.EjectIfDue(kStart + 1s));
  CHECK(health.bound(kStart + 2999ms) == 0);
  CHECK(health.bound(kStart + 3s) == 1);
}

// Guards against continuing to overload an endpoint that has less capacity than configured.
TEST_CASE("refusals halve the limit and successes restore it", "[endpoint_health_test]") {
  EndpointHealth health(4, false);
  EndpointEvidence refused = Answers(1, 10ms);
  refused.refusals = 1;
  health.OnEvidence(kStart, refused, 10ms);
  health.OnEvidence(kStart, refused, 10ms);
  CHECK(health.bound(kStart) == 2);
  health.OnEvidence(kStart, Answers(20, 10ms), 10ms);
  CHECK(health.bound(kStart) == 3);
}

// Guards against trusting a health page that shows fewer calls than are known to be in flight.
TEST_CASE("a report with fewer calls than are known to be in flight is not trusted",
          "[endpoint_health_test]") {
  EndpointHealth health(4, false);
  health.OnLoadReport(kStart, LoadReport{2, 4, EndpointState::kWarm, InstanceId("a")}, 2);
  CHECK_FALSE(health.reports_distrusted(kStart));
  health.OnLoadReport(kStart, LoadReport{1, 4, EndpointState::kWarm, InstanceId("a")}, 2);
  CHECK(health.reports_distrusted(kStart + 9999ms));
  CHECK_FALSE(health.reports_distrusted(kStart + 10s));
}

// Guards against a health page that lags behind the calls and lifts a restriction, and against
// ignoring a restriction that such a page reports.
TEST_CASE("an untrusted report lifts no restriction", "[endpoint_health_test]") {
  EndpointHealth health(4, false);
  const LoadReport warm{1, 4, EndpointState::kWarm, InstanceId("a")};
  SECTION("the endpoint stays cold") {
    health.OnLoadReport(kStart, LoadReport{2, 4, EndpointState::kCold, InstanceId("a")}, 2);
    health.OnLoadReport(kStart, warm, 2);
    EndpointEvidence answers = Answers(2, 10ms);
    answers.reported = false;
    health.OnEvidence(kStart, answers, 10ms);
    CHECK(health.bound(kStart) == 1);
    health.OnLoadReport(kStart + 10s, warm, 1);
    health.OnEvidence(kStart + 10s, answers, 10ms);
    CHECK(health.bound(kStart + 10s) == 2);
  }
  SECTION("the endpoint stays draining") {
    health.OnLoadReport(kStart, LoadReport{2, 4, EndpointState::kDraining, InstanceId("b")}, 2);
    health.OnLoadReport(kStart, warm, 2);
    CHECK(health.bound(kStart) == 0);
    health.OnLoadReport(kStart + 10s, LoadReport{1, 4, EndpointState::kWarm, InstanceId("c")}, 1);
    CHECK(health.bound(kStart + 10s) == 1);
  }
  SECTION("the report can make the endpoint cold and draining") {
    health.OnLoadReport(kStart, LoadReport{0, 4, EndpointState::kCold, InstanceId("a")}, 2);
    CHECK(health.bound(kStart) == 1);
    health.OnLoadReport(kStart, LoadReport{0, 4, EndpointState::kDraining, InstanceId("a")}, 2);
    CHECK(health.bound(kStart) == 0);
  }
}

// Guards against treating a healthy endpoint as cold or overloaded because its service times vary:
// with an exponential distribution 1 response in 20 takes more than 3 times the mean.
TEST_CASE("varying service times do not restrict a healthy endpoint", "[endpoint_health_test]") {
  RandomEngine random(20261204);
  std::exponential_distribution<double> service(1.0 / 20'000);
  EndpointHealth health(4, false);
  int restricted = 0;
  for (int i = 0; i < 20'000; ++i) {
    const MonoTime now = kStart + i * 7ms;
    health.OnEvidence(now, Answers(1, Duration(static_cast<int64_t>(service(random)) + 1)), 14ms);
    restricted += health.bound(now) < 4 ? 1 : 0;
  }
  CHECK(restricted == 0);
}

}  // namespace
}  // namespace jd
