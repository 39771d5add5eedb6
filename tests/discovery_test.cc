#include <catch2/catch.hpp>

#include "cluster/catalog.h"
#include "cluster/gateway_registry.h"
#include "cluster/table_handoff.h"
#include "common/route_table.h"

namespace jd {
namespace {

OperatorConfiguration MakeOperatorConfiguration(uint64_t version, const std::string& host) {
  OperatorConfiguration configuration;
  configuration.version = ConfigVersion(version);
  Route route;
  route.id = RouteId("r");
  route.host = host;
  route.prefix = "/";
  route.targets = {{ServiceId("s"), 1.0}};
  configuration.routes.push_back(route);
  Service service;
  service.id = ServiceId("s");
  configuration.services.push_back(service);
  return configuration;
}

EndpointRecord MakeEndpointRecord(const std::string& id, bool leaving = false) {
  EndpointRecord record;
  record.endpoint.id = EndpointId(id);
  record.endpoint.zone = ZoneId("z");
  record.service = ServiceId("s");
  record.leaving = leaving;
  return record;
}

DiscoveryUpdate MakeCompleteUpdate(uint64_t version, std::vector<EndpointRecord> endpoints) {
  DiscoveryUpdate update;
  update.configuration = MakeOperatorConfiguration(version, "h" + std::to_string(version));
  update.endpoints = std::move(endpoints);
  update.endpoints_known = true;
  return update;
}

size_t EndpointCount(const Catalog& catalog) {
  return catalog.configuration()->services.at(ServiceId("s")).endpoints.size();
}

TEST_CASE("an older version of the configuration is ignored", "[discovery_test]") {
  Catalog catalog;
  CHECK(catalog.Apply(MakeCompleteUpdate(7, {MakeEndpointRecord("e")})));
  DiscoveryUpdate older;
  older.configuration = MakeOperatorConfiguration(5, "h5");
  CHECK_FALSE(catalog.Apply(older));
  CHECK(catalog.configuration()->routes->Find("h7", "/") != nullptr);
  CHECK(catalog.configuration()->routes->Find("h5", "/") == nullptr);
}

TEST_CASE("another configuration of the same version replaces the active one", "[discovery_test]") {
  // Guards against a configuration that is never in force because one that the store has lost had
  // its version.
  Catalog catalog;
  catalog.Apply(MakeCompleteUpdate(7, {MakeEndpointRecord("e")}));
  DiscoveryUpdate other;
  other.configuration = MakeOperatorConfiguration(7, "other");
  CHECK_FALSE(catalog.Apply(other));
  other.configuration->content = Fingerprint(1);
  CHECK(catalog.Apply(other));
  CHECK(catalog.configuration()->routes->Find("other", "/") != nullptr);
  CHECK_FALSE(catalog.Apply(other));
}

TEST_CASE("discovery is complete once configuration and endpoints are known", "[discovery_test]") {
  // Guards against a gateway that reports ready before it knows its routes, and responds with 404.
  Catalog catalog;
  DiscoveryUpdate endpoints;
  endpoints.endpoints = {MakeEndpointRecord("e")};
  endpoints.endpoints_known = true;
  catalog.Apply(endpoints);
  CHECK(catalog.configuration() == nullptr);
  CHECK_FALSE(catalog.complete());
  DiscoveryUpdate configuration;
  configuration.configuration = MakeOperatorConfiguration(1, "h");
  catalog.Apply(configuration);
  CHECK(catalog.complete());
  CHECK(EndpointCount(catalog) == 1);
}

TEST_CASE("an endpoint that is leaving or removed is not in the configuration",
          "[discovery_test]") {
  Catalog catalog;
  catalog.Apply(MakeCompleteUpdate(1, {MakeEndpointRecord("a"), MakeEndpointRecord("b")}));
  DiscoveryUpdate update;
  update.endpoints = {MakeEndpointRecord("a", true)};
  CHECK(catalog.Apply(update));
  CHECK(EndpointCount(catalog) == 1);
  DiscoveryUpdate gone;
  gone.removed = {EndpointId("b")};
  CHECK(catalog.Apply(gone));
  CHECK(EndpointCount(catalog) == 0);
  CHECK_FALSE(catalog.Apply(gone));
}

TEST_CASE("a zone that operators take out stays out until they bring it in", "[discovery_test]") {
  Catalog catalog;
  catalog.Apply(MakeCompleteUpdate(1, {MakeEndpointRecord("a")}));
  DiscoveryUpdate out;
  out.zones_out = std::set<ZoneId>{ZoneId("z")};
  catalog.Apply(out);
  CHECK(catalog.configuration()->zones.at(ZoneId("z")).state == ZoneState::kOut);
  DiscoveryUpdate in;
  in.zones_out = std::set<ZoneId>();
  catalog.Apply(in);
  CHECK(catalog.configuration()->zones.at(ZoneId("z")).state == ZoneState::kIn);
}

TEST_CASE("an endpoint that leaves does not serve again in the same run", "[discovery_test]") {
  // Guards against calls to an endpoint that leaves because a copy of the store shows an earlier
  // state of it.
  EndpointRecord record = MakeEndpointRecord("e");
  record.incarnation = Incarnation(GENERATE(0, 7));
  EndpointRecord leaving = record;
  leaving.leaving = true;
  Catalog catalog;
  catalog.Apply(MakeCompleteUpdate(1, {record}));
  CHECK(EndpointCount(catalog) == 1);
  DiscoveryUpdate update;
  update.endpoints = {leaving};
  catalog.Apply(update);
  CHECK(EndpointCount(catalog) == 0);
  SECTION("an earlier state of the run") {
    update.endpoints = {record};
    catalog.Apply(update);
    // Without the start of the run the states cannot be told apart.
    CHECK(EndpointCount(catalog) == (record.incarnation == Incarnation() ? 1 : 0));
  }
  SECTION("an earlier run") {
    update.endpoints[0].incarnation = Incarnation(7);
    catalog.Apply(update);
    update.endpoints = {record};
    update.endpoints[0].incarnation = Incarnation(6);
    catalog.Apply(update);
    CHECK(EndpointCount(catalog) == 0);
  }
  SECTION("the next run") {
    update.endpoints = {record};
    update.endpoints[0].incarnation = Incarnation(8);
    catalog.Apply(update);
    CHECK(EndpointCount(catalog) == 1);
  }
}

Vm MakeGatewayVm(const std::string& name, const std::string& address = "10.0.0.1") {
  Vm vm;
  vm.name = name;
  vm.role = VmRole::kGateway;
  vm.zone = ZoneId("z");
  vm.address = address;
  vm.port = 1;
  return vm;
}

TEST_CASE("a gateway of a new deployment writes its row, then reads the list of gateways",
          "[discovery_test]") {
  // Guards against two gateways that start at the same time and do not find each other.
  const MonoTime start = MonoTime() + 1s;
  GatewayRegistry registry(MakeGatewayVm("g"), true, 1);
  registry.Start(start);
  CHECK(registry.NextCall(start) == GatewayRegistry::Call::kWrite);
  CHECK_FALSE(registry.NextCall(start));
  registry.OnRowWritten(start);
  CHECK_FALSE(registry.NextCall(start));
  CHECK_FALSE(registry.NextCall(start + GatewayRegistry::kReadDelay - 1us));
  const MonoTime later = start + GatewayRegistry::kReadDelay + GatewayRegistry::kReadSpread;
  CHECK(registry.NextCall(later) == GatewayRegistry::Call::kRead);
  registry.OnGatewayPage(later, {MakeGatewayVm("other"), MakeGatewayVm("g"), MakeGatewayVm("late")},
                         StoreEra(1));
  CHECK_FALSE(registry.next_timer());
  CHECK(registry.gateways().size() == 3);
}

TEST_CASE("a gateway that is not listed at its address writes its row again", "[discovery_test]") {
  const MonoTime start = MonoTime() + 1s;
  GatewayRegistry registry(MakeGatewayVm("g"), true, 1);
  registry.Start(start);
  registry.NextCall(start);
  registry.OnRowWritten(start);
  const MonoTime later = start + GatewayRegistry::kReadDelay + GatewayRegistry::kReadSpread;
  registry.NextCall(later);
  registry.OnGatewayPage(later, {MakeGatewayVm("other"), MakeGatewayVm("g", "10.0.0.9")},
                         StoreEra(1));
  CHECK(registry.NextCall(later) == GatewayRegistry::Call::kWrite);
  registry.OnRowWritten(later);
  CHECK(registry.NextCall(later + GatewayRegistry::kReadDelay + GatewayRegistry::kReadSpread) ==
        GatewayRegistry::Call::kRead);
}

TEST_CASE("the list shows whether a write without a reply took effect", "[discovery_test]") {
  const MonoTime start = MonoTime() + 1s;
  GatewayRegistry registry(MakeGatewayVm("g"), true, 1);
  registry.Start(start);
  registry.NextCall(start);
  registry.OnCallFailed(start);
  CHECK_FALSE(registry.NextCall(start));
  const MonoTime later = start + GatewayRegistry::kRetryDelay;
  CHECK(registry.NextCall(later) == GatewayRegistry::Call::kRead);
  const bool written = GENERATE(false, true);
  registry.OnGatewayPage(later, written ? VmList{MakeGatewayVm("g")} : VmList{}, StoreEra(1));
  CHECK(registry.next_timer().has_value() == !written);
}

TEST_CASE("a restarted gateway asks its peers for the list before it reads the list",
          "[discovery_test]") {
  // Guards against two calls to the store for each restart, which the store prices.
  const MonoTime start = MonoTime() + 1s;
  GatewayRegistry registry(MakeGatewayVm("g"), false, 1);
  registry.Start(start);
  const MonoTime asked = registry.next_timer().value();
  CHECK(asked <= start + GatewayRegistry::kReadSpread);
  CHECK(registry.NextCall(asked) == GatewayRegistry::Call::kAskPeers);
  SECTION("a peer answers") {
    CHECK(registry.OnPeerList({MakeGatewayVm("g"), MakeGatewayVm("o")}, StoreEra(1)));
    CHECK_FALSE(registry.next_timer());
  }
  SECTION("no peer answers") {
    CHECK_FALSE(registry.NextCall(asked + GatewayRegistry::kPeerReplyTimeout - 1us));
    const MonoTime later = asked + GatewayRegistry::kPeerReplyTimeout;
    CHECK(registry.NextCall(later) == GatewayRegistry::Call::kRead);
    const bool listed = GENERATE(true, false);
    registry.OnGatewayPage(later, listed ? VmList{MakeGatewayVm("g")} : VmList{MakeGatewayVm("o")},
                           StoreEra(1));
    CHECK((registry.NextCall(later) == GatewayRegistry::Call::kWrite) == !listed);
  }
}

TEST_CASE("a list that a peer has read replaces the read only if it has this gateway",
          "[discovery_test]") {
  // Guards against a gateway that no other gateway finds, because a list from before its own row
  // was written kept it from reading the list.
  const MonoTime start = MonoTime() + 1s;
  GatewayRegistry registry(MakeGatewayVm("g"), true, 1);
  registry.Start(start);
  registry.NextCall(start);
  registry.OnRowWritten(start);
  CHECK_FALSE(registry.OnPeerList({MakeGatewayVm("other")}, StoreEra(1)));
  CHECK(registry.next_timer());
  CHECK(registry.OnPeerList({MakeGatewayVm("other"), MakeGatewayVm("g")}, StoreEra(1)));
  CHECK_FALSE(registry.next_timer());
  CHECK(registry.gateways().size() == 2);
  CHECK_FALSE(registry.OnPeerList({MakeGatewayVm("g")}, StoreEra(1)));
}

// A gateway that has found itself in the list of era 1, beside `other`.
GatewayRegistry MakeListedRegistry(MonoTime now) {
  GatewayRegistry registry(MakeGatewayVm("g"), false, 1);
  registry.Start(now);
  registry.OnGatewayPage(now, {MakeGatewayVm("g"), MakeGatewayVm("other")}, StoreEra(1));
  registry.OnStoreEra(now, StoreEra(1));
  return registry;
}

TEST_CASE("a gateway whose row is lost with the store's latest changes writes it again",
          "[discovery_test]") {
  // Guards against a gateway that those which start later never find: nobody else writes its row.
  MonoTime now = MonoTime() + 1s;
  GatewayRegistry registry = MakeListedRegistry(now);
  CHECK_FALSE(registry.next_timer());
  registry.OnStoreEra(now, StoreEra(2));
  registry.OnStoreEra(now, StoreEra(2));
  REQUIRE(registry.next_timer());
  now = *registry.next_timer();
  CHECK(now <= MonoTime() + 1s + GatewayRegistry::kReadSpread);
  CHECK(registry.NextCall(now) == GatewayRegistry::Call::kRead);
  const bool lost = GENERATE(true, false);
  registry.OnGatewayPage(now, lost ? VmList{MakeGatewayVm("new")} : VmList{MakeGatewayVm("g")},
                         StoreEra(2));
  CHECK((registry.NextCall(now) == GatewayRegistry::Call::kWrite) == lost);
  registry.OnStoreEra(now, StoreEra(2));
  CHECK_FALSE(registry.next_timer());
}

TEST_CASE("gateways whose rows are lost stay in the list that is in use", "[discovery_test]") {
  // Guards against shares of limits and of probes that rise because the copy has fewer gateways.
  const MonoTime now = MonoTime() + 1s;
  GatewayRegistry registry = MakeListedRegistry(now);
  registry.OnStoreEra(now, StoreEra(2));
  SECTION("after an own read") {
    registry.OnGatewayPage(now, {MakeGatewayVm("g", "10.0.0.1"), MakeGatewayVm("new")},
                           StoreEra(2));
  }
  SECTION("after the read of a peer, which replaces the own one") {
    CHECK(registry.OnPeerList({MakeGatewayVm("g"), MakeGatewayVm("new")}, StoreEra(2)));
    CHECK_FALSE(registry.next_timer());
    CHECK_FALSE(registry.OnPeerList({MakeGatewayVm("g")}, StoreEra(2)));
    CHECK_FALSE(registry.OnPeerList({MakeGatewayVm("g")}, StoreEra(1)));
  }
  CHECK(registry.gateways().size() == 3);
  CHECK(registry.listed_era() == StoreEra(2));
  CHECK(registry.listed());
}

TEST_CASE("a list of gateways with several pages is read whole", "[discovery_test]") {
  // Guards against a deployment with more rows than the store returns at once: gateways that are
  // not on the first page would write their rows and read the list again and again.
  const MonoTime now = MonoTime() + 1s;
  GatewayRegistry registry(MakeGatewayVm("g"), true, 1);
  registry.Start(now);
  registry.NextCall(now);
  registry.OnRowWritten(now);
  const MonoTime later = *registry.next_timer();
  CHECK(registry.NextCall(later) == GatewayRegistry::Call::kRead);
  CHECK(registry.page_key().empty());
  CHECK_FALSE(
      registry.OnGatewayPage(later, {MakeGatewayVm("a"), MakeGatewayVm("b")}, StoreEra(1), "b+"));
  CHECK(registry.gateways().empty());
  CHECK(registry.NextCall(later) == GatewayRegistry::Call::kRead);
  CHECK(registry.page_key() == "b+");
  SECTION("the last page arrives") {
    CHECK(registry.OnGatewayPage(later, {MakeGatewayVm("g")}, StoreEra(1), ""));
    CHECK(registry.gateways().size() == 3);
    CHECK(registry.listed());
    CHECK_FALSE(registry.next_timer());
  }
  SECTION("the read begins anew") {
    const bool store_returned = GENERATE(true, false);
    if (store_returned) {
      CHECK_FALSE(registry.OnGatewayPage(later, {MakeGatewayVm("g")}, StoreEra(2), ""));
    } else {
      registry.OnCallFailed(later);
    }
    CHECK(registry.page_key().empty());
    const MonoTime again = *registry.next_timer();
    CHECK(registry.NextCall(again) == GatewayRegistry::Call::kRead);
    CHECK(registry.OnGatewayPage(again, {MakeGatewayVm("g")}, StoreEra(2), ""));
    CHECK(registry.gateways().size() == 1);
  }
}

TEST_CASE("a gateway that joins a running deployment announces itself once", "[discovery_test]") {
  // Guards against gateways that go on with the share of a smaller deployment: the probes of all
  // together exceed the bound.
  const MonoTime now = MonoTime() + 1s;
  const bool new_deployment = GENERATE(false, true);
  GatewayRegistry registry(MakeGatewayVm("g"), new_deployment, 1);
  registry.Start(now);
  const MonoTime later = now + 10s;
  if (!new_deployment) {
    registry.NextCall(later);
    registry.NextCall(later + GatewayRegistry::kPeerReplyTimeout);
    registry.OnGatewayPage(later, {MakeGatewayVm("other")}, StoreEra(1));
  }
  CHECK(registry.NextCall(later) == GatewayRegistry::Call::kWrite);
  const bool reply_lost = GENERATE(false, true);
  if (reply_lost) {
    registry.OnCallFailed(later);
  } else {
    registry.OnRowWritten(later);
  }
  CHECK_FALSE(registry.TakeAnnouncement());
  registry.OnGatewayPage(later, {MakeGatewayVm("g"), MakeGatewayVm("other")}, StoreEra(1));
  // In a new deployment all gateways read the list after they have written their rows.
  CHECK(registry.TakeAnnouncement() == !new_deployment);
  CHECK_FALSE(registry.TakeAnnouncement());
}

TEST_CASE("a gateway that is known to the others does not announce itself", "[discovery_test]") {
  // Guards against a message of each gateway to all others after each return of the store.
  const MonoTime now = MonoTime() + 1s;
  GatewayRegistry registry = MakeListedRegistry(now);
  CHECK_FALSE(registry.TakeAnnouncement());
  registry.OnStoreEra(now, StoreEra(2));
  const MonoTime later = *registry.next_timer();
  registry.NextCall(later);
  registry.OnGatewayPage(later, {MakeGatewayVm("other")}, StoreEra(2));
  CHECK(registry.NextCall(later) == GatewayRegistry::Call::kWrite);
  registry.OnRowWritten(later);
  registry.OnGatewayPage(later, {MakeGatewayVm("g"), MakeGatewayVm("other")}, StoreEra(2));
  CHECK_FALSE(registry.TakeAnnouncement());
}

TEST_CASE("gateways count one that has joined", "[discovery_test]") {
  // Guards against probes beyond the bound, as above.
  const MonoTime now = MonoTime() + 1s;
  GatewayRegistry registry = MakeListedRegistry(now);
  CHECK(registry.OnGatewayAdded(MakeGatewayVm("new", "10.0.0.7")));
  CHECK(registry.gateways().size() == 3);
  CHECK_FALSE(registry.OnGatewayAdded(MakeGatewayVm("new", "10.0.0.7")));
  CHECK(registry.OnGatewayAdded(MakeGatewayVm("new", "10.0.0.8")));
  CHECK_FALSE(registry.OnGatewayAdded(MakeGatewayVm("g", "10.0.0.9")));
  CHECK(registry.gateways().size() == 3);
  GatewayRegistry starting(MakeGatewayVm("g"), false, 1);
  starting.Start(now);
  CHECK_FALSE(starting.OnGatewayAdded(MakeGatewayVm("new")));
  CHECK(starting.gateways().empty());
}

TEST_CASE("a return of the store while the list is read leads to another read",
          "[discovery_test]") {
  // Guards against a row that is lost just after it was found in the list.
  const MonoTime now = MonoTime() + 1s;
  GatewayRegistry registry(MakeGatewayVm("g"), false, 1);
  registry.Start(now);
  const MonoTime asked = registry.next_timer().value();
  registry.NextCall(asked);
  registry.NextCall(asked + GatewayRegistry::kPeerReplyTimeout);
  registry.OnStoreEra(now, StoreEra(2));
  CHECK_FALSE(registry.next_timer());
  registry.OnGatewayPage(now, {MakeGatewayVm("g")}, StoreEra(1));
  CHECK(registry.next_timer());
}

TEST_CASE("gateways that start at the same time form a tree with bounded fan-out",
          "[discovery_test]") {
  // Guards against one gateway that sends the tables to every other one over a link of low
  // capacity.
  VmList gateways;
  for (const int count : {1, 2, 30, 300}) {
    while (gateways.size() < static_cast<size_t>(count)) {
      gateways.push_back(MakeGatewayVm("g" + std::to_string(gateways.size())));
    }
    std::map<GatewayId, size_t> children;
    size_t roots = 0;
    for (const Vm& vm : gateways) {
      size_t depth = 0;
      std::optional<GatewayId> parent = TableHandoff::ParentOf(vm, gateways);
      if (parent) {
        ++children[*parent];
      } else {
        ++roots;
      }
      while (parent) {
        ++depth;
        parent = TableHandoff::ParentOf(MakeGatewayVm(parent->value), gateways);
      }
      CHECK(depth <= 5);
    }
    CHECK(roots == 1);
    for (const auto& [id, number] : children) {
      CHECK(number <= TableHandoff::kMaxChildren);
    }
  }
  CHECK_FALSE(TableHandoff::ParentOf(MakeGatewayVm("unlisted"), gateways));
}

TEST_CASE("a gateway of another zone is not asked for the tables", "[discovery_test]") {
  Vm remote = MakeGatewayVm("a");
  remote.zone = ZoneId("remote");
  const VmList gateways = {remote, MakeGatewayVm("g")};
  CHECK_FALSE(TableHandoff::ParentOf(MakeGatewayVm("g"), gateways));
}

TEST_CASE("each peer that asked for the tables gets them once", "[discovery_test]") {
  TableHandoff handoff;
  handoff.AddRequester(GatewayId("a"));
  handoff.AddRequester(GatewayId("a"));
  handoff.AddRequester(GatewayId("b"));
  CHECK(handoff.TakeRequesters() == std::vector<GatewayId>{GatewayId("a"), GatewayId("b")});
  CHECK(handoff.TakeRequesters().empty());
}

}  // namespace
}  // namespace jd
