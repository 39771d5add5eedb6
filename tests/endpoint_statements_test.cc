#include "policy/endpoint_statements.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "policy/fresh_load.h"

namespace jd {
namespace {

const EndpointId kEndpoint("e");
constexpr MonoTime kNow(100s);

UpstreamStatement Leaving() {
  UpstreamStatement statement;
  statement.leaving = true;
  return statement;
}

UpstreamStatement WantsNothing(Duration time) {
  UpstreamStatement statement;
  statement.wants_nothing_for = time;
  return statement;
}

EndpointHold HoldOf(const EndpointStatements& statements) {
  const auto held = statements.held();
  const auto found = held.find(kEndpoint);
  return found == held.end() ? EndpointHold::kNone : found->second.reason;
}

TEST_CASE("a leaving endpoint stays held back until a later run is listed",
          "[endpoint_statements_test]") {
  // Guards against a row that still says that the endpoint serves, or its return from a copy of
  // the store, which would send it calls while it stops (DRAIN).
  EndpointStatements statements(GatewayId("g"));
  CHECK(statements.OnStatement(kNow, kEndpoint, Incarnation(5), Leaving()));
  CHECK_FALSE(statements.OnStatement(kNow, kEndpoint, Incarnation(5), Leaving()));
  statements.OnListed(kEndpoint, Incarnation(5));
  statements.OnListed(kEndpoint, Incarnation(4));
  statements.OnListed(kEndpoint, Incarnation());
  statements.OnStatement(kNow, kEndpoint, Incarnation(5), WantsNothing(Duration(0)));
  statements.RemoveEnded(kNow + 1440min);
  CHECK(HoldOf(statements) == EndpointHold::kLeaving);
  CHECK(statements.leaving() == std::vector{LeavingEndpoint{kEndpoint, Incarnation(5)}});
  statements.OnListed(kEndpoint, Incarnation(6));
  CHECK(HoldOf(statements) == EndpointHold::kNone);
  CHECK(statements.size() == 0);
}

TEST_CASE("what a peer says of an earlier run is ignored", "[endpoint_statements_test]") {
  // Guards against a late message that holds an endpoint back which has started again.
  EndpointStatements statements(GatewayId("g"));
  CHECK(statements.OnLeaving(kNow, {kEndpoint, Incarnation(7)}));
  CHECK_FALSE(statements.OnLeaving(kNow, {kEndpoint, Incarnation(6)}));
  CHECK(statements.leaving().at(0).run == Incarnation(7));
  statements.OnListed(kEndpoint, Incarnation(8));
  CHECK(statements.OnLeaving(kNow, {kEndpoint, Incarnation(6)}));
  statements.OnListed(kEndpoint, Incarnation(8));
  CHECK(HoldOf(statements) == EndpointHold::kNone);
}

TEST_CASE("a statement made before the run was known is of the run listed next",
          "[endpoint_statements_test]") {
  EndpointStatements statements(GatewayId("g"));
  CHECK(statements.OnStatement(kNow, kEndpoint, Incarnation(), Leaving()));
  statements.OnListed(kEndpoint, Incarnation(5));
  CHECK(HoldOf(statements) == EndpointHold::kLeaving);
  statements.OnListed(kEndpoint, Incarnation(6));
  CHECK(HoldOf(statements) == EndpointHold::kNone);
}

TEST_CASE("another instance ends what the earlier one said", "[endpoint_statements_test]") {
  EndpointStatements statements(GatewayId("g"));
  UpstreamStatement statement = WantsNothing(5s);
  statement.instance = InstanceId("i-1");
  statements.OnStatement(kNow, kEndpoint, Incarnation(), statement);
  statements.OnInstance(kEndpoint, InstanceId("i-1"));
  statements.OnInstance(kEndpoint, InstanceId());
  CHECK(HoldOf(statements) == EndpointHold::kWantsNothing);
  statements.OnInstance(kEndpoint, InstanceId("i-2"));
  CHECK(HoldOf(statements) == EndpointHold::kNone);
}

TEST_CASE("an endpoint that wants nothing is held back for exactly that time",
          "[endpoint_statements_test]") {
  // Guards against requests that reach an endpoint before the time that it named (BUDGET), and
  // against capacity that stays unused after it.
  EndpointStatements statements(GatewayId("g"));
  statements.OnStatement(kNow, kEndpoint, Incarnation(1), WantsNothing(2500ms));
  CHECK(statements.next_end() == kNow + 2500ms);
  statements.RemoveEnded(kNow + 2499ms);
  CHECK(HoldOf(statements) == EndpointHold::kWantsNothing);
  statements.RemoveEnded(kNow + 2500ms);
  CHECK(HoldOf(statements) == EndpointHold::kNone);
  CHECK_FALSE(statements.next_end());
}

TEST_CASE("a later statement replaces the time, shorter or longer", "[endpoint_statements_test]") {
  EndpointStatements statements(GatewayId("g"));
  const auto say = [&](Duration time) {
    statements.OnStatement(kNow, kEndpoint, Incarnation(1), WantsNothing(time));
    return statements.next_end();
  };
  CHECK(say(4s) == kNow + 4s);
  CHECK(say(1s) == kNow + 1s);
  CHECK(say(8s) == kNow + 8s);
  CHECK(say(2880min) == kNow + EndpointStatements::kLongestWantsNothing);
  CHECK_FALSE(say(0s));
  CHECK(HoldOf(statements) == EndpointHold::kNone);
}

TEST_CASE("the number of remembered endpoints is limited", "[endpoint_statements_test]") {
  EndpointStatements statements(GatewayId("g"));
  for (size_t i = 0; i < 2 * EndpointStatements::kMaxEntries; ++i) {
    statements.OnLeaving(kNow + Duration(i), {EndpointId(std::to_string(i)), Incarnation(1)});
  }
  CHECK(statements.size() == EndpointStatements::kMaxEntries);
  CHECK(statements.held().contains(
      EndpointId(std::to_string(2 * EndpointStatements::kMaxEntries - 1))));
}

TEST_CASE("gateways return to an endpoint one after the other", "[endpoint_statements_test]") {
  // Guards against a herd: gateways that were told the same time would all send at its end.
  struct Row {
    int gateways;
    int most_in_first_100ms;
  };
  for (const Row row : {Row{17, 17}, Row{152, 40}, Row{300, 50}}) {
    int early = 0;
    Duration latest{0};
    for (int i = 0; i < row.gateways; ++i) {
      EndpointStatements statements(GatewayId("g" + std::to_string(i)));
      statements.SetGatewayCount(static_cast<size_t>(row.gateways));
      statements.OnStatement(kNow, kEndpoint, Incarnation(1), WantsNothing(3s));
      const Duration delay = *statements.next_end() - (kNow + 3s);
      REQUIRE(delay >= 0s);
      early += delay < 100ms ? 1 : 0;
      latest = std::max(latest, delay);
    }
    INFO(row.gateways << " gateways, " << early << " in the first 100 ms");
    CHECK(early <= row.most_in_first_100ms);
    CHECK(latest <= EndpointStatements::kLongestReturnDelay);
  }
}

TEST_CASE("held endpoints agree with a model", "[endpoint_statements_test]") {
  CHECK(rc::check([] {
    EndpointStatements statements(GatewayId("g"));
    MonoTime now = kNow;
    uint64_t run = 1;
    bool leaving = false;
    MonoTime until;
    for (int step = 0; step < 40; ++step) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 800));
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          statements.OnStatement(now, kEndpoint, Incarnation(run), Leaving());
          leaving = true;
          break;
        case 1: {
          const auto time = std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
          statements.OnStatement(now, kEndpoint, Incarnation(run), WantsNothing(time));
          until = now + time;
          break;
        }
        case 2:
          statements.OnListed(kEndpoint, Incarnation(++run));
          leaving = false;
          until = MonoTime();
          break;
        case 3:
          statements.OnLeaving(now, {kEndpoint, Incarnation(run)});
          leaving = true;
          break;
        default:
          statements.OnListed(kEndpoint, Incarnation(run));
      }
      statements.RemoveEnded(now);
      const EndpointHold expected = leaving       ? EndpointHold::kLeaving
                                    : now < until ? EndpointHold::kWantsNothing
                                                  : EndpointHold::kNone;
      RC_ASSERT(HoldOf(statements) == expected);
    }
  }));
}

TEST_CASE("a policy sends neither probes nor calls to a held endpoint and counts the reason",
          "[endpoint_statements_test]") {
  FreshLoad policy;
  const ServiceId service("s");
  EndpointView view{kEndpoint, ZoneId("z"), 4};
  view.usable = false;
  view.hold = EndpointHold::kLeaving;
  policy.SetService(kNow, {service, {view}});
  RandomEngine random(1);
  AcquireRequest request;
  request.service = service;
  request.local_zone = ZoneId("z");
  request.deadline = request.target_time = kNow + 1s;
  CHECK(policy.ChooseProbeTargets(kNow, request, 0, random).empty());
  LoadReport report;
  report.slots = 4;
  policy.OnLoadReport(kNow, kEndpoint, report);
  CHECK_FALSE(policy.Acquire(kNow, request, random));
  CHECK(policy.hold_counts().at(static_cast<size_t>(EndpointHold::kLeaving)) == 2);
}

}  // namespace
}  // namespace jd
