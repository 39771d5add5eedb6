#include "policy/permit_waits.h"

#include <catch2/catch.hpp>

#include "policy/dispatcher.h"
#include "policy/fresh_load.h"

namespace jd {
namespace {

// A dispatcher with two endpoints that name a limit.
struct Fixture {
  Fixture() {
    Profile profile;
    profile.id = ProfileId("p");
    profile.deadline = 2s;
    Service service;
    service.id = ServiceId("s");
    service.profile = profile.id;
    ServiceView view{service.id, {}};
    for (const std::string id : {"a", "b"}) {
      service.endpoints.push_back({EndpointId(id), ZoneId("z"), "", 0, 4, 0});
      view.endpoints.push_back({EndpointId(id), ZoneId("z"), 4, true});
    }
    auto configuration = std::make_shared<Configuration>();
    configuration->profiles[profile.id] = profile;
    configuration->services[service.id] = service;
    dispatcher.SetConfiguration(now, configuration);
    dispatcher.SetService(now, view);
    policy.SetService(now, view);
  }
  void StartCall() {
    CallRequest request;
    request.id = CallId(++calls);
    request.service = ServiceId("s");
    request.method = "POST";
    request.path = "/";
    request.fingerprint = Fingerprint(calls);
    actions.clear();
    dispatcher.OnCall(now, request, &actions);
  }
  void AnswerProbe(const std::string& endpoint, int slowdown_percent, double limit = 5) {
    ProbeResult result;
    result.endpoint = EndpointId(endpoint);
    result.answered = true;
    result.status = 200;
    result.report = LoadReport();
    result.report->slowdown_percent = slowdown_percent;
    result.report->slots = 4;
    result.report->limit.rate = CallRate{limit};
    dispatcher.OnProbeResult(now, result, &actions);
  }
  void Decide(const std::string& endpoint, bool granted) {
    actions.clear();
    dispatcher.OnPermitDecision(now, CallId(calls), EndpointId(endpoint), {granted, 400ms},
                                &actions);
  }
  void PassTime(Duration time) {
    now += time;
    actions.clear();
    dispatcher.OnTimer(now, &actions);
  }
  // Returns the endpoint of the latest action of this type, or "none".
  template <typename Action>
  std::string EndpointOf() const {
    std::string endpoint = "none";
    for (const CallAction& action : actions) {
      if (const auto* found = std::get_if<Action>(&action)) {
        endpoint = found->endpoint.value;
      }
    }
    return endpoint;
  }
  const RefuseCall* Refusal() const {
    for (const CallAction& action : actions) {
      if (const auto* refuse = std::get_if<RefuseCall>(&action)) {
        return refuse;
      }
    }
    return nullptr;
  }

