#include "cluster/ownership.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace jd {
namespace {

std::vector<PoolId> Pools(int count) {
  std::vector<PoolId> pools;
  for (int i = 0; i < count; ++i) {
    pools.emplace_back("service-" + std::to_string(i / 3) + "#" + std::to_string(i % 3));
  }
  return pools;
}

// Guards against a hash that moves pools between gateways that neither joined nor left, or that
// distributes the pools unevenly.
TEST_CASE("a gateway that joins or leaves moves about 1/n of the pools, all to or from itself",
          "[ownership_test]") {
  const bool passed = rc::check([] {
    const int count = *rc::gen::inRange(2, 18);
    const int name = *rc::gen::inRange(0, 1000000);
    std::vector<GatewayId> gateways;
    for (int i = 0; i < count; ++i) {
      gateways.emplace_back("gateway-" + std::to_string(name + i));
    }
    const GatewayId joined = gateways.back();
    std::vector<GatewayId> before(gateways.begin(), gateways.end() - 1);
    const std::vector<PoolId> pools = Pools(1000);
    Ownership self(joined);
    RC_ASSERT(self.Update(before, pools).gained.empty());
    const Ownership::Change gained = self.Update(gateways, pools);
    for (const PoolId& pool : pools) {
      const GatewayId after = OwnerOf(pool, gateways);
      RC_ASSERT(after == joined || after == OwnerOf(pool, before));
    }
    const double expected = 1000.0 / count;
    const double moved = static_cast<double>(gained.gained.size());
    RC_ASSERT(moved > expected * 0.5 - 10);
    RC_ASSERT(moved < expected * 1.5 + 10);
    const Ownership::Change lost = self.Update(before, pools);
    RC_ASSERT(lost.lost == gained.gained);
  });
  CHECK(passed);
}

// Guards against gateways that choose different owners because they learned of their peers in
// different orders.
TEST_CASE("the owner does not depend on the order of the gateways", "[ownership_test]") {
  const std::vector<GatewayId> forward = {GatewayId("a"), GatewayId("b"), GatewayId("c")};
  const std::vector<GatewayId> backward(forward.rbegin(), forward.rend());
  for (const PoolId& pool : Pools(100)) {
    CHECK(OwnerOf(pool, forward) == OwnerOf(pool, backward));
  }
  CHECK(OwnerOf(PoolId("p"), {}).empty());
}

}  // namespace
}  // namespace jd
