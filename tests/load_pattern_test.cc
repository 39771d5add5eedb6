#include <catch2/catch.hpp>

#include "policy/fresh_load.h"
#include "policy/least_request.h"
#include "tests/load_world.h"

namespace jd {
namespace {

// A deployment with calls so short that a slow phase of an endpoint delays them beyond their target
// latency.
LoadShape ShortCalls() {
  LoadShape shape;
  shape.gateways = 13;
  shape.zones = 4;
  shape.endpoints = 21;
  shape.slots = 6;
  shape.queue = 24;
  shape.work = 67ms;
  shape.target = 200ms;
  shape.patience = 800ms;
  shape.slow_share = 0.35;
  shape.full_factor = 1.0;
  return shape;
}

// The retry limit of the deployments: retries are at most a fifth of the calls in ten seconds.
const RetryBudget::Limits kRetries = RetryBudget::SharedLimits(0.2, 10s);

TEST_CASE("pattern: endpoints have short slow phases under ordinary load", "[load_pattern_test]") {
  // Guards against choosing endpoints by load reports that are older than the slow phases. The
  // design requires at most half of the late answers of the least_request policy (section 1.5).
  const LoadShape shape = ShortCalls();
  LoadWorld<FreshLoad> fresh(shape, 1);
  fresh.Run(20s, 300);
  LoadWorld<LeastRequest> blind(shape, 1);
  blind.Run(20s, 300);
  CHECK(1 - fresh.in_target() < (1 - blind.in_target()) / 2);
}

TEST_CASE("pattern: a burst while a zone is down", "[load_pattern_test]") {
  // Guards against queues at the endpoints that make every answer late. The calls that fit the
  // capacity must be served in time, and the others refused. 20 endpoints with 3 useful slots, slow
  // for a quarter of the time, serve 20 * 3 * 0.8 / 0.22 = 218 calls per second.
  LoadShape shape;
  LoadWorld<FreshLoad> world(shape, 2);
  world.LimitRetries(kRetries);
  world.Run(10s, 110);
  world.LoseZone(1);
  world.Restart();
  world.Run(6s, 330);
  CHECK(world.in_target() > 0.75 * 218 / 330);
}

TEST_CASE("pattern: endpoints with free slots refuse half of their calls", "[load_pattern_test]") {
  // Guards against retry-after times that end long after the target latency has passed. If 0.55 of
  // the attempts are refused, each caller retries once and gateways retry a fifth of the calls,
  // then a share of 1 - 0.55^2.2 = 0.73 of the callers can be served.
  LoadShape shape;
  LoadWorld<FreshLoad> world(shape, 3);
  world.LimitRetries(kRetries);
  world.Run(10s, 110);
  world.Restart();
  world.ShedShare(0.55);
  world.Run(9s, 110);
  CHECK(world.in_target() > 0.9 * 0.73);
  // The limit allows 62 retries in addition to its share of the calls.
  CHECK(world.repeats() <= 0.2 * world.callers() * 2 + 62);
}

TEST_CASE("pattern: endpoints without a slowdown when full are used fully", "[load_pattern_test]") {
  // Guards against leaving slots idle although using the last slot doesn't slow the endpoint down.
  LoadShape shape = ShortCalls();
  shape.endpoints = 20;
  shape.slow_share = 0;
  LoadWorld<FreshLoad> world(shape, 4);
  world.LimitRetries(kRetries);
  world.Run(5s, 600);
  world.Restart();
  // The endpoints can serve 20 * 6 / 0.067 = 1,791 calls per second.
  world.Run(5s, 1500);
  CHECK(world.in_target() > 0.9);
}

}  // namespace
}  // namespace jd
