#include "policy/slot_holder.h"

#include <catch2/catch.hpp>

namespace jd {
namespace {

const MonoTime kStart(1000s);
const ServiceId kService("records");
const EndpointId kEndpoint("records/0");
const GatewayId kOwner("g1");
const Incarnation kOwnerIncarnation(7);

ServiceView View(int32_t slots) {
  return {kService, {{kEndpoint, ZoneId("z0"), slots, true}}};
}

/// A slot holder that has two slots of the only endpoint on loan.
struct Fixture {
  explicit Fixture(const char* self = "g0")
      : holder(GatewayId(self), ZoneId("z0"), Incarnation(1)) {
    holder.SetService(kStart, View(2));
    holder.SetOwner(kStart, PoolIdOf(kService, 0), kOwner, kOwnerIncarnation);
    Grant(kStart, 2);
  }

  void Grant(MonoTime now, int32_t added) {
    SlotGrant grant;
    grant.pool = PoolIdOf(kService, 0);
    grant.owner = kOwnerIncarnation;
    grant.holder = Incarnation(1);
    grant.sequence = ++sequence;
    grant.request_sent = now;
    grant.lifetime = kLoanLifetime;
    grant.slots.push_back({kEndpoint, added, kNoSlotLimit, 9});
    holder.OnGrant(now, kOwner, grant);
  }

  std::optional<EndpointId> Acquire(MonoTime now) {
    return holder.Acquire(now, {kService, ZoneId("z0"), now + 2s, {}}, random);
  }

  SlotHolder holder;
  RandomEngine random{1};
  uint64_t sequence = 0;
};

AttemptResult Answer() {
  AttemptResult result;
  result.outcome = AttemptOutcome::kAnswered;
  result.latency = 10ms;
  return result;
}

// Guards against a crash when calls end after configuration changes removed their endpoint and
// added it again, and against no longer counting the slots that these calls still use.
TEST_CASE("calls continue after their endpoint is removed", "[slot_holder_test]") {
  Fixture fixture;
  REQUIRE(fixture.Acquire(kStart));
  REQUIRE(fixture.Acquire(kStart));
  SECTION("removed and added again") {
    fixture.holder.SetService(kStart, {kService, {}});
  }
  SECTION("the whole service removed and added again") {
    fixture.holder.RemoveService(kStart, kService);
  }
  SECTION("removed, one call ends, added again") {
    fixture.holder.SetService(kStart, {kService, {}});
    fixture.holder.Release(kStart, kEndpoint, Answer());
    fixture.holder.SetService(kStart, View(2));
    CHECK(fixture.holder.in_flight(kEndpoint) == 1);
    fixture.holder.Release(kStart, kEndpoint, Answer());
    CHECK(fixture.holder.in_flight(kEndpoint) == 0);
    return;
  }
  fixture.holder.SetService(kStart, View(2));
  fixture.holder.SetOwner(kStart, PoolIdOf(kService, 0), kOwner, kOwnerIncarnation);
  CHECK(fixture.holder.in_flight(kEndpoint) == 2);
  CHECK_FALSE(fixture.Acquire(kStart));
  const auto requests = fixture.holder.TakeRequests(kStart);
  REQUIRE(requests.size() == 1);
  REQUIRE(requests[0].request.held.size() == 1);
  CHECK(requests[0].request.held[0].held == 2);
  CHECK(requests[0].request.held[0].in_flight == 2);
  CHECK(requests[0].request.held[0].longest_left == 2s);
  fixture.holder.Release(kStart, kEndpoint, Answer());
  fixture.holder.Release(kStart, kEndpoint, Answer());
  CHECK(fixture.holder.in_flight(kEndpoint) == 0);
}

// Guards against several gateways each using a slot of a cold endpoint while no owner is reachable
// (P2).
TEST_CASE("a cold endpoint has only one slot in all reserves together", "[slot_holder_test]") {
  int32_t warm = 0;
  int32_t cold = 0;
  for (const char* self : {"g0", "g1", "g2"}) {
    Fixture fixture(self);
    fixture.holder.SetRoster(kStart, {GatewayId("g0"), GatewayId("g1"), GatewayId("g2")});
    fixture.holder.SetService(kStart, View(9));
    fixture.Grant(kStart, 0);
    const MonoTime silent = kStart + kOwnerSilenceTimeout;
    warm += fixture.holder.usable_slots(silent, kEndpoint);
    fixture.holder.OnLoadReport(silent, kEndpoint, {0, 9, EndpointState::kCold, InstanceId("b")});
    cold += fixture.holder.usable_slots(silent, kEndpoint);
  }
  CHECK(warm == 9);
  CHECK(cold == 1);
}

// Guards against new calls to an endpoint that is leaving but still reports that it is warm (P7).
TEST_CASE("a leaving endpoint gets no new calls until it is reported as serving again",
          "[slot_holder_test]") {
  Fixture fixture;
  const LoadReport warm{0, 2, EndpointState::kWarm, InstanceId("a")};
  fixture.holder.OnLoadReport(kStart, kEndpoint, warm);
  fixture.holder.OnEndpointLeaving(kStart, kEndpoint);
  CHECK(fixture.holder.usable_slots(kStart, kEndpoint) == 0);
  fixture.holder.OnLoadReport(kStart, kEndpoint, warm);
  CHECK(fixture.holder.usable_slots(kStart, kEndpoint) == 0);
  fixture.holder.OnLoadReport(kStart, kEndpoint, {0, 2, EndpointState::kWarm, InstanceId("b")});
  CHECK(fixture.holder.usable_slots(kStart, kEndpoint) == 0);
  fixture.holder.OnEndpointServing(kStart, kEndpoint);
  CHECK(fixture.holder.usable_slots(kStart, kEndpoint) == 1);
}

TEST_CASE("the calls of an endpoint that moves to another service keep their slots",
          "[slot_holder_test]") {
  // Guards against slots that are never free again, in both orders in which the two services may be
  // reported.
  const ServiceId other(GENERATE("a-before", "z-after"));
  Fixture fixture;
  REQUIRE(fixture.Acquire(kStart));
  const ServiceView empty{kService, {}};
  const ServiceView moved{other, View(2).endpoints};
  const bool new_service_first = other < kService;
  fixture.holder.SetService(kStart, new_service_first ? moved : empty);
  fixture.holder.SetService(kStart, new_service_first ? empty : moved);
  CHECK(fixture.holder.in_flight(kEndpoint) == 1);
  fixture.holder.Release(kStart, kEndpoint, Answer());
  CHECK(fixture.holder.in_flight(kEndpoint) == 0);
}

}  // namespace
}  // namespace jd
