#include "policy/rollout_gate.h"

#include <catch2/catch.hpp>
#include <vector>

#include "cluster/rollout_plan.h"

namespace jd {
namespace {

const ServiceId kService("s");
const EndpointId kOld("old");
const EndpointId kNew("new");

ServiceView View() {
  ServiceView view;
  view.id = kService;
  view.endpoints = {{kOld, ZoneId("z"), 2, true, VersionSide::kOld},
                    {kNew, ZoneId("z"), 2, true, VersionSide::kNew}};
  return view;
}

RolloutGate StartedGate(uint64_t seed) {
  RolloutGate gate(seed);
  gate.Start(kService);
  gate.SetService(View());
  return gate;
}

// Sends calls to the side that each is assigned to.
void SendCalls(RolloutGate* gate, int calls) {
  for (int i = 0; i < calls; ++i) {
    gate->OnSent(kService, gate->Draw(kService) == VersionSide::kNew ? kNew : kOld);
  }
}

AttemptResult Answer(int status, Duration latency) {
  AttemptResult result;
  result.outcome = AttemptOutcome::kAnswered;
  result.status = status;
  result.latency = latency;
  return result;
}

TEST_CASE("calls of a service without an order are not divided", "[rollout_gate_test]") {
  RolloutGate gate(1);
  CHECK(gate.Draw(kService) == VersionSide::kAny);
  CHECK(gate.DefaultSide(kService) == VersionSide::kAny);
  CHECK(gate.counts(kService) == RolloutCounts());
}

TEST_CASE("many gateways together send the share, however few calls each has",
          "[rollout_gate_test]") {
  // Guards against a first call of each gateway that together exceed the share.
  const RolloutBounds bounds;
  const int gateways = GENERATE(17, 102, 300);
  const int calls_each = GENERATE(1, 3, 40);
  int64_t sent = 0;
  for (int i = 0; i < gateways; ++i) {
    RolloutGate gate = StartedGate(static_cast<uint64_t>(i) + 1);
    gate.SetShare(kService, ShareIn(RolloutPhase::kWatching, bounds));
    SendCalls(&gate, calls_each);
    sent += gate.sent(kService);
  }
  const double all = gateways * calls_each;
  CHECK(static_cast<double>(sent) <= bounds.exposure_share * all + bounds.exposure_slack);
  const double share = ShareIn(RolloutPhase::kWatching, bounds).share;
  CHECK(static_cast<double>(sent) <= share * all + 25);
  CHECK(static_cast<double>(sent) >= share * all - 25);
}

TEST_CASE("until a version is proved its calls stay within the exposure since the order",
          "[rollout_gate_test]") {
  const RolloutBounds bounds;
  const int gateways = GENERATE(17, 102, 300);
  const int watched = GENERATE(0, 10, 200);  // Calls of each gateway before the share grows.
  int64_t sent = 0;
  for (int i = 0; i < gateways; ++i) {
    RolloutGate gate = StartedGate(static_cast<uint64_t>(i) + 1);
    gate.SetShare(kService, ShareIn(RolloutPhase::kWatching, bounds));
    SendCalls(&gate, watched);
    gate.SetShare(kService, ShareIn(RolloutPhase::kRamping, bounds));
    SendCalls(&gate, 100);
    sent += gate.sent(kService);
  }
  const double all = gateways * (watched + 100);
  CHECK(static_cast<double>(sent) <= bounds.exposure_share * all + bounds.exposure_slack);
}

TEST_CASE("calls that a version had no room for are not made up for", "[rollout_gate_test]") {
  // Guards against all gateways sending their calls when the endpoints are ready.
  RolloutGate gate = StartedGate(3);
  gate.SetShare(kService, {1, 1});
  CHECK(gate.Draw(kService) == VersionSide::kNew);
  gate.OnNoRoom(kService);
  gate.SetShare(kService, {0.001, 1});
  CHECK(gate.Draw(kService) == VersionSide::kOld);
  CHECK(gate.sent(kService) == 0);
  gate.SetShare(kService, {0, 0});
  CHECK(gate.Draw(kService) == VersionSide::kOld);
}

TEST_CASE("failures and slow answers count for the side of the endpoint", "[rollout_gate_test]") {
  RolloutGate gate = StartedGate(1);
  const ProfileId route("r");
  for (int i = 0; i < RolloutGate::kMinLatencySamples; ++i) {
    gate.OnAttemptEnded(kService, kOld, route, Answer(200, 100ms));
  }
  gate.OnAttemptEnded(kService, kOld, route, Answer(500, 5ms));
  gate.OnAttemptEnded(kService, kNew, route, Answer(200, 240ms));
  gate.OnAttemptEnded(kService, kNew, route, Answer(200, 260ms));
  gate.OnAttemptEnded(kService, kNew, route, Answer(503, 1ms));
  AttemptResult lost;
  lost.outcome = AttemptOutcome::kConnectionLost;
  gate.OnAttemptEnded(kService, kNew, route, lost);
  for (const AttemptOutcome none :
       {AttemptOutcome::kRefused, AttemptOutcome::kConnectFailed, AttemptOutcome::kCancelled}) {
    lost.outcome = none;
    gate.OnAttemptEnded(kService, kNew, route, lost);
  }
  const RouteCounts counts = gate.counts(kService).total();
  CHECK(counts.old_side == CallCounts{6, 1, 0});
  CHECK(counts.new_side == CallCounts{4, 2, 1});
  CHECK(gate.counts(kService).endpoints_used == 1);
}

}  // namespace
}  // namespace jd
