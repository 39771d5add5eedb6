#include <catch2/catch.hpp>
#include <vector>

#include "cluster/node.h"

namespace jd {
namespace {

const Now kStart{MonoTime(1000s), WallTime(1'700'000'000s)};
const EndpointId kEndpoint("e-1");

Vm GatewayVm(const std::string& name, const std::string& zone) {
  return {name, VmRole::kGateway, VmState::kLive, ZoneId(zone), "10.0.0.1", 1};
}

UpstreamStatement Leaving() {
  UpstreamStatement statement;
  statement.leaving = true;
  statement.instance = InstanceId("e-1");
  return statement;
}

UpstreamStatement WantsNothing(Duration time) {
  UpstreamStatement statement;
  statement.wants_nothing_for = time;
  return statement;
}

// Gateway g1 of the zone z with the peer g2, the gateway g3 in another zone, and the endpoints e-1,
// and e-2 if the test lists it.
struct Fixture {
  explicit Fixture(int endpoints = 1) : node(Settings()) {
    node.Start(now, nullptr, &actions);
    List(endpoints, 5);
    TakeMessages();
  }

  static NodeSettings Settings() {
    NodeSettings settings;
    settings.id = GatewayId("g1");
    settings.zone = ZoneId("z");
    settings.incarnation = Incarnation(1);
    settings.policy = FreshLoad::kName;
    settings.heartbeat = 1s;
    settings.peers_in_local_zone_only = true;
    settings.gateways_listed_by_discovery = true;
    return settings;
  }

  // Lists the endpoints in their run `run`.
  void List(int endpoints, uint64_t run) {
    DiscoveryUpdate update;
    update.gateways = {GatewayVm("g1", "z"), GatewayVm("g2", "z"), GatewayVm("g3", "y")};
    Service service;
    service.id = ServiceId("s");
    Route route;
    route.id = RouteId("r");
    route.host = "h";
    route.prefix = "/";
    route.profile.id = ProfileId("p");
    route.targets = {{service.id, 1.0}};
    update.configuration = OperatorConfiguration{ConfigVersion(1), {route}, {service}, {}};
    for (int i = 1; i <= endpoints; ++i) {
      EndpointRecord record;
      record.service = service.id;
      record.incarnation = Incarnation(run);
      record.endpoint.id = EndpointId("e-" + std::to_string(i));
      record.endpoint.instance = InstanceId(record.endpoint.id.value);
      record.endpoint.zone = ZoneId("z");
      record.endpoint.slots = 4;
      update.endpoints.push_back(record);
    }
    update.endpoints_known = true;
    node.OnDiscovery(now, update, &actions);
  }
  // Removes e-1 from the list.
  void Unlist() {
    DiscoveryUpdate update;
    update.removed = {kEndpoint};
    node.OnDiscovery(now, update, &actions);
  }
  void Call(uint64_t id, const std::string& method = "GET") {
    CallRequest request;
    request.id = CallId(id);
    request.request_id = RequestId("r" + std::to_string(id));
    request.host = "h";
    request.path = "/";
    request.method = method;
    request.fingerprint = Fingerprint(id);
    node.OnCall(now, request, &actions);
  }
  void AnswerProbe(const EndpointId& endpoint, const UpstreamStatement& statement = {}) {
    ProbeResult result;
    result.endpoint = endpoint;
    result.answered = true;
    result.status = 200;
    result.report = LoadReport();
    result.report->slots = 4;
    result.report->instance = InstanceId(endpoint.value);
    result.statement = statement;
    node.OnProbeResult(now, result, &actions);
  }
  void EndAttempt(const SendAttempt& attempt,
                  AttemptOutcome outcome,
                  const UpstreamStatement& statement,
                  Duration latency = Duration(0)) {
    AttemptResult result;
    result.latency = latency;
    result.attempt = attempt.attempt;
    result.outcome = outcome;
    result.status = outcome == AttemptOutcome::kRefused ? 503 : 200;
    result.request_written = true;
    result.response_started = true;
    result.statement = statement;
    node.OnAttemptResult(now, result, &actions);
  }
  void Wait(Duration time) {
    now.mono += time;
    now.wall += time;
    node.OnTimer(now, &actions);
  }
  // Returns and removes the actions of one type.
  template <typename Action>
  std::vector<Action> Take() {
    std::vector<Action> taken;
    NodeActions others;
    for (NodeAction& action : actions) {
      if (auto* match = std::get_if<Action>(&action)) {
        taken.push_back(*match);
      } else {
        others.push_back(action);
      }
    }
    actions = others;
    return taken;
  }
  // Returns the receivers of the messages of one type, and removes all messages.
  template <typename Message>
  std::vector<std::string> Receivers() {
    std::vector<std::string> receivers;
    for (const SendPeerMessage& sent : Take<SendPeerMessage>()) {
      if (std::holds_alternative<Message>(sent.message.body)) {
        receivers.push_back(sent.to.value);
      }
    }
    return receivers;
  }
  void TakeMessages() { actions.clear(); }
  // Sends a call to e-1 and returns the attempt.
  SendAttempt SendCall(uint64_t id) {
    Call(id);
    AnswerProbe(kEndpoint);
    const std::vector<SendAttempt> sent = Take<SendAttempt>();
    REQUIRE(sent.size() == 1);
    Take<SendProbe>();
    return sent.front();
  }

  Now now = kStart;
  NodeActions actions;
  Node node;
};

TEST_CASE("an endpoint that says in a failed call that it leaves gets nothing more",
          "[node_statements_test]") {
  // Guards against a statement that only answers of one kind carry on: the call's own retry would
  // go to the endpoint again, and others until its row is read (DRAIN).
  for (const AttemptOutcome outcome :
       {AttemptOutcome::kAnswered, AttemptOutcome::kRefused, AttemptOutcome::kInvalid}) {
    Fixture fixture;
    const SendAttempt attempt = fixture.SendCall(1);
    fixture.EndAttempt(attempt, outcome, Leaving());
    CHECK(fixture.Receivers<EndpointStatement>() == std::vector<std::string>{"g2", "g3"});
    fixture.Call(2);
    fixture.List(1, 5);
    fixture.Unlist();
    fixture.List(1, 5);
    fixture.Call(3);
    CHECK(fixture.Take<SendAttempt>().empty());
    CHECK(fixture.Take<SendProbe>().empty());
    fixture.List(1, 6);
    fixture.Call(4);
    CHECK(fixture.Take<SendProbe>().size() == 1);
  }
}

TEST_CASE("an endpoint that says to a probe that it leaves does not get the call of the probe",
          "[node_statements_test]") {
  Fixture fixture;
  fixture.Call(1);
  fixture.AnswerProbe(kEndpoint, Leaving());
  CHECK(fixture.Take<SendAttempt>().empty());
  fixture.AnswerProbe(kEndpoint, Leaving());
  CHECK(fixture.Receivers<EndpointStatement>().size() == 2);
}

TEST_CASE("a peer's statement is applied and not told again", "[node_statements_test]") {
  Fixture fixture;
  fixture.node.OnPeerMessage(
      fixture.now,
      {GatewayId("g2"), Incarnation(1), {}, EndpointStatement{{{kEndpoint, Incarnation(5)}}}},
      &fixture.actions);
  fixture.Call(1);
  CHECK(fixture.Take<SendProbe>().empty());
  CHECK(fixture.Receivers<EndpointStatement>().empty());
}

TEST_CASE("what another instance says at the address of an endpoint is ignored",
          "[node_statements_test]") {
  Fixture fixture;
  UpstreamStatement statement = Leaving();
  statement.instance = InstanceId("e-9");
  fixture.EndAttempt(fixture.SendCall(1), AttemptOutcome::kAnswered, statement);
  CHECK(fixture.Receivers<EndpointStatement>().empty());
  fixture.Call(2);
  CHECK(fixture.Take<SendProbe>().size() == 1);
}

TEST_CASE("a late response of an earlier run says nothing of the present one",
          "[node_statements_test]") {
  // Guards against a gateway that was paused, handles the row of the next run first and then holds
  // that run back for all its life.
  Fixture fixture;
  const SendAttempt attempt = fixture.SendCall(1);
  fixture.Wait(1s);
  fixture.List(1, 6);
  fixture.EndAttempt(attempt, AttemptOutcome::kAnswered, Leaving(), 1500ms);
  CHECK(fixture.Receivers<EndpointStatement>().empty());
  fixture.Call(2);
  CHECK(fixture.Take<SendProbe>().size() == 1);
}

TEST_CASE("an endpoint that wants nothing gets neither calls nor probes until its time is over",
          "[node_statements_test]") {
  // Guards against calls that reach the endpoint meanwhile (BUDGET), and against callers that wait
  // for an endpoint of which is known that it takes nothing before their deadline.
  Fixture fixture;
  fixture.EndAttempt(fixture.SendCall(1), AttemptOutcome::kRefused, WantsNothing(2s));
  const std::vector<RefuseCall> first = fixture.Take<RefuseCall>();
  REQUIRE(first.size() == 1);
  CHECK(first[0].refusal.verdict == Verdict::kNotRun);
  CHECK(first[0].refusal.retry_after >= 2s);
  for (uint64_t id = 2; id < 30; ++id) {
    fixture.Wait(65ms);
    fixture.Call(id);
    const std::vector<RefuseCall> refused = fixture.Take<RefuseCall>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].refusal.retry_after > 0s);
  }
  CHECK(fixture.Take<SendProbe>().empty());
  CHECK(fixture.Receivers<EndpointStatement>().empty());
  fixture.Wait(2s);
  fixture.Call(40);
  CHECK(fixture.Take<SendProbe>().size() == 1);
}

TEST_CASE("calls go to the other endpoints while one wants nothing", "[node_statements_test]") {
  Fixture fixture(2);
  fixture.AnswerProbe(kEndpoint, WantsNothing(2s));
  fixture.Call(1);
  const std::vector<SendProbe> probes = fixture.Take<SendProbe>();
  REQUIRE(probes.size() == 1);
  CHECK(probes[0].endpoint == EndpointId("e-2"));
  CHECK(fixture.Take<RefuseCall>().empty());
}

TEST_CASE("a gateway that starts is told who leaves and what crashes upstreams",
          "[node_statements_test]") {
  Fixture fixture;
  fixture.EndAttempt(fixture.SendCall(1), AttemptOutcome::kConnectionLost, {});
  fixture.AnswerProbe(kEndpoint, Leaving());
  fixture.TakeMessages();
  fixture.node.OnPeerMessage(fixture.now, {GatewayId("g2"), Incarnation(2), {}, TableFetch{}},
                             &fixture.actions);
  const std::vector<SendPeerMessage> sent = fixture.Take<SendPeerMessage>();
  REQUIRE(sent.size() == 2);
  CHECK(std::get<EndpointStatement>(sent[0].message.body).leaving ==
        std::vector{LeavingEndpoint{kEndpoint, Incarnation(5)}});
  const auto& evidence = std::get<CrashEvidence>(sent[1].message.body);
  REQUIRE(evidence.losses.size() == 1);
  CHECK(evidence.losses[0].loss.gateway == GatewayId("g1"));
  CHECK(fixture.Take<ServeTableFetch>().size() == 1);
}

TEST_CASE("a peer that has started again is told once without asking", "[node_statements_test]") {
  // Guards against a gateway that reads its tables from the store and so asks no peer: it would
  // use an endpoint that leaves, and let a crashing request through.
  Fixture fixture;
  fixture.AnswerProbe(kEndpoint, Leaving());
  fixture.TakeMessages();
  const auto hear = [&](uint64_t incarnation) {
    Heartbeat heartbeat;
    heartbeat.zone = ZoneId("z");
    heartbeat.address = "10.0.0.2";
    heartbeat.peer_port = 1;
    heartbeat.sent = fixture.now.mono;
    fixture.now.mono += 10ms;
    fixture.node.OnPeerMessage(
        fixture.now, {GatewayId("g2"), Incarnation(incarnation), {}, heartbeat}, &fixture.actions);
    return fixture.Receivers<EndpointStatement>();
  };
  CHECK(hear(7) == std::vector<std::string>{"g2"});
  CHECK(hear(7).empty());
  CHECK(hear(8) == std::vector<std::string>{"g2"});
}

TEST_CASE("a lost connection is told to the gateways of all zones", "[node_statements_test]") {
  Fixture fixture;
  fixture.EndAttempt(fixture.SendCall(1), AttemptOutcome::kConnectionLost, {});
  fixture.Wait(CrashGuard::kTellDelay);
  CHECK(fixture.Receivers<CrashEvidence>() == std::vector<std::string>{"g2", "g3"});
}

}  // namespace
}  // namespace jd
