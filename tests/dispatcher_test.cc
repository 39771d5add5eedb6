#include "policy/dispatcher.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <map>

#include "tests/call_world.h"

namespace jd {
namespace {

// One generated step: a kind and three numbers that the step interprets.
struct Step {
  int kind;
  int a;
  int b;
  int c;
};

void Play(CallWorld* world, const Step& step) {
  switch (step.kind) {
    case 0:
    case 1:
    case 2:
      world->Arrive(step.a % 2 == 0 ? "GET" : "POST", step.b % 3, step.c * 7 % 300, step.a % 5);
      break;
    case 3:
    case 4:
    case 5:
      world->Finish(step.a, static_cast<AttemptOutcome>(step.b % 6), step.c % 2 == 0);
      break;
    case 6:
      world->Advance(Duration(1000 * (step.a % 60)));
      break;
    case 7:
      world->CallerLeaves(step.a);
      break;
    case 8:
      world->Configure(step.a % 4, step.b % 3 != 0, step.c % 4);
      break;
    default:
      world->dispatcher.SetDegraded(CallWorld::service(), step.a % 2 == 0);
      world->Capacity();
      break;
  }
}

// Guards against lost or doubled ends, leaked slots, doubled orders, false "not run" verdicts and
// attempts beyond the limit; CallWorld checks each action as it comes.
TEST_CASE("every interleaving keeps the promises about calls and slots", "[dispatcher_test]") {
  const auto any = [](int top) { return rc::gen::inRange(0, top); };
  const bool held = rc::check("calls and slots", [&] {
    CallWorld world;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
        rc::gen::tuple(any(10), any(1000), any(1000), any(1000)));
    for (const auto& [kind, a, b, c] : steps) {
      Play(&world, {kind, a, b, c});
      RC_ASSERT(world.fault == "");
    }
    world.Drain();
    RC_ASSERT(world.fault == "");
  });
  CHECK(held);
}

// Guards against a retry storm when every attempt of a service fails.
TEST_CASE("the budget bounds retries in a total outage", "[dispatcher_test]") {
  const bool held = rc::check("retries in an outage", [] {
    CallWorld world;
    const int per_second = *rc::gen::inRange(1, 200);
    const double share = *rc::gen::inRange(0, 30) / 100.0;
    world.profile.max_attempts = 5;
    world.profile.retry_budget = share;
    world.Apply();
    const int seconds = 5;
    for (int i = 0; i < per_second * seconds; ++i) {
      world.Arrive("GET", 0, 1000, i);
      while (!world.in_flight.empty()) {
        world.Finish(0, AttemptOutcome::kConnectFailed, false);
      }
      world.Advance(Duration(1000000 / per_second));
    }
    world.Drain();
    RC_ASSERT(world.fault == "");
    const int retries = world.sends - per_second * seconds;
    RC_ASSERT(retries <= share * per_second * seconds + 3.0 * (seconds + 1));
    RC_ASSERT(retries >= 3 || per_second < 2);
  });
  CHECK(held);
}

TEST_CASE("a retry goes to another endpoint, and back to the same only without another",
          "[dispatcher_test]") {
  CallWorld world;
  world.Arrive("GET", 0, 1000, 1);
  const EndpointId first = world.in_flight.begin()->second.endpoint;
  world.Finish(0, AttemptOutcome::kConnectionLost, true);
  REQUIRE(world.in_flight.size() == 1);
  CHECK(world.in_flight.begin()->second.endpoint != first);
  world.Finish(0, AttemptOutcome::kAnswered, true);
  CHECK(world.calls.begin()->second.answered);

  CallWorld single(1);
  single.Arrive("GET", 0, 1000, 1);
  single.Finish(0, AttemptOutcome::kConnectionLost, true);
  CHECK(single.in_flight.size() == 1);
}

TEST_CASE("one hedge is sent elsewhere, and the loser is cancelled and releases its slot late",
          "[dispatcher_test]") {
  CallWorld world;
  world.profile.hedge = true;
  world.profile.hedge_after = 20ms;
  world.Apply();
  world.Arrive("GET", 0, 1000, 1);
  world.Arrive("POST", 0, 1000, 2);
  world.Advance(19ms);
  CHECK(world.in_flight.size() == 2);
  world.Advance(500ms);
  REQUIRE(world.in_flight.size() == 3);
  CHECK(world.in_flight.at(AttemptId(3)).call == CallId(1));
  CHECK(world.in_flight.at(AttemptId(3)).endpoint != world.in_flight.at(AttemptId(1)).endpoint);
  world.Finish(2, AttemptOutcome::kAnswered, true);
  CHECK(world.calls.at(CallId(1)).answered);
  CHECK(world.cancelled.contains(AttemptId(1)));
  CHECK(world.policy.total() == 2);
  world.Finish(0, AttemptOutcome::kAnswered, true);
  CHECK(world.policy.total() == 1);
  CHECK(world.fault == "");
}

TEST_CASE("an upstream's error is relayed only if no other attempt gives an answer",
          "[dispatcher_test]") {
  // Guards against an error for a call that another endpoint would have served, against a call that
  // runs twice although it must not, and against an answer that is replaced by a refusal.
  CallWorld world;
  world.profile.max_attempts = 2;
  world.Apply();
  world.Arrive("GET", 0, 1000, 1);
  world.Finish(0, AttemptOutcome::kAnswered, true, 500);
  REQUIRE(world.in_flight.size() == 1);
  CHECK_FALSE(world.calls.begin()->second.answered);
  world.Finish(0, AttemptOutcome::kAnswered, true, 200);
  CHECK(world.calls.begin()->second.answered);

  CallWorld failing;
  failing.profile.max_attempts = 2;
  failing.Apply();
  failing.Arrive("GET", 0, 1000, 1);
  failing.Finish(0, AttemptOutcome::kAnswered, true, 500);
  failing.Finish(0, AttemptOutcome::kConnectFailed, false);
  CHECK(failing.calls.begin()->second.answered);
  CHECK(failing.refusals.empty());

  CallWorld once;
  once.profile.max_attempts = 2;
  once.Apply();
  once.Arrive("POST", 0, 1000, 1);
  once.Finish(0, AttemptOutcome::kAnswered, true, 500);
  CHECK(once.in_flight.empty());
  CHECK(once.calls.begin()->second.answered);
}

TEST_CASE("a call keeps the limits of its arrival", "[dispatcher_test]") {
  CallWorld world;
  world.profile.max_attempts = 2;
  world.Apply();
  world.Arrive("GET", 0, 0, 1);
  world.profile.max_attempts = 1;
  world.profile.deadline = 1ms;
  world.Apply();
  world.Advance(500ms);
  world.Finish(0, AttemptOutcome::kConnectFailed, false);
  CHECK(world.in_flight.size() == 1);
  CHECK(world.fault == "");
}

TEST_CASE("only a service without a usable endpoint for the whole wait is reported as such",
          "[dispatcher_test]") {
  CallWorld world;
  world.UseEndpoints(0);
  world.Arrive("POST", 0, 100, 1);
  world.Advance(50ms);
  world.UseEndpoints(3);
  world.UseEndpoints(0);
  world.Arrive("POST", 0, 100, 2);
  world.Advance(49ms);
  CHECK(world.refusals.empty());
  world.Advance(60ms);
  REQUIRE(world.refusals.size() == 2);
  CHECK(world.refusals[0].reason == RefusalReason::kDeadline);
  CHECK(world.refusals[1].reason == RefusalReason::kNoEndpoint);
  CHECK(world.refusals[1].verdict == Verdict::kNotRun);
}

TEST_CASE("a full queue refuses the workspace furthest above its share, even a queued call",
          "[dispatcher_test]") {
  CallWorld world(1);
  world.profile.max_queue = 4;
  world.Apply();
  world.Arrive("POST", 0, 1000, 1);
  for (int i = 0; i < 4; ++i) {
    world.Arrive("POST", 0, 1000, i);
  }
  world.Arrive("POST", 1, 1000, 9);
  REQUIRE(world.refusals.size() == 1);
  CHECK(world.calls.at(CallId(5)).ended == 1);
  CHECK(world.refusals[0].reason == RefusalReason::kOverload);
  CHECK(world.refusals[0].verdict == Verdict::kNotRun);
  CHECK(world.refusals[0].retry_after > 0ms);
  world.Arrive("POST", 0, 1000, 10);
  CHECK(world.calls.at(CallId(7)).ended == 1);
  CHECK(world.policy.waiting == 4);
}

TEST_CASE("calls that cannot finish in time are refused before they are sent",
          "[dispatcher_test]") {
  CallWorld world(1);
  for (int i = 0; i < 20; ++i) {
    world.Arrive("POST", 0, 1000, i);
    world.Advance(30ms);
    world.Finish(0, AttemptOutcome::kAnswered, true);
  }
  world.Arrive("POST", 0, 20, 0);
  REQUIRE(world.refusals.size() == 1);
  CHECK(world.refusals[0].reason == RefusalReason::kDeadline);
  SECTION("the latencies are forgotten without new answers") {
    world.Advance(6s);
    world.Arrive("POST", 0, 20, 0);
    CHECK(world.refusals.size() == 1);
  }
  SECTION("so are calls whose queue is served too slowly") {
    for (int i = 0; i < 21; ++i) {
      world.Arrive("POST", 0, 5000, i);
    }
    for (int i = 0; i < 10; ++i) {
      world.Advance(30ms);
      world.Finish(0, AttemptOutcome::kAnswered, true);
    }
    world.Arrive("POST", 0, 200, 0);
    REQUIRE(world.refusals.size() == 2);
    CHECK(world.refusals[1].reason == RefusalReason::kOverload);
    world.Arrive("POST", 1, 200, 0);
    CHECK(world.refusals.size() == 2);
  }
}

// Guards against ejecting an endpoint, or blocking a request, over connections that went silent.
TEST_CASE("the policy sees a time-out only if the endpoint is to blame", "[dispatcher_test]") {
  CallWorld world(1);
  world.Arrive("POST", 0, 1000, 1);
  world.Advance(10ms);
  world.opened = MonoFromMicros(500);
  world.Finish(0, AttemptOutcome::kAnswered, true);
  world.opened = MonoFromMicros(400);
  world.UseSlots(4);
  world.Arrive("POST", 0, 500, 2);
  for (int i = 0; i < 3; ++i) {
    world.Arrive("POST", 0, 5000, 3);
  }
  world.Advance(600ms);
  world.Finish(0, AttemptOutcome::kCancelled, true);
  CHECK(world.policy.last == AttemptOutcome::kCancelled);
  REQUIRE(world.closed.size() == 1);
  CHECK(world.closed[0].opened_before == MonoFromMicros(500));
  CHECK(world.closed[0].sent_before == world.now - 30ms);
  for (int i = 0; i < 3; ++i) {
    world.Finish(0, AttemptOutcome::kConnectionLost, true);
    CHECK(world.policy.last == AttemptOutcome::kCancelled);
  }
  CHECK(world.announced.empty());
  // The gateway leaves the connection of a later attempt open, so its loss is the endpoint's.
  world.Arrive("POST", 0, 500, 5);
  world.Finish(0, AttemptOutcome::kConnectionLost, true);
  CHECK(world.policy.last == AttemptOutcome::kConnectionLost);
  world.opened = world.now;
  world.new_connection = true;
  world.Arrive("POST", 0, 500, 4);
  world.Advance(600ms);
  world.Finish(0, AttemptOutcome::kCancelled, true);
  CHECK(world.policy.last == AttemptOutcome::kTimedOut);
}

TEST_CASE("no hedge takes the slot that a waiting call needs", "[dispatcher_test]") {
  CallWorld world(2);
  world.profile.hedge = true;
  world.profile.hedge_after = 20ms;
  world.Apply();
  for (int i = 0; i < 3; ++i) {
    world.Arrive("GET", 0, 1000, i);
  }
  world.Advance(30ms);
  world.Finish(1, AttemptOutcome::kAnswered, true);
  CHECK(world.sends == 3);
  world.Finish(1, AttemptOutcome::kAnswered, true);
  world.Advance(500ms);
  CHECK(world.sends == 3);
}

TEST_CASE("a crashing request is refused after two upstreams and announced", "[dispatcher_test]") {
  CallWorld world;
  world.Arrive("GET", 0, 1000, 7);
  world.Finish(0, AttemptOutcome::kConnectionLost, true);
  world.Finish(0, AttemptOutcome::kConnectionLost, true);
  REQUIRE(world.refusals.size() == 1);
  CHECK(world.sends == 2);
  CHECK(world.refusals[0].reason == RefusalReason::kCrashesUpstreams);
  CHECK(world.refusals[0].verdict == Verdict::kMayHaveRun);
  REQUIRE(world.announced.size() == 1);
  CallWorld peer;
  peer.dispatcher.AddCrashFromPeer(peer.now, world.announced[0]);
  peer.Arrive("GET", 0, 1000, 7);
  REQUIRE(peer.refusals.size() == 1);
  CHECK(peer.refusals[0].verdict == Verdict::kNotRun);
  CHECK(peer.announced.empty());
}

}  // namespace
}  // namespace jd
