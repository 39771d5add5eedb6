#include <catch2/catch.hpp>
#include <string>

#include "soak/guarantee_checker.h"

namespace jd {
namespace {

MonoTime At(Duration time) {
  return MonoTime() + 100s + time;
}

// A checker to which requests of the gateway g arrive at the endpoint e.
struct Run {
  void Arrive(Duration time, bool runs = true) {
    const std::string id = std::to_string(++requests);
    checker.OnRequestSent(At(time), {id, "g", true, 1200ms, 0});
    checker.OnRequestArrived(At(time), id, "e", "z", runs);
  }
  GuaranteeChecker checker;
  int requests = 0;
};

TEST_CASE("the soak detects requests to an endpoint that said that it leaves",
          "[soak_statements_test]") {
  Run run;
  run.checker.OnLeavingStated("e");
  run.Arrive(10s);
  run.Arrive(10s + GuaranteeChecker::kMaxLeavingDelay);
  CHECK(run.checker.violations().empty());
  run.Arrive(10s + GuaranteeChecker::kMaxLeavingDelay + 1ms);
  CHECK(run.checker.violations().size() == 1);
}

TEST_CASE("the soak detects more than two requests to an endpoint that wants nothing",
          "[soak_statements_test]") {
  Run run;
  run.checker.OnWantsNothing("e", At(5s));
  run.Arrive(1s, false);
  run.Arrive(1400ms, false);
  run.Arrive(1600ms, false);
  run.Arrive(4999ms, false);
  run.Arrive(5001ms);
  run.Arrive(5002ms);
  CHECK(run.checker.violations().empty());
  run.Arrive(4999ms, false);
  CHECK(run.checker.violations().size() == 1);
}

TEST_CASE("a gateway that was paused after it was told is excused", "[soak_statements_test]") {
  Run run;
  run.checker.OnLeavingStated("e");
  run.Arrive(1s);
  run.checker.OnGatewayFaulty(At(2s), "g", true);
  run.Arrive(5s);
  run.checker.OnGatewayFaultsEnded(At(6s), "g");
  run.Arrive(10s);
  CHECK(run.checker.violations().empty());
}

}  // namespace
}  // namespace jd
