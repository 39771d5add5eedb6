#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "policy/dispatcher.h"
#include "policy/fresh_load.h"

namespace jd {
namespace {

constexpr MonoTime kNow(100s);
const EndpointId kEndpoint("e");
const ServiceId kService("s");

ConfigurationPtr MakeConfiguration() {
  Configuration configuration;
  Profile profile;
  profile.id = ProfileId("p");
  Service service;
  service.id = kService;
  service.profile = profile.id;
  Endpoint endpoint;
  endpoint.id = kEndpoint;
  endpoint.zone = ZoneId("z");
  service.endpoints = {endpoint};
  configuration.profiles[profile.id] = profile;
  configuration.services[service.id] = service;
  return std::make_shared<const Configuration>(configuration);
}

// Lets a call wait for a permit, then applies `hold` to the endpoint and grants the permit.
// Returns the number of attempts that are sent.
size_t AttemptsAfterPermit(EndpointHold hold) {
  FreshLoad policy;
  Dispatcher<FreshLoad> dispatcher(ZoneId("z"), &policy, 1);
  EndpointView view{kEndpoint, ZoneId("z"), 4};
  const auto apply = [&] {
    policy.SetService(kNow, {kService, {view}});
    dispatcher.SetService(kNow, {kService, {view}});
  };
  dispatcher.SetConfiguration(kNow, MakeConfiguration());
  apply();
  CallRequest request;
  request.id = CallId(1);
  request.service = kService;
  request.method = "GET";
  CallActions actions;
  dispatcher.OnCall(kNow, request, &actions);
  ProbeResult probe;
  probe.endpoint = kEndpoint;
  probe.answered = true;
  probe.status = 200;
  probe.report = LoadReport();
  probe.report->slots = 4;
  probe.report->limit.rate = CallRate{2};
  dispatcher.OnProbeResult(kNow, probe, &actions);
  const auto count = [&](auto is_match) {
    return static_cast<size_t>(std::count_if(actions.begin(), actions.end(), is_match));
  };
  REQUIRE(count([](const CallAction& action) {
            return std::holds_alternative<RequestPermit>(action);
          }) == 1);
  view.hold = hold;
  view.usable = hold == EndpointHold::kNone;
  view.held_until = kNow + 1s;
  apply();
  dispatcher.OnPermitDecision(kNow, request.id, kEndpoint, {true, Duration(0)}, &actions);
  return count(
      [](const CallAction& action) { return std::holds_alternative<SendAttempt>(action); });
}

TEST_CASE("a permit is not used for an endpoint that is held back meanwhile",
          "[held_permit_test]") {
  // Guards against a path to an endpoint that passes by the choice of endpoints: the permit was
  // requested before the endpoint said that it leaves or wants nothing.
  CHECK(AttemptsAfterPermit(EndpointHold::kNone) == 1);
  CHECK(AttemptsAfterPermit(EndpointHold::kLeaving) == 0);
  CHECK(AttemptsAfterPermit(EndpointHold::kWantsNothing) == 0);
  CHECK(AttemptsAfterPermit(EndpointHold::kZoneOut) == 0);
}

}  // namespace
}  // namespace jd
