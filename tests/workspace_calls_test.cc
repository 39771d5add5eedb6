#include <catch2/catch.hpp>

#include "common/route_table.h"
#include "common/workspace_table.h"
#include "policy/call_manager.h"
#include "tests/gateway_harness.h"

namespace jd {
namespace {

const MonoTime kStart = MonoFromMicros(1000000);

std::shared_ptr<const WorkspaceTable> MakeTable(const std::string& name, const std::string& key) {
  return std::make_shared<const WorkspaceTable>(
      std::vector<KeyedWorkspace>{{WorkspaceId(name), {key}, Priority::kHigh, std::nullopt}});
}

// A call manager whose configuration has a route that needs a key and a public one.
struct CallFixture {
  explicit CallFixture(std::shared_ptr<const WorkspaceTable> table) { Apply(std::move(table)); }

  void Apply(std::shared_ptr<const WorkspaceTable> table) {
    auto configuration = std::make_shared<Configuration>();
    configuration->version = ConfigVersion(++version);
    configuration->services[ServiceId("s")].id = ServiceId("s");
    Route keyed;
    keyed.id = RouteId("keyed");
    keyed.host = "h";
    keyed.prefix = "/";
    keyed.targets = {{ServiceId("s"), 1.0}};
    Route open = keyed;
    open.id = RouteId("open");
    open.prefix = "/open/";
    open.is_public = true;
    configuration->routes = std::make_shared<const RouteTable>(std::vector{keyed, open});
    configuration->workspace_table = std::move(table);
    manager.SetConfiguration(kStart, configuration);
  }
  Call* Admit(std::optional<std::string> key, const std::string& path = "/a") {
    CallRequest request;
    request.id = CallId(++calls);
    request.host = "h";
    request.path = path;
    request.method = "GET";
    request.caller_key = std::move(key);
    request.workspace = WorkspaceId("claimed");
    actions.clear();
    return manager.Admit(kStart, request, &actions);
  }
  // The reason of the refusal among the latest actions.
  std::optional<RefusalReason> Refused() const {
    for (const CallAction& action : actions) {
      if (const auto* refuse = std::get_if<RefuseCall>(&action)) {
        return refuse->refusal.reason;
      }
    }
    return std::nullopt;
  }

