#include <catch2/catch.hpp>

#include "policy/fresh_load.h"
#include "tests/load_simulation.h"

namespace jd {
namespace {

// A limit holds in every window of this length, from kLimitInForce after it was named.
constexpr Duration kWindow = 4s;
constexpr Duration kLimitInForce = 3s;

// Returns the highest number of calls that an endpoint with this limit may get in a window.
double AllowedArrivals(CallRate limit) {
  return 1.5 * limit.per_second * 4 + 5;
}

LoadScenario ScenarioWith(int gateways) {
  LoadScenario scenario;
  scenario.gateways = gateways;
  scenario.zones = 4;
  scenario.endpoints = 20;
  scenario.slots = 6;
  scenario.service_time = 67ms;
  scenario.target_latency = 200ms;
  scenario.deadline = 800ms;
  return scenario;
}

TEST_CASE("endpoints get no more calls than they accept, whatever the number of gateways",
          "[endpoint_limit_test]") {
  // Guards against a limit for all gateways together that each gateway applies to its own calls
  // alone, or not at all: an endpoint in need then gets many times what it accepts.
  for (const int gateways : {3, 13, 152, 300}) {
    for (const double limit : {0.5, 4.0, 10.0}) {
      LoadSimulation<FreshLoad> simulation(ScenarioWith(gateways), 1);
      simulation.Run(2s, 300);
      simulation.SetLimit(0.7, CallRate{limit});
      simulation.Run(12s, 300);
      INFO(gateways << " gateways, limit " << limit);
      CHECK(simulation.HighestArrivals(kLimitInForce, kWindow) <= AllowedArrivals({limit}));
    }
  }
}

TEST_CASE("calls beyond the limits of all endpoints are refused and the limits are used",
          "[endpoint_limit_test]") {
  // Guards against limits that stay unused because each gateway gets a part of its own: one queue
  // with full knowledge would send 20 endpoints with a limit of 5 a second 100 calls a second.
  for (const int gateways : {3, 13, 152, 300}) {
    for (const double skew : {0.2, 0.8}) {
      LoadScenario scenario = ScenarioWith(gateways);
      scenario.skew = skew;
      LoadSimulation<FreshLoad> simulation(scenario, 2);
      simulation.Run(2s, 200);
      simulation.SetLimit(1.0, CallRate{5});
      simulation.Run(20s, 200);
      INFO(gateways << " gateways, share of the busy ones " << skew);
      CHECK(simulation.HighestArrivals(kLimitInForce, kWindow) <= AllowedArrivals({5}));
      CHECK(simulation.limited_arrivals() >= 0.9 * 20 * 100);
    }
  }
}

TEST_CASE("a limit that is withdrawn no longer holds calls back", "[endpoint_limit_test]") {
  // Guards against a limit that stays in force after the endpoint has recovered or was replaced at
  // the same address: its capacity would be lost.
  LoadSimulation<FreshLoad> simulation(ScenarioWith(13), 3);
  simulation.SetLimit(1.0, CallRate{0});
  simulation.Run(4s, 300);
  CHECK(simulation.limited_arrivals() == 0);
  simulation.SetLimit(1.0, std::nullopt);
  simulation.Run(2s, 300);
  simulation.ResetCounters();
  simulation.Run(5s, 300);
  CHECK(simulation.on_time_share() > 0.9);
}

}  // namespace
}  // namespace jd
