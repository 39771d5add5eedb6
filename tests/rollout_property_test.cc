#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "tests/rollout_network.h"

namespace jd {
namespace {

constexpr double kCallsPerSecond = 600;
constexpr VersionBehaviour kFailing = {0.3, 0.03};

TEST_CASE("whatever dies, a shown bad version is never completed", "[rollout_property_test]") {
  // Deaths, restarts, cuts, outages of the store and lost replies in random order.
  CHECK(rc::check([] {
    const int gateways = *rc::gen::element(6, 17);
    RolloutNetwork network(gateways, kCallsPerSecond, 40s, *rc::gen::arbitrary<uint64_t>());
    network.lost_replies = *rc::gen::element(0.0, 0.5);
    const bool bad = *rc::gen::arbitrary<bool>();
    const int bad_from = *rc::gen::inRange(0, 40);
    for (int second = 0; second < 45; ++second) {
      if (bad && second == bad_from) {
        network.new_version = kFailing;
      }
      RolloutNetwork::Gateway& gateway =
          network.gateways[*rc::gen::inRange<size_t>(0, network.gateways.size())];
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          network.Kill(&gateway);
          break;
        case 1:
          if (!gateway.alive) {
            network.Restart(&gateway);
          }
          break;
        case 2:
          network.SetCut(&gateway, !gateway.cut);
          break;
        case 3:
          network.store_down = !network.store_down;
          break;
        default:
          break;
      }
      const bool was_completed = network.status.state == RolloutState::kCompleted;
      const bool was_shown = network.shown_bad && network.now - *network.shown_bad > 5s;
      network.Run(1s);
      const bool completed = network.status.state == RolloutState::kCompleted;
      RC_ASSERT(was_completed || !was_shown || !completed);
      RC_ASSERT(completed || network.calls_after_rollback == 0);
    }
    // Nothing follows a final state, and no state is written twice in a row by two writers.
    for (size_t i = 0; i + 1 < network.written.size(); ++i) {
      RC_ASSERT(network.written[i] == RolloutState::kRunning);
      RC_ASSERT(network.written[i + 1] != RolloutState::kRunning);
    }
    const bool completed = network.status.state == RolloutState::kCompleted;
    RC_ASSERT(!bad || completed || bad_from > 20 || network.ExposureIsKept());
  }));
}

}  // namespace
}  // namespace jd
