// Tests of a gateway whose workspaces have quotas.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "cluster/node.h"
#include "cluster/ownership.h"
#include "common/workspace_table.h"

namespace jd {
namespace {

NodeSettings Settings() {
  NodeSettings settings;
  settings.id = GatewayId("g1");
  settings.zone = ZoneId("z1");
  settings.incarnation = Incarnation(1);
  settings.policy = "round_robin";
  return settings;
}

ConfigurationPtr MakeConfiguration(std::optional<Quota> quota) {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = ConfigVersion(1);
  Profile profile;
  profile.id = ProfileId("p");
  profile.retry_budget = 1;
  Service service;
  service.id = ServiceId("s");
  service.profile = profile.id;
  for (const std::string id : {"a", "b"}) {
    service.endpoints.push_back({EndpointId(id), ZoneId("z1"), "10.0.0.9", 1, 1'000, 0});
  }
  configuration->profiles[profile.id] = profile;
  configuration->services[service.id] = service;
  configuration->zones[ZoneId("z1")] = {ZoneId("z1"), ZoneState::kIn};
  configuration->workspace_table = std::make_shared<WorkspaceTable>(
      std::vector<KeyedWorkspace>{{WorkspaceId("w"), {"key"}, std::nullopt, quota}});
  return configuration;
}

// A gateway without peers, which issues the tokens of all workspaces.
struct Fixture {
  explicit Fixture(std::optional<Quota> quota) : node(Settings()) {
    node.Start(now, MakeConfiguration(quota), &actions);
  }
  // Receives a call and ends the iteration of the event loop.
  void Call(Duration timeout = 2s) {
    actions.clear();
    CallRequest request;
    request.id = CallId(++calls);
    request.caller_key = "key";
    request.service = ServiceId("s");
    request.method = "GET";
    request.path = "/";
    request.fingerprint = Fingerprint(calls);
    request.timeout = timeout;
    node.OnCall(now, request, &actions);
    node.OnLoopIterationEnd(now, &actions);
  }
  void Wait(Duration time) {
    now.mono += time;
    actions.clear();
    node.OnTimer(now, &actions);
  }
  template <typename Action>
  const Action* Find() const {
    for (const NodeAction& action : actions) {
      if (const auto* found = std::get_if<Action>(&action)) {
        return found;
      }
    }
    return nullptr;
  }
  void EndAttempt(AttemptOutcome outcome) {
    const SendAttempt* attempt = Find<SendAttempt>();
    REQUIRE(attempt != nullptr);
    AttemptResult result;
    result.attempt = attempt->attempt;
    result.outcome = outcome;
    result.status = outcome == AttemptOutcome::kAnswered ? 200 : 0;
    result.latency = 10ms;
    actions.clear();
    node.OnAttemptResult(now, result, &actions);
    node.OnLoopIterationEnd(now, &actions);
  }
  // Makes calls until one is refused. Returns how many were sent.
  int SentUntilRefused() {
    for (int sent = 0; sent < 100; ++sent) {
      Call();
      if (Find<SendAttempt>() == nullptr) {
        return sent;
      }
    }
    return 100;
  }

  Now now{MonoTime(1000s), WallTime(1'700'000'000s)};
  NodeActions actions;
  Node node;
  uint64_t calls = 0;
};

TEST_CASE("calls beyond the quota are refused without running", "[node_quotas_test]") {
  Fixture f(Quota{1, 0});
  CHECK(f.SentUntilRefused() == 1);
  const RefuseCall* refuse = f.Find<RefuseCall>();
  REQUIRE(refuse != nullptr);
  CHECK(refuse->refusal.reason == RefusalReason::kOverQuota);
  CHECK(refuse->refusal.verdict == Verdict::kNotRun);
  CHECK(RefusalStatus(refuse->refusal.reason, refuse->refusal.verdict) == 429);
  CHECK(refuse->refusal.retry_after > Duration(0));
  CHECK(f.node.quota_counts().calls_refused == 1);
}

TEST_CASE("the retry-after time leaves the caller time for its retry", "[node_quotas_test]") {
  Fixture f(Quota{0.1, 0});
  f.SentUntilRefused();
  f.Call(300ms);
  const RefuseCall* refuse = f.Find<RefuseCall>();
  REQUIRE(refuse != nullptr);
  CHECK(refuse->refusal.retry_after <= 100ms);
}

TEST_CASE("the log names a workspace over its quota once in a while", "[node_quotas_test]") {
  // Guards against a log line for each call of a workspace far over its quota.
  Fixture f(Quota{1, 0});
  int lines = 0;
  for (int i = 0; i < 100; ++i) {
    f.now.mono += 1ms;
    f.Call();
    for (const NodeAction& action : f.actions) {
      const auto* log = std::get_if<WriteLog>(&action);
      lines += log != nullptr && log->event.kind == EventKind::kQuotaExceeded ? 1 : 0;
    }
  }
  CHECK(lines == 1);
}

TEST_CASE("an attempt that was not run gives its token back", "[node_quotas_test]") {
  // Guards against a quota that is used up by calls which endpoints refuse when they are full.
  Fixture f(Quota{1, 0});
  f.Call();
  f.EndAttempt(AttemptOutcome::kRefused);
  f.EndAttempt(AttemptOutcome::kRefused);
  f.EndAttempt(AttemptOutcome::kRefused);
  CHECK(f.Find<RefuseCall>() != nullptr);
  f.Call();
  CHECK(f.Find<SendAttempt>() != nullptr);
}

TEST_CASE("a retry counts against the quota", "[node_quotas_test]") {
  // Guards against attempts that arrive at endpoints beyond the quota.
  Fixture f(Quota{1, 3});
  Fixture without_retry(Quota{1, 3});
  for (Fixture* gateway : {&f, &without_retry}) {
    gateway->Wait(10s);
    gateway->Call();
  }
  f.EndAttempt(AttemptOutcome::kConnectionLost);
  REQUIRE(f.Find<SendAttempt>() != nullptr);
  for (Fixture* gateway : {&f, &without_retry}) {
    gateway->EndAttempt(AttemptOutcome::kAnswered);
    gateway->Wait(100ms);
  }
  CHECK(f.SentUntilRefused() == without_retry.SentUntilRefused() - 1);
}

TEST_CASE("a call that is not sent gives its token back", "[node_quotas_test]") {
  // Guards against a quota that is used up by calls to unknown services or of leaving callers.
  Fixture f(Quota{1, 0});
  CallRequest request;
  request.id = CallId(900);
  request.caller_key = "key";
  request.service = ServiceId("unknown");
  f.node.OnCall(f.now, request, &f.actions);
  f.node.OnLoopIterationEnd(f.now, &f.actions);
  CHECK(f.Find<RefuseCall>() != nullptr);
  CHECK(f.SentUntilRefused() == 1);
}

TEST_CASE("a call waits for the token of a peer that issues it", "[node_quotas_test]") {
  NodeSettings settings = Settings();
  // The issuer of the workspace is the peer.
  std::string peer = "g2";
  while (OwnerOf(PoolId("w"), {GatewayId("g1"), GatewayId(peer)}) != GatewayId(peer)) {
    peer += "x";
  }
  settings.seeds = {{GatewayId(peer), ZoneId("z1"), "10.0.0.2", 1}};
  Node node(settings);
  Now now{MonoTime(1000s), WallTime(1'700'000'000s)};
  NodeActions actions;
  node.Start(now, MakeConfiguration(Quota{10, 10}), &actions);
  for (int i = 0; i < 20; ++i) {
    now.mono += 100ms;
    Heartbeat heartbeat;
    heartbeat.zone = ZoneId("z1");
    heartbeat.address = "10.0.0.2";
    heartbeat.peer_port = 1;
    heartbeat.sent = now.mono;
    heartbeat.echo = now.mono;
    heartbeat.echo_incarnation = settings.incarnation;
    node.OnPeerMessage(now, {GatewayId(peer), Incarnation(5), {}, heartbeat}, &actions);
    node.OnTimer(now, &actions);
  }
  actions.clear();
  CallRequest request;
  request.id = CallId(1);
  request.caller_key = "key";
  request.service = ServiceId("s");
  request.method = "GET";
  request.path = "/";
  request.timeout = 2s;
  node.OnCall(now, request, &actions);
  node.OnLoopIterationEnd(now, &actions);
  CHECK(node.calls() == 1);
  const auto sends = [&actions] {
    return std::count_if(actions.begin(), actions.end(), [](const NodeAction& action) {
      return std::holds_alternative<SendAttempt>(action);
    });
  };
  CHECK(sends() == 0);
  const QuotaRequest* sent = nullptr;
  for (const NodeAction& action : actions) {
    const auto* message = std::get_if<SendPeerMessage>(&action);
    if (message != nullptr && std::holds_alternative<QuotaRequest>(message->message.body)) {
      CHECK(message->to == GatewayId(peer));
      sent = std::get_if<QuotaRequest>(&message->message.body);
    }
  }
  REQUIRE(sent != nullptr);
  REQUIRE(sent->demands.size() == 1);
  CHECK(sent->demands[0].needed == 1);
  const QuotaGrant grant{sent->sent, {{WorkspaceId("w"), 1, 1, Duration(0)}}, false};
  actions.clear();
  node.OnPeerMessage(now, {GatewayId(peer), Incarnation(5), {}, grant}, &actions);
  node.OnLoopIterationEnd(now, &actions);
  CHECK(sends() == 1);
}

TEST_CASE("a gateway without a configuration passes a demand on to the issuer",
          "[node_quotas_test]") {
  // Guards against refusals within a quota by a gateway of another zone that has just started.
  NodeSettings settings = Settings();
  settings.seeds = {{GatewayId("g2"), ZoneId("z1"), "10.0.0.2", 1}};
  Node node(settings);
  Now now{MonoTime(1000s), WallTime(1'700'000'000s)};
  NodeActions actions;
  node.Start(now, nullptr, &actions);
  for (int i = 0; i < 5; ++i) {
    now.mono += 200ms;
    Heartbeat heartbeat;
    heartbeat.zone = ZoneId("z1");
    heartbeat.sent = now.mono;
    heartbeat.echo = now.mono;
    heartbeat.echo_incarnation = settings.incarnation;
    node.OnPeerMessage(now, {GatewayId("g2"), Incarnation(5), {}, heartbeat}, &actions);
    node.OnTimer(now, &actions);
  }
  actions.clear();
  QuotaRequest request;
  request.requester = GatewayId("other-zone");
  request.sent = now.mono;
  request.demands = {{WorkspaceId("w"), 1, 0, 0}};
  node.OnPeerMessage(now, {GatewayId("other-zone"), Incarnation(7), {}, request}, &actions);
  node.OnLoopIterationEnd(now, &actions);
  const auto relayed = std::find_if(actions.begin(), actions.end(), [](const NodeAction& action) {
    const auto* message = std::get_if<SendPeerMessage>(&action);
    return message != nullptr && std::holds_alternative<QuotaRequest>(message->message.body);
  });
  REQUIRE(relayed != actions.end());
  CHECK(std::get<SendPeerMessage>(*relayed).to == GatewayId("g2"));
}

TEST_CASE("a gateway without the list of gateways asks an issuer and issues nothing itself",
          "[node_quotas_test]") {
  // Guards against refusals within a quota while a gateway that has started waits for the list, and
  // against a gateway that takes itself for the only one.
  IssuerSupport support(GatewayId("g1"), 1s);
  NodeQuotas quotas(GatewayId("g1"), &support, 1);
  quotas.SetConfiguration(MakeConfiguration(Quota{100, 100}));
  std::vector<GatewayId> issuers = {GatewayId("g1"), GatewayId("g2")};
  const bool own = GENERATE(false, true);
  if (own != (OwnerOf(PoolId("w"), issuers) == GatewayId("g1"))) {
    issuers = {own ? GatewayId("g1") : GatewayId("g2")};
  }
  MonoTime now(1000s);
  support.SetOwnView(now, {{}, 1, 1, {}, GatewayView::Of(issuers), now});
  quotas.SetDeployment(0, {});
  quotas.SetIssuers(now, issuers);
  now += 1s;
  CallRequest request;
  request.caller_key = "key";
  size_t sent = 0;
  size_t asked = 0;
  for (uint64_t call = 1; call <= 50; ++call) {
    request.id = CallId(call);
    Duration retry_after{0};
    quotas.Admit(now, request, &retry_after);
    const NodeQuotas::Output output = quotas.Flush(now);
    asked += output.messages.size();
    sent += static_cast<size_t>(
        std::count_if(output.decisions.begin(), output.decisions.end(),
                      [](const QuotaLedger::Decision& decision) { return decision.admitted; }));
    now += 10ms;
  }
  // A new bucket has one token.
  CHECK(sent == (own ? 1 : 0));
  CHECK((asked > 0) == !own);
}

TEST_CASE("calls of a workspace without a quota are not limited", "[node_quotas_test]") {
  Fixture f(std::nullopt);
  CHECK(f.SentUntilRefused() == 100);
}

TEST_CASE("a caller without the key uses no quota of a workspace", "[node_quotas_test]") {
  // Guards against callers that name another workspace and use up its quota.
  Fixture f(Quota{1, 0});
  for (int i = 0; i < 20; ++i) {
    CallRequest request;
    request.id = CallId(900 + static_cast<uint64_t>(i));
    request.workspace = WorkspaceId("w");
    request.service = ServiceId("s");
    f.actions.clear();
    f.node.OnCall(f.now, request, &f.actions);
    const RefuseCall* refuse = f.Find<RefuseCall>();
    REQUIRE(refuse != nullptr);
    CHECK(refuse->refusal.reason == RefusalReason::kUnknownCaller);
  }
  CHECK(f.SentUntilRefused() == 1);
}

}  // namespace
}  // namespace jd
