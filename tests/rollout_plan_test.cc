#include "cluster/rollout_plan.h"

#include <catch2/catch.hpp>
#include <string>

#include "cluster/version_evidence.h"

namespace jd {
namespace {

// Counts of one route, with the calls of the ordered version spread evenly over its endpoints.
RolloutCounts MakeCounts(CallCounts old_side, CallCounts new_side, int endpoints = 10) {
  RolloutCounts counts;
  counts.routes[ProfileId("r")] = {old_side, new_side};
  for (int i = 0; i < endpoints; ++i) {
    const auto part = [&](int64_t all) { return all / endpoints + (i < all % endpoints ? 1 : 0); };
    counts.endpoints[EndpointId("e" + std::to_string(i))] = {
        part(new_side.calls), part(new_side.failures), part(new_side.slow)};
  }
  counts.endpoints_used = endpoints;
  return counts;
}

TEST_CASE("far fewer than 50 failures show a bad version", "[rollout_plan_test]") {
  CHECK(ShowsBadVersion(MakeCounts({400, 0, 8}, {20, 6, 0})));
  CHECK(ShowsBadVersion(MakeCounts({4000, 4, 80}, {200, 20, 0})));
  CHECK_FALSE(ShowsBadVersion(MakeCounts({4000, 4, 80}, {200, 2, 4})));
  CHECK_FALSE(ShowsBadVersion(RolloutCounts()));
}

TEST_CASE("answers that take several times as long show a bad version", "[rollout_plan_test]") {
  CHECK(ShowsBadVersion(MakeCounts({400, 0, 20}, {30, 0, 15})));
  CHECK_FALSE(ShowsBadVersion(MakeCounts({400, 0, 20}, {30, 0, 3})));
}

TEST_CASE("trouble that both sides have shows no bad version", "[rollout_plan_test]") {
  // Guards against a good version that is reverted because of a burst or a zone that is lost.
  CHECK_FALSE(ShowsBadVersion(MakeCounts({400, 120, 100}, {30, 9, 8})));
}

TEST_CASE("trouble of two sick endpoints shows no bad version", "[rollout_plan_test]") {
  RolloutCounts counts = MakeCounts({4000, 4, 100}, {300, 0, 6});
  counts.endpoints[EndpointId("e0")].failures = 15;
  counts.endpoints[EndpointId("e1")].failures = 9;
  counts.routes[ProfileId("r")].new_side.failures = 24;
  CHECK_FALSE(ShowsBadVersion(counts));
}

TEST_CASE("a version with one endpoint is judged by it", "[rollout_plan_test]") {
  CHECK(ShowsBadVersion(MakeCounts({400, 0, 8}, {20, 6, 0}, 1)));
}

TEST_CASE("a version that is bad on one route only is found", "[rollout_plan_test]") {
  RolloutCounts counts = MakeCounts({8000, 8, 160}, {400, 0, 8}, 30);
  counts.routes[ProfileId("other")] = {{300, 0, 6}, {16, 8, 0}};
  for (int i = 0; i < 8; ++i) {
    counts.endpoints[EndpointId("e" + std::to_string(i))].failures = 1;
  }
  CHECK(ShowsBadVersion(counts));
}

TEST_CASE("phases wait for their time, for calls and for the end of a suspicion",
          "[rollout_plan_test]") {
  RolloutProgress progress;
  progress.duration = 100s;
  progress.new_calls = 1000;
  progress.age = 49s;
  CHECK(NextPhase(progress) == RolloutPhase::kWatching);
  progress.age = 50s;
  CHECK(NextPhase(progress) == RolloutPhase::kRamping);
  progress.suspicious = true;
  CHECK(NextPhase(progress) == RolloutPhase::kWatching);
  progress.suspicious = false;
  progress.has_capacity = false;
  CHECK(NextPhase(progress) == RolloutPhase::kWatching);
  progress.has_capacity = true;
  progress.new_calls = 20;
  CHECK(NextPhase(progress) == RolloutPhase::kWatching);
  progress.age = 75s;
  CHECK(NextPhase(progress) == RolloutPhase::kRamping);
  progress.new_calls = 3;
  progress.age = 91s;
  CHECK_FALSE(IsOverdue(progress));
  progress.age = 92s;
  CHECK(IsOverdue(progress));
}

TEST_CASE("a version turns bad after many good answers", "[rollout_plan_test]") {
  // Guards against evidence that is diluted by the hour before.
  RolloutEvidence evidence;
  const ZoneId zone("z");
  const GatewayId collector("g");
  MonoTime now = MonoTime() + 100s;
  RolloutCounts counts = MakeCounts({100'000, 50, 2000}, {5000, 2, 100}, 12);
  for (int second = 0; second < 20; ++second, now += 1s) {
    evidence.OnZoneSum(now, zone, collector, counts);
    evidence.Advance(now);
  }
  AddCounts(MakeCounts({500, 0, 10}, {25, 8, 1}, 12), &counts);
  evidence.OnZoneSum(now, zone, collector, counts);
  CHECK_FALSE(ShowsBadVersion(evidence.total()));
  CHECK(ShowsBadVersion(evidence.latest()));
}

TEST_CASE("the counts of a gateway's earlier run are kept", "[rollout_plan_test]") {
  ZoneCounts zone;
  zone.OnGateway(GatewayId("a"), Incarnation(1), MakeCounts({10, 0, 0}, {5, 5, 0}));
  zone.OnGateway(GatewayId("a"), Incarnation(2), MakeCounts({1, 0, 0}, {1, 1, 0}));
  zone.OnGateway(GatewayId("a"), Incarnation(1), MakeCounts({20, 0, 0}, {9, 9, 0}));
  zone.OnGateway(GatewayId("b"), Incarnation(7), MakeCounts({2, 0, 0}, {0, 0, 0}));
  CHECK(zone.sum().total().new_side.failures == 6);
  CHECK(zone.sum().total().old_side.calls == 13);
  CHECK(zone.sum().endpoints_used == 10);
}

TEST_CASE("the sum of a collector that is silent gives way to another one's",
          "[rollout_plan_test]") {
  // Guards against evidence that no longer grows because a dead collector knew of more calls.
  RolloutEvidence evidence;
  const MonoTime now = MonoTime() + 100s;
  evidence.OnZoneSum(now, ZoneId("z"), GatewayId("a"), MakeCounts({100, 0, 0}, {9, 0, 0}));
  evidence.OnZoneSum(now + 1s, ZoneId("z"), GatewayId("b"), MakeCounts({50, 0, 0}, {5, 0, 0}));
  CHECK(evidence.total().total().old_side.calls == 100);
  evidence.OnZoneSum(now + 4s, ZoneId("z"), GatewayId("b"), MakeCounts({60, 0, 0}, {6, 0, 0}));
  CHECK(evidence.total().total().old_side.calls == 60);
}

}  // namespace
}  // namespace jd
