#include <catch2/catch.hpp>

#include <sstream>

#include "tests/gateway_harness.h"

namespace jd {
namespace {

const std::string kLimits = "[limits]\nbody_bytes = 100000\n";

std::string Get(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nx-service: s\r\nx-request-id: " + path.substr(1) +
         "\r\n\r\n";
}

std::string Post(const std::string& path, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nx-service: s\r\nx-request-id: " + path.substr(1) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Answers the request for a path that waits at the upstream.
void AnswerPath(GatewayFixture* f, const std::string& path) {
  for (const auto& connection : f->upstream.connections) {
    const size_t at = connection->received.rfind(" /");
    if (at != std::string::npos &&
        connection->received.compare(at + 1, path.size() + 1, path + " ") == 0) {
      connection->Answer(HttpResponse("200 OK", "", "answer-to-" + path.substr(1)));
      return;
    }
  }
  FAIL("no request for " + path);
}

TEST_CASE("pipelined idempotent requests are sent as they come and answered in order",
          "[pipelining_test]") {
  // Guards against requests that wait for a slow one before them.
  GatewayFixture f;
  const auto caller = f.Connect();
  caller->Send(Get("/a") + Get("/b") + Get("/c"));
  REQUIRE(f.Wait([&] { return f.upstream.requests() == 3; }));
  AnswerPath(&f, "/c");
  AnswerPath(&f, "/b");
  CHECK(f.Wait([&] {
    return f.Status("/metrics").find("calls_total{end=\"answered\"} 2") != std::string::npos;
  }));
  CHECK(caller->received.empty());
  AnswerPath(&f, "/a");
  REQUIRE(f.WaitFor(*caller, "answer-to-c"));
  CHECK(caller->received.find("answer-to-a") < caller->received.find("answer-to-b"));
  CHECK(caller->received.find("answer-to-b") < caller->received.find("answer-to-c"));
}

TEST_CASE("a request that may not run twice waits for those before it", "[pipelining_test]") {
  GatewayFixture f;
  const auto caller = f.Connect();
  caller->Send(Get("/a") + Post("/b", "x") + Get("/c"));
  REQUIRE(f.Wait([&] { return f.upstream.requests() == 1; }));
  // A call on another connection shows that the gateway has handled its input.
  const auto other = f.Connect();
  other->Send(Get("/other"));
  REQUIRE(f.Wait([&] { return f.upstream.requests() == 2; }));
  CHECK(f.upstream.received().find("/b") == std::string::npos);
  AnswerPath(&f, "/a");
  REQUIRE(f.Wait([&] { return f.upstream.received().find(" /b ") != std::string::npos; }));
  CHECK(f.upstream.received().find(" /c ") == std::string::npos);
  AnswerPath(&f, "/b");
  REQUIRE(f.Wait([&] { return f.upstream.received().find(" /c ") != std::string::npos; }));
  AnswerPath(&f, "/c");
  CHECK(f.WaitFor(*caller, "answer-to-c"));
}

TEST_CASE("a caller has a bounded number of pipelined calls", "[pipelining_test]") {
  // Guards against one connection that takes the room of all others.
  GatewayFixture f;
  const auto caller = f.Connect();
  std::string requests;
  for (int i = 0; i < 40; ++i) {
    requests += Get("/p" + std::to_string(i));
  }
  caller->Send(requests);
  const auto calls = [&] {
    std::istringstream page(f.Status("/metrics"));
    for (std::string line; std::getline(page, line);) {
      if (line.starts_with("jackdawdeck_calls_in_flight ")) {
        return std::stoi(line.substr(line.find(' ')));
      }
    }
    return -1;
  };
  CHECK(f.Wait([&] { return calls() == 16; }));
  f.AnswerAll();
  for (const auto& connection : f.upstream.connections) {
    connection->Answer(HttpResponse("200 OK", "", "done"));
  }
  CHECK(f.WaitFor(*caller, "done", 40));
}

TEST_CASE("what lies behind an answer that closes the connection does not run",
          "[pipelining_test]") {
  // Guards against a request that runs although its caller was told nothing of it.
  GatewayFixture f;
  f.AnswerAll();
  const auto caller = f.Connect();
  caller->Send("GET /a HTTP/1.1\r\nx-service: s\r\nConnection: close\r\n\r\n" + Get("/b"));
  CHECK(f.Wait([&] { return caller->closed; }));
  CHECK(caller->Count("done") == 1);
  CHECK(f.upstream.requests() == 1);
}

TEST_CASE("every pipelined call is cancelled when its caller disconnects", "[pipelining_test]") {
  GatewayFixture f;
  const auto caller = f.Connect();
  caller->Send(Get("/a") + Get("/b") + Get("/c"));
  REQUIRE(f.Wait([&] { return f.upstream.requests() == 3; }));
  caller->Close();
  CHECK(f.Wait([&] {
    return std::all_of(f.upstream.connections.begin(), f.upstream.connections.end(),
                       [](const auto& connection) { return connection->closed; });
  }));
  CHECK(f.Status("/metrics").find("calls_total{end=\"caller-gone\"} 3") != std::string::npos);
}

TEST_CASE("a planned stop answers the pipelined calls that have been read", "[pipelining_test]") {
  // Guards against calls that were sent to upstreams and end without an answer.
  GatewayFixture f;
  const auto caller = f.Connect();
  caller->Send(Get("/a") + Get("/b") + Get("/c"));
  REQUIRE(f.Wait([&] { return f.upstream.requests() == 3; }));
  f.gateway.Stop();
  AnswerPath(&f, "/a");
  REQUIRE(f.WaitFor(*caller, "answer-to-a"));
  AnswerPath(&f, "/b");
  AnswerPath(&f, "/c");
  REQUIRE(f.WaitFor(*caller, "answer-to-c"));
  CHECK(caller->Count("Connection: close") == 1);
  CHECK(f.Wait([&] { return f.stopped; }));
}

TEST_CASE("an interim answer waits for the answers before it", "[pipelining_test]") {
  GatewayFixture f(kLimits);
  const auto caller = f.Connect();
  caller->Send(Get("/a") +
               "POST /b HTTP/1.1\r\nx-service: s\r\nx-request-id: b\r\nExpect: 100-continue\r\n"
               "Content-Length: 4\r\n\r\n");
  REQUIRE(f.Wait([&] { return f.upstream.requests() == 1; }));
  CHECK(caller->received.empty());
  AnswerPath(&f, "/a");
  REQUIRE(f.WaitFor(*caller, "100 Continue"));
  CHECK(caller->received.find("answer-to-a") < caller->received.find("100 Continue"));
  caller->Send("body");
  REQUIRE(f.Wait([&] { return f.upstream.requests() == 2; }));
  AnswerPath(&f, "/b");
  CHECK(f.WaitFor(*caller, "answer-to-b"));
}

TEST_CASE("over the limit on memory the largest incomplete request is refused",
          "[pipelining_test]") {
  // Guards against ordinary calls that fail because of callers that send without end.
  GatewayFixture f("[limits]\nbody_bytes = 1000000\ncaller_memory_mb = 1\n");
  f.AnswerAll();
  const std::string start = "POST /a HTTP/1.1\r\nx-service: s\r\nContent-Length: 900000\r\n\r\n";
  const auto smaller = f.Connect();
  smaller->Send(start + std::string(500000, 'x'));
  const auto larger = f.Connect();
  larger->Send(start + std::string(700000, 'x'));
  REQUIRE(f.WaitFor(*larger, "HTTP/1.1 503"));
  CHECK(f.Wait([&] { return larger->closed; }));
  CHECK(larger->Count("x-verdict: not-run") == 1);
  CHECK(larger->Count("retry-after: 1") == 1);
  CHECK(f.upstream.requests() == 0);
  const auto ordinary = f.Connect();
  ordinary->Send(kGet);
  CHECK(f.WaitFor(*ordinary, "done"));
  smaller->Send(std::string(400000, 'x'));
  CHECK(f.WaitFor(*smaller, "done"));
}

TEST_CASE("a caller that does not read its answers is closed over the limit on memory",
          "[pipelining_test]") {
  // Guards against answers that pile up until the process has no memory left.
  GatewayFixture f("[limits]\nbody_bytes = 1000\ncaller_memory_mb = 1\n");
  f.AnswerAll("", std::string(8 << 20, 'x'));
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = Loopback(f.gateway.caller_port());
  REQUIRE(connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
  const std::string requests = Get("/a") + Get("/b") + Get("/c") + Get("/d");
  REQUIRE(send(socket, requests.data(), requests.size(), MSG_NOSIGNAL) > 0);
  REQUIRE(f.Wait([&] { return f.upstream.requests() > 0; }));
  CHECK(f.Wait([&] {
    return f.Status("/metrics").find("jackdawdeck_caller_connections 0") != std::string::npos;
  }));
  evutil_closesocket(socket);
}

}  // namespace
}  // namespace jd
