#include "cluster/permit_issuer.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <vector>

namespace jd {
namespace {

constexpr Duration kWindow = 4s;

struct Fixture {
  PermitDecision Decide(double limit, Priority priority = Priority::kHigh, double share = 1.0) {
    PermitRequest request;
    request.endpoint = EndpointId("e");
    request.limit = CallRate{limit};
    request.priority = priority;
    return issuer.Decide(now, request, share);
  }
  // Requests a permit every millisecond. Returns how many were granted.
  int Grants(Duration time, double limit, Priority priority = Priority::kHigh) {
    int granted = 0;
    for (const MonoTime end = now + time; now < end; now += 1ms) {
      granted += Decide(limit, priority).granted ? 1 : 0;
    }
    return granted;
  }

  MonoTime now = MonoTime() + 100s;
  PermitIssuer issuer;
};

TEST_CASE("permits never exceed the lowest limit in force", "[permit_issuer_test]") {
  // Guards against bursts beyond a limit, whatever the limits are that an endpoint names to each
  // gateway, how they change, and when the requests arrive.
  CHECK(rc::check([] {
    Fixture f;
    const std::vector<double> limits = {0, 0.5, 2.8, 9.6, 40, 1e9};
    const double highest = limits[*rc::gen::inRange<size_t>(0, limits.size() - 1)];
    std::vector<MonoTime> granted;
    for (int i = 0; i < 400; ++i) {
      f.now += Duration(*rc::gen::inRange(0, 60'000));
      const double limit = limits[*rc::gen::inRange<size_t>(0, limits.size())];
      // At least one request of each moment names the limit that is checked.
      f.Decide(highest);
      granted.resize(granted.size() + (f.Decide(limit).granted ? 1 : 0), f.now);
    }
    for (size_t first = 0, last = 0; last < granted.size(); ++last) {
      while (granted[last] - granted[first] >= kWindow) {
        ++first;
      }
      RC_ASSERT(static_cast<double>(last + 1 - first) <= 1.5 * highest * 4 + 5);
    }
  }));
}

TEST_CASE("the whole limit is issued", "[permit_issuer_test]") {
  // Guards against a limit of less than one call a second that never yields a permit.
  for (const double limit : {0.5, 2.8, 15.8}) {
    for (const Priority priority : {Priority::kHigh, Priority::kLow}) {
      Fixture f;
      INFO(limit);
      CHECK(f.Grants(40s, limit, priority) >= static_cast<int>(40 * limit) - 3);
    }
  }
}

TEST_CASE("an endpoint with limit 0 gets no permit", "[permit_issuer_test]") {
  // Guards against permits that were saved before the endpoint stopped to accept calls.
  Fixture f;
  f.Grants(5s, 20);
  f.now += 5s;
  CHECK_FALSE(f.Decide(0).granted);
  CHECK(f.Decide(0).retry_after == PermitIssuer::kMaxRetryAfter);
}

TEST_CASE("a lower limit holds at once, a higher one after the period", "[permit_issuer_test]") {
  // Guards against an endpoint that names a low limit to one gateway and a high one to another.
  Fixture f;
  f.Grants(2s, 1);
  CHECK(f.Grants(PermitIssuer::kLowestLimitPeriod, 100) <= 4);
  CHECK(f.Grants(2s, 100) >= 90);
  f.Decide(1);
  CHECK(f.Grants(900ms, 100) <= 4);
}

TEST_CASE("an issuer that has just taken over begins without permits", "[permit_issuer_test]") {
  // Guards against permits that two issuers grant for the same moment around a takeover.
  Fixture f;
  CHECK_FALSE(f.Decide(100).granted);
}

TEST_CASE("urgent calls get the permits while others wait", "[permit_issuer_test]") {
  // Guards against an urgent kind of call that is served less than a less urgent one.
  Fixture f;
  int urgent = 0;
  int other = 0;
  for (int i = 0; i < 10'000; ++i) {
    f.now += 1ms;
    other += f.Decide(5, Priority::kLow).granted ? 1 : 0;
    urgent += f.Decide(5, Priority::kHigh).granted ? 1 : 0;
  }
  CHECK(urgent >= 45);
  CHECK(other <= 2);
}

TEST_CASE("buckets without requests are removed", "[permit_issuer_test]") {
  // Guards against memory that grows with each endpoint that ever named a limit.
  Fixture f;
  PermitRequest request;
  request.limit = CallRate{5};
  for (int i = 0; i < 1000; ++i) {
    f.now += 1s;
    request.endpoint = EndpointId(std::to_string(i));
    f.issuer.Decide(f.now, request, 1.0);
  }
  CHECK(f.issuer.buckets() < 100);
}

}  // namespace
}  // namespace jd
