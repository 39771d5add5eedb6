#include "cluster/slot_owner.h"

#include <catch2/catch.hpp>

namespace jd {
namespace {

const MonoTime kStart(1000s);
const EndpointId kEndpoint("records/0");
const PoolId kPool("records#0");
const GatewayId kHolder("g1");
const Incarnation kOwnerIncarnation(7);

/// An owner of one endpoint with three slots. There are no reserves, and the loans of any former
/// owner have expired.
struct Fixture {
  Fixture() {
    PoolView view{kPool, ServiceId("records"), {{kEndpoint, ZoneId("z0"), 3, true}}};
    owner.SetPool(kStart - 10s, view, {});
    owner.TakeOwnership(kStart - 10s, kPool);
    owner.TakeGrants(kStart);
  }

  /// Processes a request of the holder and returns the number of slots added by the grants.
  int32_t Request(MonoTime now, HeldSlots held, int32_t demand) {
    SlotRequest request;
    request.pool = kPool;
    request.owner = kOwnerIncarnation;
    request.sequence = ++sequence;
    request.last_grant = acknowledged;
    request.sent = now;
    request.demand = demand;
    held.endpoint = kEndpoint;
    request.held = {held};
    request.evidence = evidence;
    owner.OnRequest(now, kHolder, Incarnation(1), request);
    int32_t added = 0;
    for (const OutgoingSlotGrant& out : owner.TakeGrants(now)) {
      last_grant = out.grant.sequence;
      for (const GrantedSlots& slots : out.grant.slots) {
        added += slots.added;
      }
    }
    return added;
  }

  SlotOwner owner{kOwnerIncarnation};
  uint64_t sequence = 0;
  uint64_t last_grant = 0;
  uint64_t acknowledged = 0;
  std::vector<EndpointEvidence> evidence;
};

EndpointEvidence WarmEvidence() {
  EndpointEvidence evidence;
  evidence.endpoint = kEndpoint;
  evidence.instance = InstanceId("a");
  evidence.reported = true;
  return evidence;
}

// Guards against lending slots of an endpoint that is leaving (P7) after a report that the endpoint
// is warm, after a change of the configuration, and after another gateway owned the pool for a
// time.
TEST_CASE("slots of a leaving endpoint are not lent until it serves again", "[slot_owner_test]") {
  Fixture fixture;
  fixture.owner.OnEndpointLeaving(kStart, kEndpoint);
  CHECK(fixture.owner.bound(kEndpoint) == 0);
  fixture.evidence = {WarmEvidence()};
  CHECK(fixture.Request(kStart, {}, 1) == 0);
  fixture.owner.OnProbeReport(kStart, kEndpoint, {0, 3, EndpointState::kWarm, InstanceId("a")});
  CHECK(fixture.owner.bound(kEndpoint) == 0);
  fixture.owner.OnProbeReport(kStart, kEndpoint, {0, 3, EndpointState::kWarm, InstanceId("b")});
  CHECK(fixture.owner.bound(kEndpoint) == 0);
  PoolView view{kPool, ServiceId("records"), {{kEndpoint, ZoneId("z0"), 4, true}}};
  fixture.owner.SetPool(kStart, view, {});
  CHECK(fixture.owner.bound(kEndpoint) == 0);
  fixture.owner.DropOwnership(kStart, kPool);
  fixture.owner.TakeOwnership(kStart, kPool);
  CHECK(fixture.owner.bound(kEndpoint) == 0);
  fixture.owner.OnEndpointServing(kStart, kEndpoint);
  CHECK(fixture.owner.bound(kEndpoint) == 4);
}

// Guards against slots that are counted as lent forever. They were added by a grant that was lost
// before the holder stopped sending requests, while a call that the holder had reported was
// running.
TEST_CASE("slots of a lost grant are free again when the loans of the holder expire",
          "[slot_owner_test]") {
  Fixture fixture;
  REQUIRE(fixture.Request(kStart, {}, 1) == 1);
  fixture.acknowledged = fixture.last_grant;
  REQUIRE(fixture.Request(kStart + 10ms, {kEndpoint, 1, 1, 5s}, 1) == 1);
  CHECK(fixture.owner.lent(kEndpoint) == 2);
  fixture.owner.TakeGrants(kStart + 10ms + kLoanLifetimeAtOwner - 1us);
  CHECK(fixture.owner.lent(kEndpoint) == 2);
  fixture.owner.TakeGrants(kStart + 10ms + kLoanLifetimeAtOwner);
  CHECK(fixture.owner.lent(kEndpoint) == 1);
  // The holder sends a request again without having received the lost grant. The slots of that
  // grant must not be counted as lent again.
  REQUIRE(fixture.Request(kStart + 2s, {kEndpoint, 1, 1, 3s}, 0) == 0);
  CHECK(fixture.owner.lent(kEndpoint) == 1);
}

}  // namespace
}  // namespace jd
