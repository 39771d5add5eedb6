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

Configuration WithZoneState(const Configuration& from, const ZoneId& zone, ZoneState state) {
  return WithChange(from, Zone{zone, state});
}

/// Reports the evidence for kZone and calls the timer, twice per second for `seconds`.
void RunWithEvidence(ZoneControl* control,
                     int64_t* now,
                     int64_t seconds,
                     const ZoneEvidence& evidence) {
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
  const Configuration out = WithZoneState(Configuration(), kZone, ZoneState::kOut);
  control.OnConfiguration(At(now), out, &output);
  CHECK(output.changed == std::vector{kZone});
  CHECK(control.local_zone_out());
  CHECK(control.use(kOther) == ZoneUse());
  const Configuration back = WithZoneState(out, kZone, ZoneState::kReturning);
  control.OnConfiguration(At(now), back, &output);
  CHECK(control.use(kZone).share == ZoneControl::kInitialRampShare);
  RunWithEvidence(&control, &now, 4, {10, 0, 0});
  CHECK(control.use(kZone).share == Approx(0.6));
  for (const ZoneEvidence& bad : {ZoneEvidence{10, 0, 2}, {10, 5, 0}, {0, 0, 0}}) {
    RunWithEvidence(&control, &now, 6, bad);
    CHECK(control.use(kZone).share == Approx(0.6));
  }
  const Configuration both = WithZoneState(back, kOther, ZoneState::kOut);
  control.OnConfiguration(At(now), both, &output);
  CHECK_FALSE(control.use(kOther).usable);
  RunWithEvidence(&control, &now, 2, {10, 0, 0});
  CHECK(control.use(kZone).share == Approx(0.85));
  const Configuration reversed = WithZoneState(both, kZone, ZoneState::kOut);
  control.OnConfiguration(At(now), reversed, &output);
  CHECK_FALSE(control.use(kZone).usable);
  control.OnConfiguration(At(now), WithZoneState(reversed, kZone, ZoneState::kReturning), &output);
  CHECK(control.use(kZone).share == ZoneControl::kInitialRampShare);
  RunWithEvidence(&control, &now, 8, {10, 0, 0});
  CHECK(control.use(kZone) == ZoneUse());
  ZoneControl started(kZone);
  started.OnConfiguration(At(now), back, &output);
  CHECK(started.use(kZone).state == ZoneState::kReturning);
}

// Guards against a decision made during a store outage that is lost, stays in effect after a newer
// one, or is never recorded.
TEST_CASE("an unrecorded decision is broadcast and recorded, and ends with the recorded decision",
          "[zone_control_test]") {
  ZoneControl first(kOther);
  ZoneControl second(kOther);
  ZoneOutput output;
  CHECK(first.TakeZoneOutUnrecorded(At(0), kZone, {}, "alice", &output));
  CHECK_FALSE(first.TakeZoneOutUnrecorded(At(0), kZone, {}, "alice", &output));
  REQUIRE(output.broadcast.size() == 1);
  second.OnUnrecordedZone(At(5), output.broadcast[0], &output);
  CHECK(second.use(kZone).unrecorded);
  CHECK_FALSE(second.use(kZone).usable);
  UnrecordedZone in = output.broadcast[0];
  in.zone = kOther;
  in.out = false;
  second.OnUnrecordedZone(At(5), in, &output);
  CHECK(second.unrecorded().size() == 1);
  ZoneOutput later;
  second.OnTimer(At(2000), &later);
  CHECK(later.broadcast.size() == 1);
  CHECK(later.record.empty());
  for (ZoneControl* control : {&first, &second}) {
    control->OnStoreStatus(At(3000), true);
  }
  second.OnTimer(At(4000), &later);
  CHECK(later.record.empty());
  first.OnTimer(At(4000), &later);
  CHECK(later.record.size() == 1);
  later.record.clear();
  second.OnTimer(At(8000), &later);
  CHECK(later.record.size() == 1);
  const Configuration recorded = WithZoneState(Configuration(), kZone, ZoneState::kOut);
  const Configuration back = WithZoneState(recorded, kZone, ZoneState::kReturning);
  first.OnConfiguration(At(8000), recorded, &output);
  CHECK(first.use(kZone) == ZoneUse{ZoneState::kOut, false, 0.0, false});
  second.OnConfiguration(At(8000), back, &output);
  CHECK(second.use(kZone).state == ZoneState::kReturning);
  second.OnUnrecordedZone(At(8000), later.record[0], &output);
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
    std::vector<std::optional<ConfigVersion>> received_base(3);  ///< Base of the decision received.
    for (int i = 0; i < 3; ++i) {
      nodes.push_back(std::make_unique<ZoneControl>(kOther));
    }
    std::vector<UnrecordedZone> sent;
    for (int64_t now = 0; now < 100; ++now) {
      const size_t node = random() % nodes.size();
      ZoneOutput output;
      const uint64_t choice = random() % 10;
      if (choice < 2) {
        const auto state = static_cast<ZoneState>(random() % 3);
        versions.push_back(
            WithZoneState(versions.back(), random() % 2 == 0 ? kZone : kOther, state));
      } else if (choice < 6 && known[node] + 1 < versions.size()) {
        nodes[node]->OnConfiguration(At(now * 100), versions[++known[node]], &output);
      } else if (choice == 6) {
        nodes[node]->TakeZoneOutUnrecorded(At(now * 100), kZone, {}, "a", &output);
      } else if (choice < 9 && !sent.empty()) {
        output.broadcast.push_back(sent[random() % sent.size()]);
        nodes[node]->OnUnrecordedZone(At(now * 100), output.broadcast[0], &output);
      } else {
        nodes[node]->OnEvidence(kZone, {10, 0, 0});
        nodes[node]->OnTimer(At(now * 100), &output);
      }
      for (const UnrecordedZone& decision : output.broadcast) {
        sent.push_back(decision);
        received_base[node] =
            std::max(received_base[node].value_or(ConfigVersion()), decision.base);
      }
      const Configuration& configuration = versions[known[node]];
      const auto version = configuration.object_versions.find("zone/" + kZone.value);
      const ConfigVersion changed =
          version == configuration.object_versions.end() ? ConfigVersion() : version->second;
      const bool recorded_out = configuration.zones.contains(kZone) &&
                                configuration.zones.at(kZone).state == ZoneState::kOut;
      const bool received_out = received_base[node] && *received_base[node] >= changed;
      RC_ASSERT(nodes[node]->use(kZone).usable == !(recorded_out || received_out));
    }
  }));
}

}  // namespace
}  // namespace jd
