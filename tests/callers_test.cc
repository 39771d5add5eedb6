#include <catch2/catch.hpp>

#include "tests/gateway_harness.h"

namespace jd {
namespace {

// Checks that the gateway serves a valid request on a new connection.
void CheckStillServes(GatewayFixture* f) {
  f->AnswerAll();
  const auto other = f->Connect();
  other->Send(kGet);
  CHECK(f->WaitFor(*other, "done"));
}

TEST_CASE("a connection carries several calls, also when they are pipelined", "[callers_test]") {
  GatewayFixture f;
  f.AnswerAll();
  const auto caller = f.Connect();
  caller->Send(kGet);
  REQUIRE(f.WaitFor(*caller, "done"));
  caller->Send(kGet);
  REQUIRE(f.WaitFor(*caller, "done", 2));
  CHECK(f.upstream.connections.size() == 1);
  caller->Send(kGet + kGet + kGet);
  REQUIRE(f.WaitFor(*caller, "done", 5));
  CHECK(caller->Count("HTTP/1.1 200 OK") == 5);
  CHECK_FALSE(caller->closed);
  // Pipelined calls run side by side, each on a connection of its own.
  CHECK(f.upstream.connections.size() == 3);
}

TEST_CASE("only end-to-end headers are forwarded", "[callers_test]") {
  GatewayFixture f;
  f.AnswerAll(
      "x-kept: b\r\nx-hop: b\r\nConnection: x-hop\r\nx-verdict: not-run\r\nx-refused: not-run\r\n");
  const auto caller = f.Connect();
  caller->Send(
      "POST /a?b=c HTTP/1.1\r\nx-service: s\r\nx-workspace: w\r\nx-request-id: r1\r\n"
      "x-deadline-ms: 5000\r\nTE: trailers\r\nX-Gone: 1\r\nKeep-Alive: 3\r\nx-stays: 2\r\n"
      "Connection: keep-alive, x-gone\r\nContent-Length: 5\r\n\r\nhello");
  REQUIRE(f.WaitFor(*caller, "done"));
  const std::string sent = f.upstream.received();
  CHECK(sent.starts_with("POST /a?b=c HTTP/1.1\r\n"));
  for (const char* kept : {"x-workspace: w\r\n", "x-request-id: r1\r\n", "x-stays: 2\r\n",
                           "Content-Length: 5\r\n", "\r\n\r\nhello"}) {
    INFO(kept);
    CHECK(sent.find(kept) != std::string::npos);
  }
  for (const char* dropped : {"TE:", "X-Gone", "Keep-Alive", "x-gone"}) {
    INFO(dropped);
    CHECK(sent.find(dropped) == std::string::npos);
  }
  const size_t deadline = sent.find("x-deadline-ms: ");
  REQUIRE(deadline != std::string::npos);
  CHECK(std::stoi(sent.substr(deadline + 15)) <= 5000);
  CHECK(caller->Count("x-kept: b") == 1);
  CHECK(caller->Count("x-request-id: r1") == 1);
  // A verdict that an upstream forwards must not make the caller retry a request that has run.
  CHECK(caller->Count("x-verdict") + caller->Count("x-refused") + caller->Count("x-hop") == 0);
}

TEST_CASE("a body is forwarded with every method that may have one", "[callers_test]") {
  GatewayFixture f;
  f.AnswerAll();
  for (const char* method : {"GET", "POST", "PUT", "DELETE", "OPTIONS", "PATCH"}) {
    INFO(method);
    const auto caller = f.Connect();
    caller->Send(std::string(method) +
                 " /a HTTP/1.1\r\nx-service: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n");
    REQUIRE(f.WaitFor(*caller, "done"));
    const std::string sent = f.upstream.received();
    const std::string last = sent.substr(sent.rfind(std::string(method) + " /a"));
    CHECK(last.find("Content-Length: 5\r\n") != std::string::npos);
    CHECK(last.ends_with("\r\n\r\nhello"));
  }
}

TEST_CASE("a refusal says that the request has not run", "[callers_test]") {
  GatewayFixture f;
  const auto caller = f.Connect();
  caller->Send("GET / HTTP/1.1\r\nx-service: none\r\n\r\n");
  REQUIRE(f.WaitFor(*caller, "}\n"));
  CHECK(caller->Count("HTTP/1.1 404") == 1);
  CHECK(caller->Count("x-verdict: not-run") == 1);
  CHECK(caller->Count("x-refusal: unknown-service") == 1);
  CHECK(caller->Count("\"refusal\":\"unknown-service\"") == 1);
  const std::string metrics = f.Status("/metrics");
  CHECK(metrics.find("jackdawdeck_refusals_total{reason=\"unknown-service\"} 1") !=
        std::string::npos);
}

TEST_CASE("requests that two servers could parse differently are rejected", "[callers_test]") {
  // Guards against request smuggling, which hides a request in the body of another.
  const std::string start = "POST /a HTTP/1.1\r\nx-service: s\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string requests[] = {
      start + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody5",
      start + "Content-Length: 4\r\n" + chunked + "\r\n0\r\n\r\n",
      start + chunked + "Content-Length: 4\r\n\r\n0\r\n\r\n",
      start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      start + chunked + chunked + "\r\n0\r\n\r\n",
      start + "Content-Length: +4\r\n\r\nbody",
      start + "Content-Length: -4\r\n\r\nbody",
      start + "Content-Length: 4x\r\n\r\nbody",
      start + "Content-Length: 99999999999999999999\r\n\r\nbody",
      start + "Content-Length : 4\r\n\r\nbody",
      start + chunked + "\r\nzz\r\nbody\r\n0\r\n\r\n",
      start + chunked + "\r\n-1\r\nbody\r\n0\r\n\r\n",
      start + "no colon\r\n\r\n",
      start + "x-deadline-ms: soon\r\n\r\n",
      "POST /a/../b HTTP/1.1\r\nx-service: s\r\n\r\n",
      "POST /a/%2E./b HTTP/1.1\r\nx-service: s\r\n\r\n",
      "CONNECT a:1 HTTP/1.1\r\nx-service: s\r\n\r\n",
      "FLY /a HTTP/1.1\r\nx-service: s\r\nContent-Length: 38\r\n\r\n",
      "HEAD /a HTTP/1.1\r\nx-service: s\r\nContent-Length: 38\r\n\r\n",
      "HEAD /a HTTP/1.1\r\nx-service: s\r\n" + chunked + "\r\n0\r\n\r\n",
      "nonsense\r\n\r\n"};
  GatewayFixture f;
  for (const std::string& request : requests) {
    INFO(request);
    const auto caller = f.Connect();
    caller->Send(request + "GET /hidden HTTP/1.1\r\nx-service: s\r\n\r\n");
    CHECK(f.Wait([&] { return caller->closed; }));
    CHECK((caller->received.empty() || caller->Count("HTTP/1.1 4") == 1 ||
           caller->Count("HTTP/1.1 5") == 1));
    CHECK(caller->Count("HTTP/1.1") <= 1);
  }
  CHECK(f.upstream.connections.empty());
  CheckStillServes(&f);
  // The same holds for a pipelined request.
  const auto pipelining_caller = f.Connect();
  pipelining_caller->Send(kGet + "FLY /a HTTP/1.1\r\nx-service: s\r\n\r\n" + kGet);
  CHECK(f.Wait([&] { return pipelining_caller->closed; }));
  CHECK(pipelining_caller->Count("done") == 1);
}

TEST_CASE("headers and bodies over the limits are rejected, a body of maximum size is accepted",
          "[callers_test]") {
  GatewayFixture f("[limits]\nheader_bytes = 2048\nbody_bytes = 100000\n");
  const std::string post = "POST /a HTTP/1.1\r\nx-service: s\r\n";
  const std::string too_large[] = {
      "GET /a HTTP/1.1\r\nx-long: " + std::string(4000, 'a') + "\r\n\r\n",
      "GET /" + std::string(4000, 'a'),
      post + "Content-Length: 100001\r\n\r\n" + std::string(100001, 'b'),
      post + "Transfer-Encoding: chunked\r\n\r\n186a1\r\n" + std::string(100001, 'b') +
          "\r\n0\r\n\r\n"};
  for (const std::string& request : too_large) {
    INFO(request.substr(0, 80));
    const auto caller = f.Connect();
    caller->Send(request);
    CHECK(f.Wait([&] { return caller->closed; }));
    CHECK((caller->received.empty() || caller->Count("HTTP/1.1 4") == 1));
  }
  CHECK(f.upstream.connections.empty());
  f.AnswerAll();
  const auto caller = f.Connect();
  caller->Send(post + "Content-Length: 100000\r\n\r\n" + std::string(100000, 'b'));
  REQUIRE(f.WaitFor(*caller, "done"));
  CHECK(f.Wait([&] { return f.upstream.received().size() > 100000; }));
  // The pipelined body is larger than what the gateway buffers while a call runs.
  caller->Send(kGet + post + "Content-Length: 100000\r\n\r\n" + std::string(100000, 'b'));
  CHECK(f.WaitFor(*caller, "done", 3));
}

TEST_CASE("a size line of a chunk without end is rejected", "[callers_test]") {
  // Guards against a caller whose bytes are buffered for as long as it sends.
  GatewayFixture f("[limits]\nheader_bytes = 2048\nbody_bytes = 100000\n");
  const std::string size_line = GENERATE(as<std::string>{}, "0", "1;x", "5\r\nabcde\r\n2;");
  const auto caller = f.Connect();
  caller->Send("POST /a HTTP/1.1\r\nx-service: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
               size_line);
  Timer send_more(&f.loop, [&] {
    caller->Send(std::string(1000, size_line == "0" ? '0' : 'x'));
    send_more.Schedule(1ms);
  });
  send_more.Schedule(1ms);
  CHECK(f.Wait([&] { return caller->closed; }));
  CHECK(f.upstream.connections.empty());
  CHECK(f.Status("/metrics").find("jackdawdeck_caller_connections 0") != std::string::npos);
}

TEST_CASE("slow senders and idle connections are closed", "[callers_test]") {
  GatewayFixture f(
      "[limits]\nheader_timeout_ms = 200\nbody_timeout_ms = 200\nidle_timeout_ms = 400\n");
  const auto slow_header = f.Connect();
  const auto slow_body = f.Connect();
  const auto idle = f.Connect();
  slow_body->Send("POST /a HTTP/1.1\r\nx-service: s\r\nContent-Length: 1000000\r\n\r\n");
  // A request that arrives a byte at a time must not extend its time limits.
  Timer trickle(&f.loop, [] {});
  std::function<void()> next;
  Timer send_timer(&f.loop, [&] {
    slow_header->Send("x");
    slow_body->Send("x");
    send_timer.Schedule(20ms);
  });
  send_timer.Schedule(Duration(0));
  CHECK(f.Wait([&] { return slow_header->closed && slow_body->closed && idle->closed; }));
  send_timer.Cancel();
  CheckStillServes(&f);
  CHECK(f.upstream.requests() == 1);
}

TEST_CASE("a call may run longer than an idle connection is kept", "[callers_test]") {
  GatewayFixture f("[limits]\nidle_timeout_ms = 100\n");
  const auto caller = f.Connect();
  caller->Send(kGet);
  REQUIRE(f.Wait([&] { return f.upstream.requests() == 1; }));
  Timer answer(&f.loop,
               [&] { f.upstream.connections[0]->Send(HttpResponse("200 OK", "", "late")); });
  answer.Schedule(500ms);
  CHECK(f.WaitFor(*caller, "late"));
}

TEST_CASE("if too many connections are idle, the longest idle ones are closed", "[callers_test]") {
  GatewayFixture f("[limits]\nidle_connections = 2\n");
  const auto busy = f.Connect();
  busy->Send(kGet);
  REQUIRE(f.Wait([&] { return f.upstream.requests() == 1; }));
  std::vector<std::unique_ptr<TextConnection>> idle;
  for (int i = 0; i < 5; ++i) {
    idle.push_back(f.Connect());
  }
  const auto closed_count = [&] {
    return std::count_if(idle.begin(), idle.end(),
                         [](const auto& caller) { return caller->closed; });
  };
  CHECK(f.Wait([&] { return closed_count() == 3; }));
  f.upstream.connections[0]->Send(HttpResponse("200 OK", "", "kept"));
  CHECK(f.WaitFor(*busy, "kept"));
  CHECK(closed_count() <= 4);
}

TEST_CASE("the attempt of a call is cancelled when its caller disconnects", "[callers_test]") {
  GatewayFixture f;
  const auto caller = f.Connect();
  caller->Send(kGet + "GET /next HTTP/1.1\r\n");
  REQUIRE(f.Wait([&] { return f.upstream.requests() == 1; }));
  caller->Close();
  CHECK(f.Wait([&] { return f.upstream.connections[0]->closed; }));
  CHECK(f.Status("/metrics").find("jackdawdeck_calls_total{end=\"caller-gone\"} 1") !=
        std::string::npos);
  CheckStillServes(&f);
}

TEST_CASE("the answer to a HEAD request keeps its Content-Length and has no body",
          "[callers_test]") {
  GatewayFixture f;
  f.upstream.on_request = [](TextConnection& connection) {
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n");
  };
  const auto caller = f.Connect();
  caller->Send("HEAD /a HTTP/1.1\r\nx-service: s\r\n\r\n");
  REQUIRE(f.WaitFor(*caller, "\r\n\r\n"));
  CHECK(caller->Count("Content-Length: 77") == 1);
  f.AnswerAll();
  caller->Send(kGet);
  CHECK(f.WaitFor(*caller, "done"));
}

}  // namespace
}  // namespace jd