  MonoTime now = MonoTime() + 100s;
  FreshLoad policy;
  Dispatcher<FreshLoad> dispatcher{ZoneId("z"), &policy, 1};
  CallActions actions;
  uint64_t calls = 0;
};

TEST_CASE("a call is sent to an endpoint with a limit only with a permit", "[permit_waits_test]") {
  // Guards against calls that exceed the limit which an endpoint names for all gateways together.
  Fixture f;
  f.StartCall();
  f.AnswerProbe("b", 150);
  f.AnswerProbe("a", 100);
  CHECK(f.EndpointOf<RequestPermit>() == "a");
  CHECK(f.EndpointOf<SendAttempt>() == "none");
  f.Decide("b", true);
  CHECK(f.EndpointOf<SendAttempt>() == "none");
  f.Decide("a", true);
  CHECK(f.EndpointOf<SendAttempt>() == "a");
  f.Decide("a", true);
  CHECK(f.EndpointOf<SendAttempt>() == "none");
}

TEST_CASE("a call whose permit is refused goes to another endpoint", "[permit_waits_test]") {
  // Guards against a refusal of a call that another endpoint accepts.
  Fixture f;
  f.StartCall();
  f.AnswerProbe("b", 150);
  f.AnswerProbe("a", 100);
  f.Decide("a", false);
  CHECK(f.EndpointOf<RequestPermit>() == "b");
  f.Decide("b", true);
  CHECK(f.EndpointOf<SendAttempt>() == "b");
}

TEST_CASE("without a permit anywhere a call is refused at once", "[permit_waits_test]") {
  // Guards against callers that wait for their deadline although no endpoint may take the call.
  Fixture f;
  f.StartCall();
  f.AnswerProbe("b", 150);
  f.AnswerProbe("a", 100);
  f.Decide("a", false);
  f.Decide("b", false);
  REQUIRE(f.Refusal() != nullptr);
  CHECK(f.Refusal()->refusal.verdict == Verdict::kNotRun);
  CHECK(f.Refusal()->refusal.reason == RefusalReason::kOverload);
  CHECK(f.Refusal()->refusal.retry_after > Duration(0));
  // Until a permit may be free, further calls are refused without probes.
  f.StartCall();
  CHECK(f.EndpointOf<SendProbe>() == "none");
  CHECK(f.Refusal() != nullptr);
  f.now += 400ms;
  f.StartCall();
  CHECK(f.EndpointOf<SendProbe>() != "none");
}

TEST_CASE("a request for a permit without a reply does not hold a call up", "[permit_waits_test]") {
  // Guards against calls that wait for a gateway which is down, and against a late permit that
  // sends a call a second time.
  Fixture f;
  f.StartCall();
  f.AnswerProbe("b", 150);
  f.AnswerProbe("a", 100);
  REQUIRE(f.dispatcher.next_timer());
  CHECK(*f.dispatcher.next_timer() <= f.now + PermitWaits::kTimeout);
  f.PassTime(PermitWaits::kTimeout);
  CHECK(f.EndpointOf<SendAttempt>() == "none");
  CHECK(f.dispatcher.permit_counts().unanswered == 1);
  f.Decide("a", true);
  CHECK(f.EndpointOf<SendAttempt>() == "none");
}

TEST_CASE("endpoints are probed again after a request for a permit without a reply",
          "[permit_waits_test]") {
  // Guards against a refusal although an endpoint of the same zone has room: its load report is
  // older than allowed once the wait has ended.
  Fixture f;
  f.StartCall();
  f.AnswerProbe("b", 150);
  f.AnswerProbe("a", 100);
  f.PassTime(PermitWaits::kTimeout);
  CHECK(f.Refusal() == nullptr);
  CHECK(f.EndpointOf<SendProbe>() == "b");
  f.AnswerProbe("b", 100);
  CHECK(f.EndpointOf<RequestPermit>() == "b");
  f.PassTime(PermitWaits::kTimeout);
  // No endpoint is left.
  CHECK(f.Refusal() != nullptr);
  CHECK(f.dispatcher.calls() == 0);
}

TEST_CASE("a permit that arrives after a pause of the process is not used", "[permit_waits_test]") {
  // Guards against a gateway that acts on a permit which another gateway issued seconds ago: the
  // reply may be handled before the timer of the wait.
  Fixture f;
  f.StartCall();
  f.AnswerProbe("b", 150);
  f.AnswerProbe("a", 100);
  f.now += PermitWaits::kTimeout;
  f.Decide("a", true);
  CHECK(f.EndpointOf<SendAttempt>() == "none");
  CHECK(f.dispatcher.permit_counts().granted == 0);
  CHECK(f.dispatcher.permit_counts().unanswered == 1);
}

TEST_CASE("a call that ends while it waits for a permit is not sent", "[permit_waits_test]") {
  // Guards against requests that run after their caller has left.
  Fixture f;
  f.StartCall();
  f.AnswerProbe("b", 150);
  f.AnswerProbe("a", 100);
  f.dispatcher.OnCallerGone(f.now, CallId(f.calls), &f.actions);
  f.Decide("a", true);
  CHECK(f.actions.empty());
  CHECK(f.dispatcher.calls() == 0);
}

TEST_CASE("a limit that no gateway reaches needs no permits", "[permit_waits_test]") {
  // Guards against messages between gateways for each call because of a meaningless limit.
  Fixture f;
  f.StartCall();
  f.AnswerProbe("a", 100, 1e9);
  CHECK(f.EndpointOf<SendAttempt>() == "a");
}

}  // namespace
}  // namespace jd
