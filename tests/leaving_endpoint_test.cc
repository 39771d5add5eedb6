#include <catch2/catch.hpp>

#include "policy/slot_holder.h"

namespace jd {
namespace {

// Guards against sending new calls on slots that the holder still has when an endpoint leaves; the
// owner revokes them only with its next grant (P7).
TEST_CASE("a holder immediately stops using an endpoint that is leaving",
          "[leaving_endpoint_test]") {
  const MonoTime now(100s);
  const EndpointId endpoint("e");
  const GatewayId owner("o");
  const ServiceView view{ServiceId("s"), {{endpoint, ZoneId("z"), 4, true}}};
  SlotHolder holder(GatewayId("g"), ZoneId("z"), Incarnation(1));
  holder.SetRoster(now, {GatewayId("g"), owner});
  holder.SetService(now, view);
  SlotGrant grant;
  grant.pool = SplitIntoPools(view).at(0).id;
  grant.owner = Incarnation(2);
  grant.holder = Incarnation(1);
  grant.sequence = 1;
  grant.request_sent = now;
  grant.lifetime = 1s;
  grant.slots = {{endpoint, 4, kNoSlotLimit, 4}};
  holder.SetOwner(now, grant.pool, owner, grant.owner);
  REQUIRE(holder.OnGrant(now, owner, grant));
  REQUIRE(holder.usable_slots(now, endpoint) == 4);
  holder.OnEndpointLeaving(now, endpoint);
  CHECK(holder.usable_slots(now, endpoint) == 0);
  RandomEngine random(1);
  const AcquireRequest request{view.id, ZoneId("z"), now + 1s, {}};
  CHECK_FALSE(holder.Acquire(now, request, random).has_value());
}

}  // namespace
}  // namespace jd
