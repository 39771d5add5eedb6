#include "cluster/zone_control.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <memory>

#include "common/config_change.h"
#include "common/random.h"

namespace jd {
namespace {

const ZoneId kZone("gasabo");
const ZoneId kOther("kicukiro");

MonoTime At(int64_t millis) {
  return MonoTime(std::chrono::milliseconds(millis));
}

Configuration With(const Configuration& from, const ZoneId& zone, ZoneState state) {
  return WithChange(from, Zone{zone, state});
}

/// Reports the evidence for kZone and calls the timer, twice per second for `seconds`.
void Run(ZoneControl* control, int64_t* now, int64_t seconds, const ZoneEvidence& evidence) {
  for (int64_t i = 0; i < seconds * 2; ++i) {
    *now += 500;
    control->OnEvidence(kZone, evidence);
    ZoneOutput output;
    control->OnTimer(At(*now), &output);
  }
}

// Guards against a returning zone that gets its full load at once, or that gets more load although
// calls to it fail, are slow or do not succeed.
TEST_CASE(
    "a returning zone ramps up on successful calls and can be taken out again during the ramp",
    "[zone_control_test]") {
  ZoneControl control(kZone);
  int64_t now = 0;
  ZoneOutput output;
  const Configuration out = With(Configuration(), kZone, ZoneState::kOut);
  control.OnConfiguration(At(now), out, &output);
  CHECK(output.changed == std::vector{kZone});
  CHECK(control.own_zone_out());
  CHECK(control.use(kOther) == ZoneUse());
  const Configuration back = With(out, kZone, ZoneState::kReturning);
  control.OnConfiguration(At(now), back, &output);
  CHECK(control.use(kZone).share == ZoneControl::kFirstShare);
  Run(&control, &now, 4, {10, 0, 0});
  CHECK(control.use(kZone).share == Approx(0.6));
  for (const ZoneEvidence& bad : {ZoneEvidence{10, 0, 2}, {10, 5, 0}, {0, 0, 0}}) {
    Run(&control, &now, 6, bad);
    CHECK(control.use(kZone).share == Approx(0.6));
  }
  const Configuration both = With(back, kOther, ZoneState::kOut);
  control.OnConfiguration(At(now), both, &output);
  CHECK_FALSE(control.use(kOther).usable);
  Run(&control, &now, 2, {10, 0, 0});
  CHECK(control.use(kZone).share == Approx(0.85));
  const Configuration reversed = With(both, kZone, ZoneState::kOut);
  control.OnConfiguration(At(now), reversed, &output);
  CHECK_FALSE(control.use(kZone).usable);
  control.OnConfiguration(At(now), With(reversed, kZone, ZoneState::kReturning), &output);
  CHECK(control.use(kZone).share == ZoneControl::kFirstShare);
  Run(&control, &now, 8, {10, 0, 0});
  CHECK(control.use(kZone) == ZoneUse());
  ZoneControl started(kZone);
  started.OnConfiguration(At(now), back, &output);
  CHECK(started.use(kZone).state == ZoneState::kReturning);
}

// Guards against a decision made during a store outage that is lost, stays in effect after a newer
// one, or is never recorded.
TEST_CASE("an unrecorded decision is broadcast again, written and settled by the recorded one",
          "[zone_control_test]") {
  ZoneControl first(kOther);
  ZoneControl second(kOther);
  ZoneOutput output;
  CHECK(first.TakeOutUnrecorded(At(0), kZone, {}, "alice", &output));
  CHECK_FALSE(first.TakeOutUnrecorded(At(0), kZone, {}, "alice", &output));
  REQUIRE(output.broadcast.size() == 1);
  second.OnUnrecorded(At(5), output.broadcast[0], &output);
  CHECK(second.use(kZone).unrecorded);
  CHECK_FALSE(second.use(kZone).usable);
  UnrecordedZone in = output.broadcast[0];
  in.zone = kOther;
  in.out = false;
  second.OnUnrecorded(At(5), in, &output);
  CHECK(second.unrecorded().size() == 1);
  ZoneOutput later;
  second.OnTimer(At(2000), &later);
  CHECK(later.broadcast.size() == 1);
  CHECK(later.record.empty());
  for (ZoneControl* control : {&first, &second}) {
    control->OnStore(At(3000), true);
  }
  second.OnTimer(At(4000), &later);
  CHECK(later.record.empty());
  first.OnTimer(At(4000), &later);
  CHECK(later.record.size() == 1);
  later.record.clear();
  second.OnTimer(At(8000), &later);
  CHECK(later.record.size() == 1);
  const Configuration recorded = With(Configuration(), kZone, ZoneState::kOut);
  const Configuration back = With(recorded, kZone, ZoneState::kReturning);
  first.OnConfiguration(At(8000), recorded, &output);
  CHECK(first.use(kZone) == ZoneUse{ZoneState::kOut, false, 0.0, false});
  second.OnConfiguration(At(8000), back, &output);
  CHECK(second.use(kZone).state == ZoneState::kReturning);
  second.OnUnrecorded(At(8000), later.record[0], &output);
  CHECK(second.use(kZone).usable);
}

// Guards against a gateway that uses a zone although it has been told that the zone is out of
// service.
TEST_CASE("a zone is unusable at every gateway that has been told that it is out",
          "[zone_control_test]") {
  CHECK(rc::check([] {
    RandomEngine random(*rc::gen::arbitrary<uint64_t>());
    std::vector<Configuration> versions(1);
    std::vector<std::unique_ptr<ZoneControl>> nodes;
    std::vector<size_t> known(3, 0);
    std::vector<std::optional<ConfigVersion>> heard(3);  ///< Base of the decision received.
    for (int i = 0; i < 3; ++i) {
      nodes.push_back(std::make_unique<ZoneControl>(kOther));
    }
    std::vector<UnrecordedZone> sent;
    for (int64_t now = 0; now < 100; ++now) {
      const size_t node = random() % nodes.size();
      ZoneOutput output;
      const uint64_t dice = random() % 10;
      if (dice < 2) {
        const auto state = static_cast<ZoneState>(random() % 3);
        versions.push_back(With(versions.back(), random() % 2 == 0 ? kZone : kOther, state));
      } else if (dice < 6 && known[node] + 1 < versions.size()) {
        nodes[node]->OnConfiguration(At(now * 100), versions[++known[node]], &output);
      } else if (dice == 6) {
        nodes[node]->TakeOutUnrecorded(At(now * 100), kZone, {}, "a", &output);
      } else if (dice < 9 && !sent.empty()) {
        output.broadcast.push_back(sent[random() % sent.size()]);
        nodes[node]->OnUnrecorded(At(now * 100), output.broadcast[0], &output);
      } else {
        nodes[node]->OnEvidence(kZone, {10, 0, 0});
        nodes[node]->OnTimer(At(now * 100), &output);
      }
      for (const UnrecordedZone& decision : output.broadcast) {
        sent.push_back(decision);
        heard[node] = std::max(heard[node].value_or(ConfigVersion()), decision.base);
      }
      const Configuration& configuration = versions[known[node]];
      const auto version = configuration.object_versions.find("zone/" + kZone.value);
      const ConfigVersion changed =
          version == configuration.object_versions.end() ? ConfigVersion() : version->second;
      const bool recorded_out = configuration.zones.contains(kZone) &&
                                configuration.zones.at(kZone).state == ZoneState::kOut;
      const bool heard_out = heard[node] && *heard[node] >= changed;
      RC_ASSERT(nodes[node]->use(kZone).usable == !(recorded_out || heard_out));
    }
  }));
}

}  // namespace
}  // namespace jd
