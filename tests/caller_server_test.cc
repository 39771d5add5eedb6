#include "gateway/caller_server.h"

#include <catch2/catch.hpp>

#include "gateway/settings.h"
#include "tests/http_harness.h"

namespace jd {
namespace {

// A CallerServer without a node; the test decides how each call ends.
struct Fixture {
  Fixture() : server(&loop, TestSettings(), 1, &dialect) {
    server.call_arrived().connect([this](const CallRequest& call) { calls.push_back(call); });
  }
  static Settings TestSettings() {
    return ParseSettings(R"(
callers = { port = 0 }
[gateway]
id = "g"
zone = "z"
[peers]
shared_key = "0123456789abcdef"
)",
                         "test.toml");
  }
  std::unique_ptr<TextConnection> SendRequest() {
    auto caller = std::make_unique<TextConnection>(&loop, server.port());
    const size_t before = calls.size();
    caller->Send("GET /a HTTP/1.1\r\nx-service: s\r\nx-request-id: r7\r\n\r\n");
    REQUIRE(RunUntil(&loop, [&] { return calls.size() > before; }));
    return caller;
  }
  std::string RefusalResponse(Duration retry_after) {
    const auto caller = SendRequest();
    server.Refuse(calls.back().id, calls.back().request_id,
                  {RefusalReason::kOverload, Verdict::kNotRun, retry_after, "Busy."});
    REQUIRE(RunUntil(&loop, [&] { return caller->Count("Busy.") == 1; }));
    return caller->received;
  }

  EventLoop loop;
  NativeDialect dialect;
  CallerServer server;
  std::vector<CallRequest> calls;
};

TEST_CASE("a refusal has a retry-after header in whole seconds, rounded up",
          "[caller_server_test]") {
  // Guards against callers that retry before the gateway has capacity for them.
  Fixture f;
  const std::string later = f.RefusalResponse(1500ms);
  CHECK(later.starts_with("HTTP/1.1 429 Too Many Requests\r\n"));
  CHECK(later.find("retry-after: 2\r\n") != std::string::npos);
  CHECK(later.find("x-request-id: r7\r\n") != std::string::npos);
  CHECK(f.RefusalResponse(1us).find("retry-after: 1\r\n") != std::string::npos);
  CHECK(f.RefusalResponse(0us).find("retry-after") == std::string::npos);
}

TEST_CASE("a stored response is replayed with its status, content type and body",
          "[caller_server_test]") {
  Fixture f;
  const auto caller = f.SendRequest();
  f.server.Replay(f.calls.back().id, f.calls.back().request_id, 201, "application/json",
                  R"({"order":7})");
  REQUIRE(RunUntil(&f.loop, [&] { return caller->Count(R"({"order":7})") == 1; }));
  CHECK(caller->received.starts_with("HTTP/1.1 201 "));
  for (const char* header :
       {"Content-Type: application/json\r\n", "Content-Length: 11\r\n", "x-request-id: r7\r\n"}) {
    INFO(header);
    CHECK(caller->received.find(header) != std::string::npos);
  }
  // The request has run, so the replayed response must not carry the verdict of a refusal.
  CHECK(caller->received.find("x-verdict") == std::string::npos);
  CHECK(f.server.idle());
}

}  // namespace
}  // namespace jd
