#include "cluster/rollout_control.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "cluster/node.h"

namespace jd {
namespace {

const ServiceId kService("s");
const SoftwareVersion kOld("1");
const SoftwareVersion kNew("2");
const Now kStart{MonoTime(1000s), WallTime(1'700'000'000s)};

RolloutOrder Order(const SoftwareVersion& to, uint64_t row = 10, uint64_t era = 1) {
  return {kService, to, 60s, RowVersion(row), StoreEra(era)};
}

Service MakeService(int old_endpoints, int new_endpoints) {
  Service service;
  service.id = kService;
  for (int i = 0; i < old_endpoints + new_endpoints; ++i) {
    Endpoint endpoint;
    endpoint.id = EndpointId("e" + std::to_string(i));
    endpoint.zone = ZoneId("z");
    endpoint.version = i < old_endpoints ? kOld : kNew;
    service.endpoints.push_back(endpoint);
  }
  return service;
}

ServiceView Apply(const Service& service, const VersionRule& rule) {
  ServiceView view;
  view.id = service.id;
  for (const Endpoint& endpoint : service.endpoints) {
    view.endpoints.push_back({endpoint.id, endpoint.zone, endpoint.slots, true});
  }
  ApplyVersionRule(service, rule, &view);
  return view;
}

// Returns how many endpoints from `first` to `last` are usable.
long Usable(const ServiceView& view, size_t first, size_t last) {
  return std::count_if(view.endpoints.begin() + static_cast<ptrdiff_t>(first),
                       view.endpoints.begin() + static_cast<ptrdiff_t>(last),
                       [](const EndpointView& endpoint) { return endpoint.usable; });
}

TEST_CASE("a few endpoints of the ordered version get the watched calls",
          "[rollout_control_test]") {
  const Service service = MakeService(100, 100);
  const VersionRule rule{kNew, RolloutUse::kSplit, 0.05, 7, {}};
  const ServiceView view = Apply(service, rule);
  CHECK(Usable(view, 0, 100) == 100);
  CHECK(Usable(view, 100, 200) == 5);
  CHECK(view.endpoints[0].side == VersionSide::kOld);
  CHECK(view.endpoints[100].side == VersionSide::kNew);
  VersionRule later = rule;
  later.rotation = 8;
  CHECK(Apply(service, later).endpoints != view.endpoints);
  CHECK(Usable(Apply(MakeService(4, 4), rule), 4, 8) == 3);
}

TEST_CASE("one version gets no calls before the order has succeeded, the other none afterwards",
          "[rollout_control_test]") {
  const Service service = MakeService(2, 3);
  CHECK(Usable(Apply(service, {kNew, RolloutUse::kOldOnly}), 2, 5) == 0);
  CHECK(Usable(Apply(service, {kNew, RolloutUse::kOldOnly}), 0, 2) == 2);
  CHECK(Usable(Apply(service, {kNew, RolloutUse::kNewOnly}), 0, 2) == 0);
  CHECK(Usable(Apply(service, {kNew, RolloutUse::kNewOnly}), 2, 5) == 3);
}

TEST_CASE("a service with endpoints of one version is served by them", "[rollout_control_test]") {
  // Guards against calls that nobody may serve.
  const RolloutUse use = GENERATE(RolloutUse::kSplit, RolloutUse::kNewOnly);
  CHECK(Usable(Apply(MakeService(0, 3), {kNew, use}), 0, 3) == 3);
  CHECK(Usable(Apply(MakeService(3, 0), {kNew, use}), 0, 3) == 3);
  CHECK(Usable(Apply(MakeService(0, 3), {kNew, RolloutUse::kOldOnly}), 0, 3) == 0);
}

struct Fixture {
  void SetOrders(const std::map<ServiceId, RolloutOrder>& orders, uint64_t era = 1) {
    control.SetOrders(kStart.mono, orders, StoreEra(era), &gate);
  }
  VersionRule rule() const { return control.Rules(kStart).at(kService); }

  RolloutGate gate{1};
  RolloutControl control{RolloutMember{GatewayId("g"), Incarnation(1), ZoneId("z"), {}}};
};

TEST_CASE("a service without an order has no rule", "[rollout_control_test]") {
  Fixture f;
  f.SetOrders({});
  CHECK(f.control.Rules(kStart).empty());
  CHECK_FALSE(f.control.next_timer());
  CHECK(f.gate.Draw(kService) == VersionSide::kAny);
}

TEST_CASE("an order for another version blocks the one before", "[rollout_control_test]") {
  Fixture f;
  f.SetOrders({{kService, Order(kNew)}});
  f.SetOrders({{kService, Order(SoftwareVersion("3"), 11)}});
  CHECK(f.rule().to == SoftwareVersion("3"));
  CHECK(f.rule().blocked == std::set<SoftwareVersion>{kNew});
  f.SetOrders({{kService, Order(kNew, 12)}});
  CHECK(f.rule().blocked == std::set<SoftwareVersion>{SoftwareVersion("3")});
}

TEST_CASE("an order that a copy of the store lacks stays", "[rollout_control_test]") {
  Fixture f;
  f.SetOrders({{kService, Order(kNew)}});
  f.SetOrders({}, 2);
  RolloutOutput output;
  f.control.OnTimer(
      kStart.mono,
      [](const Rollout&) {
        RolloutSituation situation;
        situation.collectors = {GatewayId("g")};
        return situation;
      },
      &output);
  REQUIRE(output.writes.size() == 1);
  CHECK(output.writes[0].state == RolloutState::kRunning);
  f.SetOrders({}, 1);
  CHECK(f.control.rollouts().at(kService).share(kStart.mono).share == 0);
}

TEST_CASE("an order that only other gateways have read is followed", "[rollout_control_test]") {
  // Guards against a gateway that learns of new endpoints before it learns of their order.
  Fixture f;
  VersionEvidence sum;
  sum.rollout = {kService, kNew, RowVersion(10)};
  sum.zone_sum = true;
  RolloutOutput output;
  f.control.OnEvidence(kStart.mono, GatewayId("other"), Incarnation(1), sum, &output);
  f.control.UpdateGate(kStart.mono, &f.gate);
  CHECK(f.rule().to == kNew);
  CHECK(f.gate.DefaultSide(kService) == VersionSide::kOld);
  f.SetOrders({});
  CHECK(f.control.rollouts().at(kService).share(kStart.mono).share > 0);
  f.control.OnTimer(
      kStart.mono + 1s,
      [](const Rollout&) {
        RolloutSituation situation;
        situation.collectors = {GatewayId("g")};
        return situation;
      },
      &output);
  CHECK(output.writes.empty());
  f.SetOrders({{kService, Order(kNew)}});
  CHECK(f.control.rollouts().at(kService).order().duration == 60s);
}

TEST_CASE("a node with an order writes its state and divides the calls", "[rollout_control_test]") {
  NodeSettings settings;
  settings.id = GatewayId("g");
  settings.zone = ZoneId("z");
  settings.incarnation = Incarnation(1);
  settings.policy = FreshLoad::kName;
  settings.peers_in_local_zone_only = true;
  settings.gateways_listed_by_discovery = true;
  Node node(settings);
  NodeActions actions;
  node.Start(kStart, nullptr, &actions);
  DiscoveryUpdate update;
  update.gateways = VmList{{"g", VmRole::kGateway, VmState::kLive, ZoneId("z"), "10.0.0.1", 1}};
  Service service;
  service.id = kService;
  update.configuration = OperatorConfiguration{ConfigVersion(1), {}, {service}, {}};
  for (const Endpoint& endpoint : MakeService(2, 2).endpoints) {
    update.endpoints.push_back({endpoint, kService});
  }
  update.endpoints_known = true;
  update.rollouts = std::map<ServiceId, RolloutOrder>{{kService, Order(kNew)}};
  update.rollouts_era = StoreEra(1);
  node.OnDiscovery(kStart, update, &actions);
  Now later = kStart;
  later.mono += 7s;
  node.OnTimer(later, &actions);
  later.mono += 1s;
  node.OnTimer(later, &actions);
  const auto write = std::find_if(actions.begin(), actions.end(), [](const NodeAction& action) {
    return std::holds_alternative<WriteRolloutStatus>(action);
  });
  REQUIRE(write != actions.end());
  CHECK(std::get<WriteRolloutStatus>(*write).write.state == RolloutState::kRunning);
  REQUIRE(node.next_timer());
}

}  // namespace
}  // namespace jd
