#include "policy/dispatcher.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <map>

#include "tests/dispatcher_harness.h"

namespace jd {
namespace {

// One generated step: its kind and three numbers whose meaning depends on the kind.
struct Step {
  int kind;
  int a;
  int b;
  int c;
};

void RunStep(DispatcherHarness* harness, const Step& step) {
  switch (step.kind) {
    case 0:
    case 1:
    case 2:
      harness->StartCall(step.a % 2 == 0 ? "GET" : "POST", step.b % 3, step.c * 7 % 300,
                         step.a % 5);
      break;
    case 3:
    case 4:
    case 5:
      harness->EndAttempt(step.a, static_cast<AttemptOutcome>(step.b % 6), step.c % 2 == 0);
      break;
    case 6:
      harness->AdvanceTime(Duration(1000 * (step.a % 60)));
      break;
    case 7:
      harness->DisconnectCaller(step.a);
      break;
    case 8:
      harness->Configure(step.a % 4, step.b % 3 != 0, step.c % 4);
      break;
    default:
      harness->dispatcher.SetDegraded(DispatcherHarness::service(), step.a % 2 == 0);
      harness->NotifyCapacityChanged();
      break;
  }
}

// Guards against calls that never end or end twice, leaked slots, non-idempotent requests that run
// twice, false "not run" verdicts and attempts beyond the limit. DispatcherHarness checks each
// action.
TEST_CASE("every interleaving of events upholds the guarantees for calls and slots",
          "[dispatcher_test]") {
  const auto below = [](int limit) { return rc::gen::inRange(0, limit); };
  const bool passed = rc::check("calls and slots", [&] {
    DispatcherHarness harness;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
        rc::gen::tuple(below(10), below(1000), below(1000), below(1000)));
    for (const auto& [kind, a, b, c] : steps) {
      RunStep(&harness, {kind, a, b, c});
      RC_ASSERT(harness.violation == "");
    }
    harness.Drain();
    RC_ASSERT(harness.violation == "");
  });
  CHECK(passed);
}

// Guards against a retry storm while every attempt of a service fails.
TEST_CASE("the retry budget limits retries in a total outage", "[dispatcher_test]") {
  const bool passed = rc::check("retries in an outage", [] {
    DispatcherHarness harness;
    const int per_second = *rc::gen::inRange(1, 200);
    const double share = *rc::gen::inRange(0, 30) / 100.0;
    harness.profile.max_attempts = 5;
    harness.profile.retry_budget = share;
    harness.ApplyProfile();
    const int seconds = 5;
    for (int i = 0; i < per_second * seconds; ++i) {
      harness.StartCall("GET", 0, 1000, i);
      while (!harness.in_flight.empty()) {
        harness.EndAttempt(0, AttemptOutcome::kConnectFailed, false);
      }
      harness.AdvanceTime(Duration(1000000 / per_second));
    }
    harness.Drain();
    RC_ASSERT(harness.violation == "");
    const int retries = harness.sends - per_second * seconds;
    RC_ASSERT(retries <= share * per_second * seconds + 3.0 * (seconds + 1));
    RC_ASSERT(retries >= 3 || per_second < 2);
  });
  CHECK(passed);
}

TEST_CASE("a retry goes to another endpoint, and to the same one only if there is no other",
          "[dispatcher_test]") {
  DispatcherHarness harness;
  harness.StartCall("GET", 0, 1000, 1);
  const EndpointId first = harness.in_flight.begin()->second.endpoint;
  harness.EndAttempt(0, AttemptOutcome::kConnectionLost, true);
  REQUIRE(harness.in_flight.size() == 1);
  CHECK(harness.in_flight.begin()->second.endpoint != first);
  harness.EndAttempt(0, AttemptOutcome::kAnswered, true);
  CHECK(harness.calls.begin()->second.answered);

  DispatcherHarness single(1);
  single.StartCall("GET", 0, 1000, 1);
  single.EndAttempt(0, AttemptOutcome::kConnectionLost, true);
  CHECK(single.in_flight.size() == 1);
}

TEST_CASE("a hedge goes to another endpoint; the cancelled attempt keeps its slot until its result",
          "[dispatcher_test]") {
  DispatcherHarness harness;
  harness.profile.hedge = true;
  harness.profile.hedge_after = 20ms;
  harness.ApplyProfile();
  harness.StartCall("GET", 0, 1000, 1);
  harness.StartCall("POST", 0, 1000, 2);
  harness.AdvanceTime(19ms);
  CHECK(harness.in_flight.size() == 2);
  harness.AdvanceTime(500ms);
  REQUIRE(harness.in_flight.size() == 3);
  CHECK(harness.in_flight.at(AttemptId(3)).call == CallId(1));
  CHECK(harness.in_flight.at(AttemptId(3)).endpoint != harness.in_flight.at(AttemptId(1)).endpoint);
  harness.EndAttempt(2, AttemptOutcome::kAnswered, true);
  CHECK(harness.calls.at(CallId(1)).answered);
  CHECK(harness.cancelled.contains(AttemptId(1)));
  CHECK(harness.policy.slots_in_use() == 2);
  harness.EndAttempt(0, AttemptOutcome::kAnswered, true);
  CHECK(harness.policy.slots_in_use() == 1);
  CHECK(harness.violation == "");
}

TEST_CASE("a server error is relayed only if no other attempt gets an answer",
          "[dispatcher_test]") {
  // Guards against relaying an error for a call that another endpoint would have served, against
  // running a non-idempotent call twice, and against replacing an answer by a refusal.
  DispatcherHarness harness;
  harness.profile.max_attempts = 2;
  harness.ApplyProfile();
  harness.StartCall("GET", 0, 1000, 1);
  harness.EndAttempt(0, AttemptOutcome::kAnswered, true, 500);
  REQUIRE(harness.in_flight.size() == 1);
  CHECK_FALSE(harness.calls.begin()->second.answered);
  harness.EndAttempt(0, AttemptOutcome::kAnswered, true, 200);
  CHECK(harness.calls.begin()->second.answered);

  DispatcherHarness failing;
  failing.profile.max_attempts = 2;
  failing.ApplyProfile();
  failing.StartCall("GET", 0, 1000, 1);
  failing.EndAttempt(0, AttemptOutcome::kAnswered, true, 500);
  failing.EndAttempt(0, AttemptOutcome::kConnectFailed, false);
  CHECK(failing.calls.begin()->second.answered);
  CHECK(failing.refusals.empty());

  DispatcherHarness once;
  once.profile.max_attempts = 2;
  once.ApplyProfile();
  once.StartCall("POST", 0, 1000, 1);
  once.EndAttempt(0, AttemptOutcome::kAnswered, true, 500);
  CHECK(once.in_flight.empty());
  CHECK(once.calls.begin()->second.answered);
}

TEST_CASE("no call ends after the latest deadline of a stop", "[dispatcher_test]") {
  // Guards against calls that are cut when the process is killed: one that was sent before the
  // stop, one that was sent after its begin, and one that cannot end in time.
  DispatcherHarness harness;
  harness.profile.deadline = 10s;
  harness.Configure(2, false, 2);
  harness.StartCall("POST", 0, 0, 1);
  const MonoTime latest = harness.now + 1s;
  harness.dispatcher.LimitDeadlines(latest);
  harness.StartCall("POST", 0, 0, 2);
  CHECK(harness.in_flight.size() == 2);
  for (const auto& [id, attempt] : harness.in_flight) {
    CHECK((attempt.timeout == 10s || attempt.timeout == 1s));
  }
  harness.AdvanceTime(1s);
  REQUIRE(harness.refusals.size() == 2);
  for (const Refusal& refusal : harness.refusals) {
    CHECK(refusal.verdict == Verdict::kMayHaveRun);
  }
  harness.StartCall("POST", 0, 0, 3);
  REQUIRE(harness.refusals.size() == 3);
  CHECK(harness.refusals.back().verdict == Verdict::kNotRun);
  harness.Drain();
  CHECK(harness.violation.empty());
}

TEST_CASE("a call keeps the limits that it arrived with", "[dispatcher_test]") {
  DispatcherHarness harness;
  harness.profile.max_attempts = 2;
  harness.ApplyProfile();
  harness.StartCall("GET", 0, 0, 1);
  harness.profile.max_attempts = 1;
  harness.profile.deadline = 1ms;
  harness.ApplyProfile();
  harness.AdvanceTime(500ms);
  harness.EndAttempt(0, AttemptOutcome::kConnectFailed, false);
  CHECK(harness.in_flight.size() == 1);
  CHECK(harness.violation == "");
}

TEST_CASE("a call is refused as kNoEndpoint only if no endpoint was usable during its whole wait",
          "[dispatcher_test]") {
  DispatcherHarness harness;
  harness.SetUsableEndpoints(0);
  harness.StartCall("POST", 0, 100, 1);
  harness.AdvanceTime(50ms);
  harness.SetUsableEndpoints(3);
  harness.SetUsableEndpoints(0);
  harness.StartCall("POST", 0, 100, 2);
  harness.AdvanceTime(49ms);
  CHECK(harness.refusals.empty());
  harness.AdvanceTime(60ms);
  REQUIRE(harness.refusals.size() == 2);
  CHECK(harness.refusals[0].reason == RefusalReason::kDeadline);
  CHECK(harness.refusals[1].reason == RefusalReason::kNoEndpoint);
  CHECK(harness.refusals[1].verdict == Verdict::kNotRun);
}

TEST_CASE(
    "a full queue refuses a call, even a queued one, of the workspace furthest above its share",
    "[dispatcher_test]") {
  DispatcherHarness harness(1);
  harness.profile.max_queue = 4;
  harness.ApplyProfile();
  harness.StartCall("POST", 0, 1000, 1);
  for (int i = 0; i < 4; ++i) {
    harness.StartCall("POST", 0, 1000, i);
  }
  harness.StartCall("POST", 1, 1000, 9);
  REQUIRE(harness.refusals.size() == 1);
  CHECK(harness.calls.at(CallId(5)).ended == 1);
  CHECK(harness.refusals[0].reason == RefusalReason::kOverload);
  CHECK(harness.refusals[0].verdict == Verdict::kNotRun);
  CHECK(harness.refusals[0].retry_after > 0ms);
  harness.StartCall("POST", 0, 1000, 10);
  CHECK(harness.calls.at(CallId(7)).ended == 1);
  CHECK(harness.policy.waiting == 4);
}

TEST_CASE("calls that cannot finish in time are refused before they are sent",
          "[dispatcher_test]") {
  DispatcherHarness harness(1);
  for (int i = 0; i < 20; ++i) {
    harness.StartCall("POST", 0, 1000, i);
    harness.AdvanceTime(30ms);
    harness.EndAttempt(0, AttemptOutcome::kAnswered, true);
  }
  harness.StartCall("POST", 0, 20, 0);
  REQUIRE(harness.refusals.size() == 1);
  CHECK(harness.refusals[0].reason == RefusalReason::kDeadline);
  SECTION("the latencies expire without new answers") {
    harness.AdvanceTime(6s);
    harness.StartCall("POST", 0, 20, 0);
    CHECK(harness.refusals.size() == 1);
  }
  SECTION("calls whose queue is served too slowly are refused as well") {
    for (int i = 0; i < 21; ++i) {
      harness.StartCall("POST", 0, 5000, i);
    }
    for (int i = 0; i < 10; ++i) {
      harness.AdvanceTime(30ms);
      harness.EndAttempt(0, AttemptOutcome::kAnswered, true);
    }
    harness.StartCall("POST", 0, 200, 0);
    REQUIRE(harness.refusals.size() == 2);
    CHECK(harness.refusals[1].reason == RefusalReason::kOverload);
    harness.StartCall("POST", 1, 200, 0);
    CHECK(harness.refusals.size() == 2);
  }
}

// Guards against ejecting an endpoint or blocking a request because connections went silent.
TEST_CASE("a timeout is reported to the policy only if the endpoint caused it",
          "[dispatcher_test]") {
  DispatcherHarness harness(1);
  harness.StartCall("POST", 0, 1000, 1);
  harness.AdvanceTime(10ms);
  harness.connection_opened = MonoFromMicros(500);
  harness.EndAttempt(0, AttemptOutcome::kAnswered, true);
  harness.connection_opened = MonoFromMicros(400);
  harness.SetSlotsPerEndpoint(4);
  harness.StartCall("POST", 0, 500, 2);
  for (int i = 0; i < 3; ++i) {
    harness.StartCall("POST", 0, 5000, 3);
  }
  harness.AdvanceTime(600ms);
  harness.EndAttempt(0, AttemptOutcome::kCancelled, true);
  CHECK(harness.policy.last_outcome == AttemptOutcome::kCancelled);
  REQUIRE(harness.closed_connections.size() == 1);
  CHECK(harness.closed_connections[0].opened_before == MonoFromMicros(500));
  CHECK(harness.closed_connections[0].sent_before == harness.now - 30ms);
  for (int i = 0; i < 3; ++i) {
    harness.EndAttempt(0, AttemptOutcome::kConnectionLost, true);
    CHECK(harness.policy.last_outcome == AttemptOutcome::kCancelled);
  }
  CHECK(harness.announced.empty());
  // The gateway did not close the connection of a later attempt, so the endpoint caused its loss.
  harness.StartCall("POST", 0, 500, 5);
  harness.EndAttempt(0, AttemptOutcome::kConnectionLost, true);
  CHECK(harness.policy.last_outcome == AttemptOutcome::kConnectionLost);
  harness.connection_opened = harness.now;
  harness.new_connection = true;
  harness.StartCall("POST", 0, 500, 4);
  harness.AdvanceTime(600ms);
  harness.EndAttempt(0, AttemptOutcome::kCancelled, true);
  CHECK(harness.policy.last_outcome == AttemptOutcome::kTimedOut);
}

TEST_CASE("no hedge takes a slot that a waiting call needs", "[dispatcher_test]") {
  DispatcherHarness harness(2);
  harness.profile.hedge = true;
  harness.profile.hedge_after = 20ms;
  harness.ApplyProfile();
  for (int i = 0; i < 3; ++i) {
    harness.StartCall("GET", 0, 1000, i);
  }
  harness.AdvanceTime(30ms);
  harness.EndAttempt(1, AttemptOutcome::kAnswered, true);
  CHECK(harness.sends == 3);
  harness.EndAttempt(1, AttemptOutcome::kAnswered, true);
  harness.AdvanceTime(500ms);
  CHECK(harness.sends == 3);
}

TEST_CASE("a request that crashed two upstreams is refused and announced to the peers",
          "[dispatcher_test]") {
  DispatcherHarness harness;
  harness.StartCall("GET", 0, 1000, 7);
  harness.EndAttempt(0, AttemptOutcome::kConnectionLost, true);
  harness.EndAttempt(0, AttemptOutcome::kConnectionLost, true);
  REQUIRE(harness.refusals.size() == 1);
  CHECK(harness.sends == 2);
  CHECK(harness.refusals[0].reason == RefusalReason::kCrashesUpstreams);
  CHECK(harness.refusals[0].verdict == Verdict::kMayHaveRun);
  REQUIRE(harness.announced.size() == 1);
  DispatcherHarness peer;
  peer.dispatcher.BlockRequestFromPeer(peer.now, harness.announced[0]);
  peer.StartCall("GET", 0, 1000, 7);
  REQUIRE(peer.refusals.size() == 1);
  CHECK(peer.refusals[0].verdict == Verdict::kNotRun);
  CHECK(peer.announced.empty());
}

}  // namespace
}  // namespace jd
