#include <catch2/catch.hpp>

#include <utility>

#include "tests/overload_ratio.h"

namespace jd {
namespace {

TEST_CASE("overload: 105 gateways serve most of what one queue with full knowledge serves",
          "[overload_aim_test]") {
  // Guards against slots that stay idle while calls are refused, and against endpoints that are
  // filled until they slow down, at 110%, 150% and 300% of what the endpoints can do.
  const auto [share_of_room, least] =
      GENERATE(std::pair(1.1, 0.85), std::pair(1.5, 0.8), std::pair(3.0, 0.8));
  CAPTURE(share_of_room);
  CHECK(ShareOfReference(OverloadScenario(), DemandFor(share_of_room)) > least);
}

TEST_CASE("overload: more gateways serve as much", "[overload_aim_test]") {
  // Guards against gateways that compete for the same slots without knowing of each other.
  const double demand = DemandFor(1.1);
  OverloadScenario scenario;
  scenario.gateways = 10;
  const double few = ShareOfReference(scenario, demand);
  scenario.gateways = GENERATE(105, 300);
  CAPTURE(scenario.gateways, few);
  CHECK(ShareOfReference(scenario, demand) > few - 0.05);
}

}  // namespace
}  // namespace jd
