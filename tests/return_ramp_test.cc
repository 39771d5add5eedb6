#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "policy/dispatcher.h"
#include "policy/endpoint_statements.h"
#include "policy/fresh_load.h"

namespace jd {
namespace {

const EndpointId kEndpoint("e");
const ServiceId kService("s");
const ZoneId kZone("z");
constexpr MonoTime kTold(100s);
constexpr Duration kWantsNothing = 3s;
constexpr Duration kCallInterval = 100ms;

// One gateway that was told that the only endpoint of its service wants nothing.
class ReturningGateway {
 public:
  ReturningGateway(size_t index, size_t counted_gateways)
      : statements_(GatewayId("g" + std::to_string(index))), dispatcher_(kZone, &policy_, index) {
    dispatcher_.SetConfiguration(kTold, MakeConfiguration());
    statements_.SetGatewayCount(counted_gateways);
    UpstreamStatement statement;
    statement.wants_nothing_for = kWantsNothing;
    statements_.OnStatement(kTold, kEndpoint, Incarnation(1), statement);
    SetView(kTold);
  }

  // Passes a call on to the dispatcher. Returns the number of requests that reach the endpoint.
  int Call(MonoTime now, uint64_t id) {
    statements_.RemoveEnded(now);
    SetView(now);
    CallRequest request;
    request.id = CallId(id);
    request.request_id = RequestId("r" + std::to_string(id));
    request.service = kService;
    request.method = "GET";
    request.fingerprint = Fingerprint(id);
    CallActions actions;
    dispatcher_.OnCall(now, request, &actions);
    int sent = 0;
    for (const CallAction& action : actions) {
      sent += std::holds_alternative<SendProbe>(action) ? 1 : 0;
      if (const auto* refuse = std::get_if<RefuseCall>(&action)) {
        refusals_.push_back(refuse->refusal);
      }
    }
    return sent;
  }
  const std::vector<Refusal>& refusals() const { return refusals_; }

 private:
  static ConfigurationPtr MakeConfiguration() {
    Configuration configuration;
    Profile profile;
    profile.id = ProfileId("p");
    Service service;
    service.id = kService;
    service.profile = profile.id;
    Endpoint endpoint;
    endpoint.id = kEndpoint;
    endpoint.zone = kZone;
    service.endpoints = {endpoint};
    configuration.profiles[profile.id] = profile;
    configuration.services[service.id] = service;
    return std::make_shared<const Configuration>(configuration);
  }
  void SetView(MonoTime now) {
    EndpointView view{kEndpoint, kZone, 4};
    const auto held = statements_.held();
    if (!held.empty()) {
      view.usable = false;
      view.hold = held.begin()->second.reason;
      view.held_until = held.begin()->second.until;
    }
    policy_.SetService(now, {kService, {view}});
    dispatcher_.SetService(now, {kService, {view}});
  }

  EndpointStatements statements_;
  FreshLoad policy_;
  Dispatcher<FreshLoad> dispatcher_;
  std::vector<Refusal> refusals_;
};

struct Arrivals {
  int before_the_end = 0;
  int in_the_first_100ms = 0;
  int in_two_seconds = 0;
  Duration earliest_retry = 1min;
  Duration latest_retry{0};
};

// Lets each gateway get a call every 100 ms, at different moments.
Arrivals Simulate(size_t gateways, size_t counted_gateways) {
  std::vector<std::unique_ptr<ReturningGateway>> all;
  for (size_t i = 0; i < gateways; ++i) {
    all.push_back(std::make_unique<ReturningGateway>(i, counted_gateways));
  }
  Arrivals arrivals;
  const MonoTime end = kTold + kWantsNothing;
  uint64_t call = 0;
  for (MonoTime now = end - 1s; now < end + 2s; now += 1ms) {
    for (size_t i = 0; i < gateways; ++i) {
      const auto phase = Duration(kCallInterval.count() * static_cast<int64_t>(i) /
                                  static_cast<int64_t>(gateways));
      if (std::chrono::floor<std::chrono::milliseconds>(now - kTold - phase) % kCallInterval !=
          Duration(0)) {
        continue;
      }
      const size_t refused = all[i]->refusals().size();
      const int sent = all[i]->Call(now, ++call);
      arrivals.before_the_end += now < end ? sent : 0;
      arrivals.in_the_first_100ms += now >= end && now < end + 100ms ? sent : 0;
      arrivals.in_two_seconds += now >= end ? sent : 0;
      if (all[i]->refusals().size() > refused && now < end) {
        const Duration retry = now + all[i]->refusals().back().retry_after - end;
        arrivals.earliest_retry = std::min(arrivals.earliest_retry, retry);
        arrivals.latest_retry = std::max(arrivals.latest_retry, retry);
      }
    }
  }
  return arrivals;
}

TEST_CASE("300 gateways return to an endpoint in a ramp", "[return_ramp_test]") {
  // Guards against a herd at the end of the time that an endpoint named to all gateways at once.
  const Arrivals herd = Simulate(300, 1);
  const Arrivals ramp = Simulate(300, 300);
  CAPTURE(herd.in_the_first_100ms, ramp.in_the_first_100ms, ramp.in_two_seconds);
  CHECK(herd.before_the_end == 0);
  CHECK(ramp.before_the_end == 0);
  CHECK(herd.in_the_first_100ms == 300);
  CHECK(ramp.in_the_first_100ms <= 45);
  CHECK(ramp.in_two_seconds >= 300);
}

TEST_CASE("refused callers come back after the return, not all at once", "[return_ramp_test]") {
  // Guards against callers that come back before the endpoint does, and all at its return.
  const Arrivals arrivals = Simulate(17, 17);
  CHECK(arrivals.earliest_retry >= 0s);
  CHECK(arrivals.latest_retry - arrivals.earliest_retry >= 50ms);
}

}  // namespace
}  // namespace jd
