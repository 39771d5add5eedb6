#include <catch2/catch.hpp>

#include "policy/fresh_load.h"
#include "policy/least_request.h"
#include "tests/load_simulation.h"

namespace jd {
namespace {

// A deployment with calls so short that a slow phase of an endpoint delays them beyond their target
// latency.
LoadScenario ShortCallScenario() {
  LoadScenario scenario;
  scenario.gateways = 13;
  scenario.zones = 4;
  scenario.endpoints = 21;
  scenario.slots = 6;
  scenario.max_queue = 24;
  scenario.service_time = 67ms;
  scenario.target_latency = 200ms;
  scenario.deadline = 800ms;
  scenario.slow_share = 0.35;
  scenario.full_factor = 1.0;
  return scenario;
}

// The retry limit of the deployments: retries are at most a fifth of the calls in ten seconds.
const RetryBudget::Limits kRetryLimits = RetryBudget::SharedLimits(0.2, 10s);

TEST_CASE("pattern: endpoints have short slow phases under ordinary load", "[load_pattern_test]") {
  // Guards against choosing endpoints by load reports that are older than the slow phases. The
  // design requires at most half of the late answers of the least_request policy (section 1.5).
  const LoadScenario scenario = ShortCallScenario();
  LoadSimulation<FreshLoad> fresh_load(scenario, 1);
  fresh_load.Run(20s, 300);
  LoadSimulation<LeastRequest> least_request(scenario, 1);
  least_request.Run(20s, 300);
  CHECK(1 - fresh_load.on_time_share() < (1 - least_request.on_time_share()) / 2);
}

TEST_CASE("pattern: a burst while a zone is down", "[load_pattern_test]") {
  // Guards against queues at the endpoints that make every answer late. The calls that fit the
  // capacity must be served in time, and the others refused. 20 endpoints with 3 useful slots, slow
  // for a quarter of the time, serve 20 * 3 * 0.8 / 0.22 = 218 calls per second.
  LoadScenario scenario;
  LoadSimulation<FreshLoad> simulation(scenario, 2);
  simulation.SetRetryLimits(kRetryLimits);
  simulation.Run(10s, 110);
  simulation.FailZone(1);
  simulation.ResetCounters();
  simulation.Run(6s, 330);
  CHECK(simulation.on_time_share() > 0.75 * 218 / 330);
}

TEST_CASE("pattern: endpoints with free slots refuse half of their calls", "[load_pattern_test]") {
  // Guards against retry-after times that end long after the target latency has passed. If 0.55 of
  // the attempts are refused, each caller retries once and gateways retry a fifth of the calls,
  // then a share of 1 - 0.55^2.2 = 0.73 of the callers can be served.
  LoadScenario scenario;
  LoadSimulation<FreshLoad> simulation(scenario, 3);
  simulation.SetRetryLimits(kRetryLimits);
  simulation.Run(10s, 110);
  simulation.ResetCounters();
  simulation.SetRefusedShare(0.55);
  simulation.Run(9s, 110);
  CHECK(simulation.on_time_share() > 0.9 * 0.73);
  // The limit allows 62 retries in addition to its share of the calls.
  CHECK(simulation.retries() <= 0.2 * simulation.callers() * 2 + 62);
}

TEST_CASE("pattern: endpoints without a slowdown when full are used fully", "[load_pattern_test]") {
  // Guards against leaving slots idle although using the last slot doesn't slow the endpoint down.
  LoadScenario scenario = ShortCallScenario();
  scenario.endpoints = 20;
  scenario.slow_share = 0;
  LoadSimulation<FreshLoad> simulation(scenario, 4);
  simulation.SetRetryLimits(kRetryLimits);
  simulation.Run(5s, 600);
  simulation.ResetCounters();
  // The endpoints can serve 20 * 6 / 0.067 = 1,791 calls per second.
  simulation.Run(5s, 1500);
  CHECK(simulation.on_time_share() > 0.9);
}

}  // namespace
}  // namespace jd
