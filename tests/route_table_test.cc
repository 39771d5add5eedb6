#include "common/route_table.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <limits>

namespace jd {
namespace {

Route MakeRoute(const std::string& host, const std::string& prefix) {
  Route route;
  route.id = RouteId(host + prefix);
  route.host = host;
  route.prefix = prefix;
  route.targets = {{ServiceId("s"), 1.0}};
  return route;
}

std::string FindRouteId(const RouteTable& table,
                        const std::string& host,
                        const std::string& target) {
  const Route* route = table.Find(host, target);
  return route == nullptr ? "none" : route->id.value;
}

TEST_CASE("the route of the host with the longest matching prefix is chosen",
          "[route_table_test]") {
  // Guards against sending a call to the service of a shorter prefix or of another host.
  const RouteTable table({MakeRoute("a.example", "/x/"), MakeRoute("a.example", "/x/y/"),
                          MakeRoute("b.example", "/"), MakeRoute("a.example", "/xy/")});
  CHECK(FindRouteId(table, "a.example", "/x/1") == "a.example/x/");
  CHECK(FindRouteId(table, "a.example", "/x/y/1") == "a.example/x/y/");
  CHECK(FindRouteId(table, "a.example", "/x/y") == "a.example/x/");
  CHECK(FindRouteId(table, "a.example", "/xy/1") == "a.example/xy/");
  CHECK(FindRouteId(table, "a.example", "/x") == "none");
  CHECK(FindRouteId(table, "a.example", "/z/") == "none");
  CHECK(FindRouteId(table, "b.example", "/x/1") == "b.example/");
  CHECK(FindRouteId(table, "c.example", "/x/1") == "none");
}

TEST_CASE("the case and port of the host and the query are ignored", "[route_table_test]") {
  const RouteTable table({MakeRoute("a.example", "/x/")});
  CHECK(FindRouteId(table, "A.Example:8080", "/x/1") == "a.example/x/");
  CHECK(FindRouteId(table, "a.example", "/x/1?to=/x/y/") == "a.example/x/");
  CHECK(FindRouteId(table, "a.example", "/y?to=/x/1") == "none");
  CHECK(FindRouteId(table, "", "/x/1") == "none");
}

TEST_CASE("no matching prefix is longer than that of the chosen route", "[route_table_test]") {
  CHECK(rc::check([] {
    const auto segment = rc::gen::elementOf(std::string("abc"));
    std::vector<Route> routes;
    for (const auto& segments :
         *rc::gen::container<std::vector<std::string>>(rc::gen::container<std::string>(segment))) {
      std::string prefix = "/";
      for (const char c : segments) {
        prefix += std::string(1, c) + "/";
      }
      routes.push_back(MakeRoute("h", prefix));
    }
    std::string path = "/";
    for (const char c : *rc::gen::container<std::string>(segment)) {
      path += std::string(1, c) + "/";
    }
    std::string longest = "none";
    for (const Route& route : routes) {
      if (path.starts_with(route.prefix) &&
          (longest == "none" || route.id.value.size() > longest.size())) {
        longest = route.id.value;
      }
    }
    const RouteTable table(routes);
    RC_ASSERT(FindRouteId(table, "h", path + "leaf") == longest);
  }));
}

TEST_CASE("calls are split in proportion to the weights", "[route_table_test]") {
  // Guards against a traffic split that deviates from the configured weights.
  Route route = MakeRoute("h", "/");
  route.targets = {{ServiceId("a"), 90}, {ServiceId("b"), 10}};
  int b = 0;
  constexpr int kDraws = 10000;
  for (int i = 0; i < kDraws; ++i) {
    // Draws from the middle of kDraws equal intervals, so that none lies on the boundary of a
    // weight.
    const uint64_t part = std::numeric_limits<uint64_t>::max() / kDraws;
    const uint64_t draw = part * static_cast<uint64_t>(i) + part / 2;
    b += ChooseTarget(route, draw) == ServiceId("b") ? 1 : 0;
  }
  CHECK(b == kDraws / 10);
  CHECK(ChooseTarget(route, std::numeric_limits<uint64_t>::max()) == ServiceId("b"));
}

}  // namespace
}  // namespace jd
