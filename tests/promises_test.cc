#include "soak/guarantee_checker.h"

#include <catch2/catch.hpp>

namespace jd {
namespace {

MonoTime At(Duration time) {
  return MonoTime() + 100s + time;
}

SoakRequest MakeRequest(const std::string& id) {
  return {id, "g", false, 1200ms, 0};
}

SoakAnswer MakeServedAnswer(const std::string& id) {
  std::string stamp = "e-1.";
  stamp += id;
  std::string body = stamp;
  body += " ran ";
  body += id;
  return {200, id, stamp, body};
}

TEST_CASE("the soak accepts a run that keeps all guarantees", "[promises_test]") {
  GuaranteeChecker checker;
  checker.OnRequestSent(At(0s), MakeRequest("a"));
  checker.OnRequestArrived(At(10ms), "a", "e-1", "z", true);
  checker.OnAnswer(At(50ms), "a", MakeServedAnswer("a"));
  checker.OnRequestSent(At(60ms), MakeRequest("b"));
  checker.OnAnswer(At(61ms), "b", {503, "b", "", ""});
  checker.OnAllFaultsEnded(At(61ms));
  checker.OnRequestSent(At(16s), MakeRequest("c"));
  checker.OnRequestArrived(At(16s), "c", "e-1", "z", true);
  checker.OnAnswer(At(16s), "c", MakeServedAnswer("c"));
  checker.Finish(At(20s));
  CHECK(checker.violations().empty());
  CHECK(checker.served() == 2);
}

// Each of the following tests guards against a soak that misses a violation and so cannot fail.
TEST_CASE("the soak detects requests that ran twice or ran although they were refused",
          "[promises_test]") {
  GuaranteeChecker checker;
  checker.OnRequestSent(At(0s), MakeRequest("a"));
  checker.OnRequestArrived(At(0s), "a", "e-1", "z", true);
  checker.OnRequestArrived(At(1ms), "a", "e-2", "z", true);
  CHECK(checker.violations().size() == 1);
  checker.OnAnswer(At(2ms), "a", {429, "a", "", ""});
  CHECK(checker.violations().size() == 2);
  checker.OnRequestSent(At(0s), MakeRequest("b"));
  checker.OnAnswer(At(1ms), "b", {503, "b", "", ""});
  checker.OnRequestArrived(At(2ms), "b", "e-1", "z", true);
  CHECK(checker.violations().size() == 3);
}

TEST_CASE("the soak detects wrong, misdirected, late and missing answers", "[promises_test]") {
  GuaranteeChecker checker;
  checker.OnRequestSent(At(0s), MakeRequest("a"));
  checker.OnAnswer(At(1ms), "a", MakeServedAnswer("b"));
  CHECK(checker.violations().size() == 2);
  checker.OnRequestSent(At(0s), MakeRequest("late"));
  checker.OnAnswer(At(1800ms), "late", MakeServedAnswer("late"));
  CHECK(checker.violations().size() == 3);
  checker.OnRequestSent(At(0s), MakeRequest("lost"));
  checker.OnRequestArrived(At(0s), "lost", "e-1", "z", true);
  checker.OnAnswer(At(1ms), "lost", {});
  CHECK(checker.violations().size() == 4);
  checker.OnRequestSent(At(2s), MakeRequest("open"));
  checker.Finish(At(10s));
  // Two more violations: request "open" has no answer, and no request was served after the time
  // that is allowed for recovery.
  CHECK(checker.violations().size() == 6);
}

TEST_CASE("the soak detects calls to endpoints and zones that are out of service",
          "[promises_test]") {
  GuaranteeChecker checker;
  checker.OnEndpointLeaving(At(0s), "e-1");
  checker.OnZoneChanged(At(0s), "z", true);
  checker.OnRequestSent(At(1s), MakeRequest("a"));
  checker.OnRequestArrived(At(1900ms), "a", "e-1", "z", true);
  CHECK(checker.violations().empty());
  checker.OnRequestSent(At(2s), MakeRequest("b"));
  checker.OnRequestArrived(At(2100ms), "b", "e-1", "z", false);
  CHECK(checker.violations().size() == 1);
  checker.OnRequestSent(At(5s), MakeRequest("c"));
  checker.OnRequestArrived(At(5100ms), "c", "e-2", "z", true);
  CHECK(checker.violations().size() == 2);
  checker.OnGatewayFaulty(At(5200ms), "g", false);
  checker.OnGatewayFaultsEnded(At(5300ms), "g");
  checker.OnRequestSent(At(6s), MakeRequest("d"));
  checker.OnRequestArrived(At(6s), "d", "e-1", "z", true);
  CHECK(checker.violations().size() == 2);
}

TEST_CASE(
    "the soak detects a configuration that is not applied in time or reappears after its removal",
    "[promises_test]") {
  GuaranteeChecker checker;
  checker.OnConfigurationAccepted(At(0s), 7);
  SoakRequest request{"a", "g", true, 1200ms, 7};
  checker.OnRequestSent(At(2100ms), request);
  checker.OnAnswer(At(2110ms), "a", {404, "a", "", ""});
  CHECK(checker.violations().size() == 1);
  checker.OnConfigurationAccepted(At(3s), 8);
  request.id = std::string("b");
  checker.OnRequestSent(At(5100ms), request);
  checker.OnAnswer(At(5110ms), "b", MakeServedAnswer("b"));
  CHECK(checker.violations().size() == 2);
}

}  // namespace
}  // namespace jd
