#include "policy/policy_variant.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <stdexcept>

namespace jd {
namespace {

const ServiceId kService("records");

ServiceView View(int usable, int unusable) {
  ServiceView view{kService, {}};
  for (int i = 0; i < usable + unusable; ++i) {
    view.endpoints.push_back({EndpointId("e" + std::to_string(i)), ZoneId("z"), 1, i < usable});
  }
  return view;
}

TEST_CASE("baseline policies never wait and use only usable endpoints", "[policy_variant_test]") {
  for (const char* name : {"round_robin", "least_request", "reported_load"}) {
    INFO(name);
    PolicyVariant policy = PolicyVariant::ByName(name);
    CHECK(policy.name() == name);
    RandomEngine random(1);
    AcquireRequest request{kService, ZoneId("z"), MonoTime(), {}};
    CHECK_FALSE(policy.Acquire(MonoTime(), request, random));
    policy.SetService(MonoTime(), View(2, 2));
    for (int i = 0; i < 50; ++i) {
      const auto endpoint = policy.Acquire(MonoTime(), request, random);
      REQUIRE(endpoint);
      CHECK((endpoint->value == "e0" || endpoint->value == "e1"));
    }
    request.excluded = {EndpointId("e0")};
    CHECK(policy.Acquire(MonoTime(), request, random) == EndpointId("e1"));
    policy.SetService(MonoTime(), View(0, 4));
    CHECK_FALSE(policy.Acquire(MonoTime(), request, random));
  }
  CHECK_THROWS_AS(PolicyVariant::ByName("fastest"), std::invalid_argument);
  CHECK(PolicyVariant::ByName("pooled").get_if<LocalSlots>() != nullptr);
}

TEST_CASE("each baseline policy chooses by its own criterion", "[policy_variant_test]") {
  RandomEngine random(1);
  const AcquireRequest request{kService, ZoneId("z"), MonoTime(), {}};
  SECTION("round robin gives every endpoint the same number of calls") {
    RoundRobin policy;
    policy.SetService(MonoTime(), View(3, 0));
    std::map<EndpointId, int> calls;
    for (int i = 0; i < 30; ++i) {
      ++calls[*policy.Acquire(MonoTime(), request, random)];
    }
    for (const auto& [endpoint, count] : calls) {
      CHECK(count == 10);
    }
    CHECK(calls.size() == 3);
  }
  SECTION("least request avoids the endpoint with requests in flight until it is released") {
    LeastRequest policy;
    policy.SetService(MonoTime(), View(2, 0));
    const EndpointId first = *policy.Acquire(MonoTime(), request, random);
    const EndpointId second = *policy.Acquire(MonoTime(), request, random);
    CHECK(first != second);
    policy.Release(MonoTime(), second, AttemptResult());
    CHECK(*policy.Acquire(MonoTime(), request, random) == second);
  }
  SECTION("reported load avoids the endpoint that reported more busy slots") {
    ReportedLoad policy;
    policy.SetService(MonoTime(), View(2, 0));
    LoadReport report;
    report.in_flight = 1;
    report.slots = 4;
    policy.OnLoadReport(MonoTime(), EndpointId("e0"), report);
    for (int i = 0; i < 10; ++i) {
      CHECK(*policy.Acquire(MonoTime(), request, random) == EndpointId("e1"));
    }
  }
}

// Services, their endpoints as the policy was last told, and the calls in flight.
struct PolicyModel {
  explicit PolicyModel(const std::string& name) : policy(MakePolicy(name)) {}

  static PolicyVariant MakePolicy(const std::string& name) {
    if (name != SlotHolder::kName) {
      return PolicyVariant::ByName(name);
    }
    SlotHolder holder(GatewayId("g"), ZoneId("z"), Incarnation(1));
    holder.SetRoster(MonoTime(), {GatewayId("g")});  // Its reserve is every slot.
    return PolicyVariant(std::move(holder));
  }

  // Moves an endpoint to a service. Until the service that it leaves is reported as well, the
  // policy knows it in both.
  void Move(const EndpointId& endpoint, const ServiceId& to) {
    for (auto& [id, endpoints] : listed) {
      endpoints.erase(endpoint);
    }
    listed[to].insert(endpoint);
  }
  void Report(const ServiceId& service) {
    ServiceView view{service, {}};
    for (const EndpointId& endpoint : listed[service]) {
      view.endpoints.push_back({endpoint, ZoneId("z"), 2, true});
    }
    reported[service] = listed[service];
    policy.SetService(now, view);
  }
  void Remove(const ServiceId& service) {
    listed.erase(service);
    reported.erase(service);
    policy.RemoveService(now, service);
  }
  void Call(const ServiceId& service) {
    AcquireRequest request{service, ZoneId("z"), now + 10s, now + 5s};
    request.usual_service_time = 100ms;
    for (const EndpointId& endpoint : policy.ChooseProbeTargets(now, request, 0, random)) {
      RC_ASSERT(reported[service].contains(endpoint));
      ProbeResult result;
      result.endpoint = endpoint;
      result.answered = true;
      result.status = 200;
      result.report = LoadReport();
      result.report->slots = 2;
      policy.OnProbeResult(now, result);
    }
    const std::optional<EndpointId> endpoint = policy.Acquire(now, request, random);
    if (endpoint) {
      RC_ASSERT(reported[service].contains(*endpoint));
      in_flight.push_back(*endpoint);
    }
  }
  void End() {
    if (in_flight.empty()) {
      return;
    }
    AttemptResult result;
    result.outcome = AttemptOutcome::kAnswered;
    result.status = 200;
    policy.Release(now, in_flight.front(), result);
    in_flight.erase(in_flight.begin());
  }

  MonoTime now = MonoTime() + 10s;
  RandomEngine random{1};
  PolicyVariant policy;
  std::map<ServiceId, std::set<EndpointId>> listed;
  std::map<ServiceId, std::set<EndpointId>> reported;
  std::vector<EndpointId> in_flight;
};

TEST_CASE("an endpoint may move between services at any moment", "[policy_variant_test]") {
  // Guards against a gateway that ends, with every call in flight, when an endpoint starts again
  // under its id in another service.
  const std::string name =
      GENERATE("fresh_load", "slots", "round_robin", "least_request", "reported_load", "pooled");
  INFO(name);
  CHECK(rc::check([&name] {
    PolicyModel model(name);
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      model.now += std::chrono::milliseconds(*rc::gen::inRange(0, 500));
      const EndpointId endpoint("e" + std::to_string(*rc::gen::inRange(0, 4)));
      const ServiceId service("s" + std::to_string(*rc::gen::inRange(0, 3)));
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          model.Move(endpoint, service);
          break;
        case 1:
        case 2:
          model.Report(service);
          break;
        case 3:
          model.Call(service);
          break;
        case 4:
          model.End();
          break;
        default:
          if (*rc::gen::inRange(0, 4) == 0) {
            model.Remove(service);
          }
      }
    }
  }));
}

}  // namespace
}  // namespace jd