  uint64_t version = 0;
  uint64_t calls = 0;
  CallManager manager;
  CallActions actions;
};

TEST_CASE("a call belongs to the workspace of its key, whatever its caller says",
          "[workspace_calls_test]") {
  CallFixture f(MakeTable("w", "k1"));
  const Call* call = f.Admit("k1");
  REQUIRE(call != nullptr);
  CHECK(call->request.workspace == WorkspaceId("w"));
  CHECK(call->limits.rank.workspace == Priority::kHigh);
  for (const std::optional<std::string>& key :
       {std::optional<std::string>(), std::optional<std::string>(""),
        std::optional<std::string>("k2")}) {
    CHECK(f.Admit(key) == nullptr);
    CHECK(f.Refused() == RefusalReason::kUnknownCaller);
  }
}

TEST_CASE("a public route needs no key", "[workspace_calls_test]") {
  CallFixture f(MakeTable("w", "k1"));
  CHECK(f.Admit(std::nullopt, "/open/a")->request.workspace.empty());
  CHECK(f.Admit("k2", "/open/a")->request.workspace.empty());
  CHECK(f.Admit("k1", "/open/a")->request.workspace == WorkspaceId("w"));
}

TEST_CASE("without keys in the configuration the caller names its workspace",
          "[workspace_calls_test]") {
  CallFixture f(nullptr);
  CHECK(f.Admit(std::nullopt)->request.workspace == WorkspaceId("claimed"));
}

TEST_CASE("a gateway without a configuration does not judge keys", "[workspace_calls_test]") {
  // Guards against a 401 or 404 for a key or route that is in force elsewhere.
  CallManager manager;
  CallRequest request;
  request.id = CallId(1);
  CallActions actions;
  CHECK(manager.Admit(kStart, request, &actions) == nullptr);
  CHECK(std::get<RefuseCall>(actions.back()).refusal.reason == RefusalReason::kNotReady);
}

TEST_CASE("no attempt is sent for a waiting call whose key was withdrawn",
          "[workspace_calls_test]") {
  CallFixture f(MakeTable("w", "k1"));
  Call* withdrawn = f.Admit("k1");
  Call* open = f.Admit("k1", "/open/a");
  f.manager.Requeue(open);
  SECTION("to another workspace") {
    f.Apply(MakeTable("v", "k1"));
  }
  SECTION("altogether") {
    f.Apply(MakeTable("w", "k2"));
  }
  f.actions.clear();
  CHECK_FALSE(f.manager.CheckBeforeAttempt(kStart, withdrawn, &f.actions));
  CHECK(f.Refused() == RefusalReason::kUnknownCaller);
  CHECK(f.manager.CheckBeforeAttempt(kStart, open, &f.actions));
  CHECK(open->request.workspace.empty());
  // Guards against a queue that keeps a call under its former workspace.
  f.manager.StartAttempt(kStart, open, EndpointId("e"), "", &f.actions);
  CHECK_FALSE(f.manager.HasWaitingCalls(ServiceId("s")));
}

TEST_CASE("a waiting call goes on if its key stays while others change", "[workspace_calls_test]") {
  CallFixture f(MakeTable("w", "k1"));
  Call* call = f.Admit("k1");
  f.Apply(std::make_shared<const WorkspaceTable>(
      std::vector<KeyedWorkspace>{{WorkspaceId("w"), {"k1", "k9"}, std::nullopt, std::nullopt}}));
  CHECK(f.manager.CheckBeforeAttempt(kStart, call, &f.actions));
}

struct KeyedGateway : GatewayFixture {
  KeyedGateway() : GatewayFixture("[[workspaces]]\nid = \"w\"\nkeys = [\"k1\"]\n") { AnswerAll(); }

  // Sends a request with these headers and returns what the caller received.
  std::string Exchange(const std::string& headers) {
    const auto caller = Connect();
    caller->Send("GET /a HTTP/1.1\r\nx-service: s\r\n" + headers + "\r\n");
    Wait([&] { return caller->received.find("\r\n\r\n") != std::string::npos; });
    return caller->received;
  }
};

TEST_CASE("upstreams get the name of the workspace and never the key", "[workspace_calls_test]") {
  KeyedGateway f;
  CHECK(f.Exchange("authorization: bearer k1\r\nX-WORKSPACE: other\r\nx-workspace: v\r\n")
            .starts_with("HTTP/1.1 200"));
  const std::string sent = f.upstream.received();
  CHECK(sent.find("k1") == std::string::npos);
  CHECK(sent.find("other") == std::string::npos);
  CHECK(sent.find("x-workspace: w\r\n") != std::string::npos);
  CHECK(sent.find("x-workspace: v") == std::string::npos);
}

TEST_CASE("a key that is unknown, repeated or malformed is refused without running",
          "[workspace_calls_test]") {
  KeyedGateway f;
  for (const char* headers :
       {"", "Authorization: Bearer k2\r\n", "Authorization: k1\r\n", "Authorization: Basic k1\r\n",
        "Authorization: Bearer\r\n", "Authorization: Bearer k1 k1\r\n",
        "Authorization: Bearerk1\r\n", "Authorization: Bearer k1\r\nAuthorization: Bearer k1\r\n",
        "x-workspace: w\r\n"}) {
    INFO(headers);
    const std::string answer = f.Exchange(headers);
    CHECK(answer.starts_with("HTTP/1.1 401"));
    CHECK(answer.find("x-verdict: not-run") != std::string::npos);
    CHECK(answer.find("WWW-Authenticate: Bearer") != std::string::npos);
  }
  CHECK(f.upstream.received().empty());
}

}  // namespace
}  // namespace jd
