#include "soak/promises.h"

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
  Promises promises;
  promises.OnSent(At(0s), MakeRequest("a"));
  promises.OnArrival(At(10ms), "a", "e-1", "z", true);
  promises.OnAnswer(At(50ms), "a", MakeServedAnswer("a"));
  promises.OnSent(At(60ms), MakeRequest("b"));
  promises.OnAnswer(At(61ms), "b", {503, "b", "", ""});
  promises.OnAllCalm(At(61ms));
  promises.OnSent(At(16s), MakeRequest("c"));
  promises.OnArrival(At(16s), "c", "e-1", "z", true);
  promises.OnAnswer(At(16s), "c", MakeServedAnswer("c"));
  promises.Finish(At(20s));
  CHECK(promises.violations().empty());
  CHECK(promises.served() == 2);
}

// Each of the following tests guards against a soak that misses a violation and so cannot fail.
TEST_CASE("the soak detects requests that ran twice or ran although they were refused",
          "[promises_test]") {
  Promises promises;
  promises.OnSent(At(0s), MakeRequest("a"));
  promises.OnArrival(At(0s), "a", "e-1", "z", true);
  promises.OnArrival(At(1ms), "a", "e-2", "z", true);
  CHECK(promises.violations().size() == 1);
  promises.OnAnswer(At(2ms), "a", {429, "a", "", ""});
  CHECK(promises.violations().size() == 2);
  promises.OnSent(At(0s), MakeRequest("b"));
  promises.OnAnswer(At(1ms), "b", {503, "b", "", ""});
  promises.OnArrival(At(2ms), "b", "e-1", "z", true);
  CHECK(promises.violations().size() == 3);
}

TEST_CASE("the soak detects wrong, misdirected, late and missing answers", "[promises_test]") {
  Promises promises;
  promises.OnSent(At(0s), MakeRequest("a"));
  promises.OnAnswer(At(1ms), "a", MakeServedAnswer("b"));
  CHECK(promises.violations().size() == 2);
  promises.OnSent(At(0s), MakeRequest("late"));
  promises.OnAnswer(At(1800ms), "late", MakeServedAnswer("late"));
  CHECK(promises.violations().size() == 3);
  promises.OnSent(At(0s), MakeRequest("lost"));
  promises.OnArrival(At(0s), "lost", "e-1", "z", true);
  promises.OnAnswer(At(1ms), "lost", {});
  CHECK(promises.violations().size() == 4);
  promises.OnSent(At(2s), MakeRequest("open"));
  promises.Finish(At(10s));
  // Two more violations: request "open" has no answer, and no request was served after the time
  // that is allowed for recovery.
  CHECK(promises.violations().size() == 6);
}

TEST_CASE("the soak detects calls to endpoints and zones that are out of service",
          "[promises_test]") {
  Promises promises;
  promises.OnLeaving(At(0s), "e-1");
  promises.OnZone(At(0s), "z", true);
  promises.OnSent(At(1s), MakeRequest("a"));
  promises.OnArrival(At(1900ms), "a", "e-1", "z", true);
  CHECK(promises.violations().empty());
  promises.OnSent(At(2s), MakeRequest("b"));
  promises.OnArrival(At(2100ms), "b", "e-1", "z", false);
  CHECK(promises.violations().size() == 1);
  promises.OnSent(At(5s), MakeRequest("c"));
  promises.OnArrival(At(5100ms), "c", "e-2", "z", true);
  CHECK(promises.violations().size() == 2);
  promises.OnGatewayDisturbed(At(5200ms), "g", false);
  promises.OnGatewayCalm(At(5300ms), "g");
  promises.OnSent(At(6s), MakeRequest("d"));
  promises.OnArrival(At(6s), "d", "e-1", "z", true);
  CHECK(promises.violations().size() == 2);
}

TEST_CASE(
    "the soak detects a configuration that is not applied in time or reappears after its removal",
    "[promises_test]") {
  Promises promises;
  promises.OnConfiguration(At(0s), 7);
  SoakRequest request{"a", "g", true, 1200ms, 7};
  promises.OnSent(At(2100ms), request);
  promises.OnAnswer(At(2110ms), "a", {404, "a", "", ""});
  CHECK(promises.violations().size() == 1);
  promises.OnConfiguration(At(3s), 8);
  request.id = std::string("b");
  promises.OnSent(At(5100ms), request);
  promises.OnAnswer(At(5110ms), "b", MakeServedAnswer("b"));
  CHECK(promises.violations().size() == 2);
}

}  // namespace
}  // namespace jd
