#include <catch2/catch.hpp>
#include <vector>

#include "cluster/node.h"
#include "cluster/ownership.h"

namespace jd {
namespace {

const Now kStart{MonoTime(1000s), WallTime(1'700'000'000s)};

Vm GatewayVm(const std::string& name, const std::string& zone) {
  return {name, VmRole::kGateway, VmState::kLive, ZoneId(zone), "10.0.0.1", 1};
}

NodeSettings Settings() {
  NodeSettings settings;
  settings.id = GatewayId("g1");
  settings.zone = ZoneId("gasabo");
  settings.incarnation = Incarnation(1);
  settings.policy = FreshLoad::kName;
  settings.heartbeat = 1s;
  settings.peers_in_local_zone_only = true;
  settings.gateways_listed_by_discovery = true;
  return settings;
}

// Gateway g1, which hears its peer g2 if the test lets it. The zone remera has the gateway g3, the
// zone kicukiro an endpoint and no gateway.
struct Fixture {
  Fixture() : node(Settings()) { node.Start(now, nullptr, &actions); }

  // Tells the node the gateways and a configuration with one endpoint in each zone.
  void Discover() {
    DiscoveryUpdate update;
    update.gateways = {GatewayVm("g1", "gasabo"), GatewayVm("g2", "gasabo"),
                       GatewayVm("g3", "remera")};
    Profile profile;
    profile.id = ProfileId("p");
    Service service;
    service.id = ServiceId("s");
    Route route;
    route.id = RouteId("r");
    route.host = "h";
    route.prefix = "/";
    route.profile = profile;
    route.targets = {{service.id, 1.0}};
    update.configuration = OperatorConfiguration{ConfigVersion(1), {route}, {service}, {}};
    for (const std::string zone : {"gasabo", "remera", "kicukiro"}) {
      EndpointRecord record;
      record.service = service.id;
      record.endpoint.id = EndpointId("e-" + zone);
      record.endpoint.zone = ZoneId(zone);
      record.endpoint.slots = 4;
      update.endpoints.push_back(record);
    }
    update.endpoints_known = true;
    node.OnDiscovery(now, update, &actions);
  }
  // Lets the time pass, while g2 sends heartbeats if `peer_lives`.
  void Wait(Duration time, bool peer_lives) {
    for (const MonoTime end = now.mono + time; now.mono < end; now.mono += 500ms) {
      if (peer_lives) {
        Heartbeat heartbeat;
        heartbeat.zone = ZoneId("gasabo");
        heartbeat.address = "10.0.0.2";
        heartbeat.peer_port = 1;
        heartbeat.ready = true;
        heartbeat.sent = now.mono;
        heartbeat.echo = now.mono;
        heartbeat.echo_incarnation = Incarnation(1);
        node.OnPeerMessage(now, {GatewayId("g2"), Incarnation(5), {}, heartbeat}, &actions);
      }
      node.OnTimer(now, &actions);
    }
    actions.clear();
  }
  // Receives the request of a gateway. Returns the peer messages that it causes.
  std::vector<SendPeerMessage> Request(const std::string& requester,
                                       const std::string& endpoint,
                                       const std::string& zone,
                                       bool relayed = false) {
    actions.clear();
    const PermitRequest request{
        GatewayId(requester), CallId(7), EndpointId(endpoint), ZoneId(zone), CallRate{1'000},
        Priority::kHigh,      relayed};
    node.OnPeerMessage(now, {GatewayId(requester), Incarnation(5), {}, request}, &actions);
    std::vector<SendPeerMessage> sent;
    for (const NodeAction& action : actions) {
      if (const auto* message = std::get_if<SendPeerMessage>(&action)) {
        sent.push_back(*message);
      }
    }
    return sent;
  }
  // Returns how many permits this gateway issues in one second for requests every millisecond.
  int IssuedInOneSecond(const std::string& endpoint, const std::string& zone) {
    int issued = 0;
    Request("g3", endpoint, zone, true);
    for (int i = 0; i < 1'000; ++i) {
      now.mono += 1ms;
      const std::vector<SendPeerMessage> sent = Request("g3", endpoint, zone, true);
      const auto* reply = std::get_if<PermitReply>(&sent.at(0).message.body);
      issued += reply != nullptr && reply->decision.granted ? 1 : 0;
    }
    return issued;
  }
  // Returns an endpoint for which, while both gateways of the zone live, `issuer` issues permits.
  static std::string EndpointIssuedBy(const std::string& issuer) {
    for (int i = 0;; ++i) {
      const std::string endpoint = "e" + std::to_string(i);
      if (OwnerOf(PoolId(endpoint), {GatewayId("g1"), GatewayId("g2")}).value == issuer) {
        return endpoint;
      }
    }
  }

  Now now = kStart;
  NodeActions actions;
  Node node;
};

TEST_CASE("a permit is issued by one gateway of the endpoint's zone", "[node_permits_test]") {
  // Guards against two gateways that issue permits for the same endpoint.
  Fixture f;
  f.Discover();
  f.Wait(8s, true);
  CHECK(f.IssuedInOneSecond(Fixture::EndpointIssuedBy("g1"), "gasabo") > 900);
  const auto to_peer = f.Request("g3", Fixture::EndpointIssuedBy("g2"), "gasabo");
  REQUIRE(to_peer.size() == 1);
  CHECK(to_peer[0].to == GatewayId("g2"));
  CHECK(std::get<PermitRequest>(to_peer[0].message.body).requester == GatewayId("g3"));
  CHECK(std::get<PermitRequest>(to_peer[0].message.body).relayed);
}

TEST_CASE("a request that was passed on once is not passed on again", "[node_permits_test]") {
  // Guards against a request that circles between gateways that disagree about the issuer.
  Fixture f;
  f.Discover();
  f.Wait(8s, true);
  const auto sent = f.Request("g3", Fixture::EndpointIssuedBy("g2"), "gasabo", true);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].to == GatewayId("g3"));
  CHECK_FALSE(std::get<PermitReply>(sent[0].message.body).decision.granted);
}

TEST_CASE("a gateway that hears few of its zone issues only their share", "[node_permits_test]") {
  // Guards against gateways cut off from each other that each issue the whole limit.
  Fixture f;
  f.Discover();
  f.Wait(8s, false);
  const int issued = f.IssuedInOneSecond("e", "gasabo");
  CHECK(issued > 500);
  CHECK(issued <= 1'000 * 1.5 / 2);
}

TEST_CASE("a gateway without the list of gateways issues no permits", "[node_permits_test]") {
  // Guards against a restarted gateway that issues permits beside the gateways that it does not
  // know yet.
  const bool hears_a_peer = GENERATE(false, true);
  Fixture f;
  f.Wait(8s, hears_a_peer);
  const std::string endpoint = Fixture::EndpointIssuedBy("g1");
  const auto sent = f.Request("g3", endpoint, "gasabo");
  REQUIRE(sent.size() == 1);
  CHECK_FALSE(std::get<PermitReply>(sent[0].message.body).decision.granted);
  CHECK(f.IssuedInOneSecond(endpoint, "gasabo") == 0);
}

TEST_CASE("a gateway that was paused issues no permits until it hears its peers",
          "[node_permits_test]") {
  // Guards against permits issued on a view of the zone that is as old as the pause.
  Fixture f;
  f.Discover();
  f.Wait(8s, true);
  f.now.mono += 20s;
  f.node.OnTimer(f.now, &f.actions);
  const auto sent = f.Request("g3", Fixture::EndpointIssuedBy("g1"), "gasabo", true);
  REQUIRE(sent.size() == 1);
  CHECK_FALSE(std::get<PermitReply>(sent[0].message.body).decision.granted);
  CHECK(f.IssuedInOneSecond(Fixture::EndpointIssuedBy("g1"), "gasabo") == 0);
}

TEST_CASE("permits for another zone are requested there, and divided if it has no gateway",
          "[node_permits_test]") {
  // Guards against endpoints of other zones that are used without a permit, or by nobody.
  Fixture f;
  f.Discover();
  f.Wait(8s, true);
  const auto sent = f.Request("g2", "e-remera", "remera");
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].to == GatewayId("g3"));
  const std::string endpoint = Fixture::EndpointIssuedBy("g1");
  const int issued = f.IssuedInOneSecond(endpoint, "kicukiro");
  CHECK(issued > 400);
  CHECK(issued <= 1'000 / 2 + 150);
}

}  // namespace
}  // namespace jd
