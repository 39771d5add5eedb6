#include "cluster/endpoint_directory.h"

#include <catch2/catch.hpp>
#include <memory>

namespace jd {
namespace {

ConfigurationPtr TwoZones() {
  auto configuration = std::make_shared<Configuration>();
  Service service;
  service.id = ServiceId("records");
  for (const char* zone : {"gasabo", "kicukiro"}) {
    Endpoint endpoint;
    endpoint.id = EndpointId(std::string("records/") + zone);
    endpoint.zone = ZoneId(zone);
    service.endpoints.push_back(endpoint);
  }
  configuration->services[service.id] = service;
  return configuration;
}

TEST_CASE("an endpoint that is leaving or whose zone is out of service gets no new calls",
          "[endpoint_directory_test]") {
  EndpointDirectory directory;
  directory.SetConfiguration(TwoZones());
  REQUIRE(directory.TakeChanges().services.size() == 1);
  CHECK(directory.TakeChanges().services.empty());

  directory.SetZonesOut({ZoneId("gasabo")});
  auto changes = directory.TakeChanges();
  REQUIRE(changes.services.size() == 1);
  CHECK_FALSE(changes.services[0].endpoints[0].usable);
  CHECK(changes.services[0].endpoints[1].usable);

  CHECK(directory.SetLeaving(EndpointId("records/kicukiro"), true));
  CHECK_FALSE(directory.SetLeaving(EndpointId("records/kicukiro"), true));
  CHECK_FALSE(directory.SetLeaving(EndpointId("unknown"), true));
  changes = directory.TakeChanges();
  REQUIRE(changes.services.size() == 1);
  CHECK_FALSE(changes.services[0].endpoints[1].usable);
}

TEST_CASE("a service that is no longer configured is reported as removed",
          "[endpoint_directory_test]") {
  EndpointDirectory directory;
  directory.SetConfiguration(TwoZones());
  directory.TakeChanges();
  directory.SetConfiguration(std::make_shared<Configuration>());
  CHECK(directory.TakeChanges().removed == std::vector<ServiceId>{ServiceId("records")});
  CHECK(directory.FindEndpoint(EndpointId("records/gasabo")) == nullptr);
}

}  // namespace
}  // namespace jd
