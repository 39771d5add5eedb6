#include "policy/endpoint_gate.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace jd {
namespace {

constexpr MonoTime kNow(100s);
constexpr MonoTime kLater(101s);

EndpointFacts FactsWith(EndpointHold hold) {
  EndpointFacts facts;
  facts.leaving = hold == EndpointHold::kLeaving;
  facts.wants_nothing = hold == EndpointHold::kWantsNothing;
  facts.zone_out = hold == EndpointHold::kZoneOut;
  facts.healthy = hold != EndpointHold::kUnhealthy;
  facts.failure_retry_at = hold == EndpointHold::kSilent ? kLater : kNow;
  facts.permit_retry_at = hold == EndpointHold::kLimit ? kLater : kNow;
  facts.cold_until = hold == EndpointHold::kCold ? kLater : kNow;
  return facts;
}

TEST_CASE("each fact alone holds an endpoint back for its own reason", "[endpoint_gate_test]") {
  // Guards against a reason that is not checked on one of the two paths, or is named wrongly.
  struct Row {
    EndpointHold hold;
    bool holds_probes;
    const char* name;
  };
  const Row rows[] = {{EndpointHold::kNone, false, "none"},
                      {EndpointHold::kLeaving, true, "leaving"},
                      {EndpointHold::kWantsNothing, true, "wants-nothing"},
                      {EndpointHold::kZoneOut, true, "zone-out"},
                      {EndpointHold::kSilent, true, "silent"},
                      {EndpointHold::kLimit, true, "limit"},
                      {EndpointHold::kUnhealthy, false, "unhealthy"},
                      {EndpointHold::kCold, false, "cold"}};
  std::set<std::string> names;
  for (const Row& row : rows) {
    INFO(row.name);
    const EndpointFacts facts = FactsWith(row.hold);
    CHECK(HoldOnCalls(kNow, facts) == row.hold);
    CHECK(HoldOnProbes(kNow, facts) == (row.holds_probes ? row.hold : EndpointHold::kNone));
    CHECK(EndpointHoldName(row.hold) == row.name);
    names.insert(row.name);
  }
  CHECK(names.size() == kEndpointHoldCount);
}

TEST_CASE("holds that have an end are over at that time", "[endpoint_gate_test]") {
  for (const EndpointHold hold :
       {EndpointHold::kSilent, EndpointHold::kLimit, EndpointHold::kCold}) {
    CHECK(HoldOnCalls(kLater, FactsWith(hold)) == EndpointHold::kNone);
  }
}

TEST_CASE("the gate agrees with a model for all facts together", "[endpoint_gate_test]") {
  // Guards against a fact that hides another one: what may be sent must not depend on the order in
  // which reasons are checked.
  CHECK(rc::check([] {
    EndpointFacts facts;
    facts.leaving = *rc::gen::arbitrary<bool>();
    facts.wants_nothing = *rc::gen::arbitrary<bool>();
    facts.zone_out = *rc::gen::arbitrary<bool>();
    facts.healthy = *rc::gen::arbitrary<bool>();
    facts.failure_retry_at = MonoTime(std::chrono::seconds(*rc::gen::inRange(95, 105)));
    facts.permit_retry_at = MonoTime(std::chrono::seconds(*rc::gen::inRange(95, 105)));
    facts.cold_until = MonoTime(std::chrono::seconds(*rc::gen::inRange(95, 105)));
    const bool probes = !facts.leaving && !facts.wants_nothing && !facts.zone_out &&
                        facts.failure_retry_at <= kNow && facts.permit_retry_at <= kNow;
    const bool calls = probes && facts.healthy && facts.cold_until <= kNow;
    RC_ASSERT((HoldOnProbes(kNow, facts) == EndpointHold::kNone) == probes);
    RC_ASSERT((HoldOnCalls(kNow, facts) == EndpointHold::kNone) == calls);
  }));
}

}  // namespace
}  // namespace jd
