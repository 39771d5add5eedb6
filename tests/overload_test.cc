#include <catch2/catch.hpp>

#include "policy/call_queue.h"
#include "policy/fresh_load.h"
#include "policy/room_shortage.h"
#include "tests/overload_reference.h"
#include "tests/overload_simulation.h"

namespace jd {
namespace {

constexpr Duration kWarmUp = 3s;
constexpr Duration kBurst = 6s;

// Multiple of the scenario's normal demand that asks this share of what its endpoints can do: each
// has 4 calls in progress below the load that makes it nearly full, and is slow for 0.3 of the
// time.
double DemandFor(double share_of_room) {
  const OverloadScenario scenario;
  const SimulatedKind& kind = scenario.kinds.front();
  const double seconds = std::chrono::duration<double>(kind.service_time).count();
  const double speed = 1 - scenario.slow_share * (1 - 1 / scenario.slow_factor);
  return share_of_room * scenario.endpoints * 4 * speed / seconds / kind.per_second;
}

// Returns the callers answered in time during a burst as a share of those that one queue with full
// knowledge answers in time.
double ShareOfReference(const OverloadScenario& scenario, double demand) {
  OverloadReference reference(scenario, 1);
  reference.Run(kWarmUp, 1);
  reference.Run(1s, demand);
  const int best = reference.Run(kBurst, demand);
  OverloadSimulation<FreshLoad> simulation(scenario, 1);
  simulation.Run(kWarmUp, 1);
  simulation.Run(1s, demand);
  return static_cast<double>(simulation.Run(kBurst, demand).in_target) / best;
}

TEST_CASE("overload: 105 gateways serve nearly what one queue with full knowledge serves",
          "[overload_test]") {
  // Guards against slots that stay idle while calls are refused, and against endpoints that are
  // filled until they slow down, at 110%, 150% and 300% of what the endpoints can do.
  const double share_of_room = GENERATE(1.1, 1.5, 3.0);
  CAPTURE(share_of_room);
  CHECK(ShareOfReference(OverloadScenario(), DemandFor(share_of_room)) > 0.8);
}

TEST_CASE("overload: the number of gateways hardly matters", "[overload_test]") {
  // Guards against gateways that compete for the same slots without knowing of each other.
  const double demand = DemandFor(1.1);
  OverloadScenario scenario;
  scenario.gateways = 10;
  const double few = ShareOfReference(scenario, demand);
  scenario.gateways = GENERATE(105, 300);
  CAPTURE(scenario.gateways, few);
  CHECK(ShareOfReference(scenario, demand) > few - 0.05);
}

TEST_CASE("overload: a burst is served as well at its end as at its begin", "[overload_test]") {
  // Guards against goodput that falls under a constant overload, and against a slow recovery.
  OverloadSimulation<FreshLoad> simulation(OverloadScenario(), 2);
  simulation.Run(kWarmUp, 1);
  const int begin = simulation.Run(2s, 3).in_target;
  const int middle = simulation.Run(2s, 3).in_target;
  const OverloadCounts end = simulation.Run(2s, 3);
  CHECK(middle > 0.93 * begin);
  CHECK(end.in_target > 0.93 * begin);
  CHECK(end.late < 0.15 * end.in_target);
  CHECK(simulation.Run(2s, 1).share_in_target() > 0.9);
}

TEST_CASE("overload: urgent calls are served more often, and others are not shut out",
          "[overload_test]") {
  // Guards against slots taken by calls that matter less, at 150% and at 600% of the room, and
  // against a rank that gets less than a quarter of the mean service.
  const double share_of_room = GENERATE(1.5, 6.0);
  CAPTURE(share_of_room);
  OverloadScenario scenario;
  scenario.kinds = {{"urgent", 226, 140ms, 400ms, 1200ms, Priority::kHigh},
                    {"other", 226, 140ms, 400ms, 1200ms, Priority::kLow}};
  OverloadSimulation<FreshLoad> simulation(scenario, 3);
  simulation.Run(kWarmUp, 1);
  const OverloadCounts counts = simulation.Run(kBurst, DemandFor(share_of_room));
  const auto share = [&](size_t kind) {
    return static_cast<double>(counts.in_target_by_kind[kind]) / counts.callers_by_kind[kind];
  };
  CHECK(share(0) > 1.3 * share(1));
  CHECK(share(1) > 0.25 * counts.share_in_target());
}

TEST_CASE("overload: probes do not grow with the demand", "[overload_test]") {
  // Guards against probes beyond the limit of the endpoints, at 300% of the room.
  const OverloadScenario scenario;
  OverloadSimulation<FreshLoad> simulation(scenario, 4);
  simulation.Run(kWarmUp, 1);
  simulation.Run(2s, DemandFor(3));
  const double limit_per_s = scenario.probe_rate * scenario.endpoints;
  CHECK(simulation.Run(kBurst, DemandFor(3)).probes <
        1.5 * limit_per_s * std::chrono::duration<double>(kBurst).count());
}

TEST_CASE("a shortage of room counts for less urgent calls until it is over", "[overload_test]") {
  // Guards against calls that give way for ever, or to calls that are no more urgent.
  const CallRank urgent{Priority::kNormal, Priority::kHigh};
  const CallRank usual{Priority::kNormal, Priority::kNormal};
  const MonoTime now = MonoTime() + 10s;
  RoomShortage shortage;
  CHECK_FALSE(shortage.HasAny(now));
  shortage.Record(now, urgent);
  CHECK(shortage.HasMoreUrgent(now, usual));
  CHECK_FALSE(shortage.HasMoreUrgent(now, urgent));
  // The rank of the workspace goes before that of the route.
  CHECK_FALSE(shortage.HasMoreUrgent(now, {Priority::kHigh, Priority::kLow}));
  CHECK(shortage.HasAny(now));
  CHECK_FALSE(shortage.HasMoreUrgent(now + RoomShortage::kMemory + 1ms, usual));
}

TEST_CASE("waiting calls are ordered by workspace priority, then callers that came back",
          "[overload_test]") {
  // Guards against callers that are refused a second time for the sake of new ones.
  CallQueue queue;
  QueuedCall call;
  call.id = CallId(1);
  call.sequence = 1;
  queue.Push(call);
  call.id = CallId(2);
  call.sequence = 2;
  call.came_back = true;
  queue.Push(call);
  CHECK(queue.Next({}) == CallId(2));
  call.id = CallId(3);
  call.sequence = 3;
  call.came_back = false;
  call.workspace_priority = Priority::kHigh;
  call.priority = Priority::kLow;
  queue.Push(call);
  CHECK(queue.Next({}) == CallId(3));
  CHECK(queue.Remove(call));
  CHECK(queue.Next({CallId(2)}) == CallId(1));
}

}  // namespace
}  // namespace jd
