#include "policy/policy_variant.h"

#include <catch2/catch.hpp>
#include <map>
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

}  // namespace
}  // namespace jd
