#include <catch2/catch.hpp>

#include "tests/upstream_harness.h"

namespace jd {
namespace {

using Fixture = UpstreamFixture;

TEST_CASE("responses without end share one limit on memory", "[upstream_test]") {
  // Guards against a process that runs out of memory because several upstreams send without end at
  // the same time: each response was bounded, their sum was not.
  constexpr uint64_t kEndless = 30;
  Fixture f;
  f.Configure(kEndless + 1);
  f.server.on_request = [](TextConnection& connection) {
    connection.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  };
  for (uint64_t attempt = 1; attempt <= kEndless; ++attempt) {
    f.Send(attempt);
  }
  REQUIRE(RunUntil(&f.loop, [&] { return f.server.requests() == kEndless; }));
  const std::string chunk = "8000\r\n" + std::string(0x8000, 'x') + "\r\n";
  size_t largest = 0;
  for (int round = 0; round < 40; ++round) {
    for (const auto& connection : f.server.connections) {
      connection->Send(chunk);
    }
    f.RunLoopBriefly();
    largest = std::max(largest, f.pool.response_bytes());
  }
  const auto failed = [&] {
    return std::count_if(f.results.begin(), f.results.end(), [](const auto& entry) {
      return !entry.second.empty() &&
             entry.second.front().outcome == AttemptOutcome::kConnectionLost;
    });
  };
  // 30 responses of 40 chunks would take 39 MB. All but the small ones have failed.
  CHECK(largest <= kMemoryBytes + kEndless * ResponseMemory::kSmallResponseBytes);
  CHECK(failed() > 0);
  CHECK(f.pool.response_bytes() <= kMemoryBytes);
  // Another call is served meanwhile.
  f.AnswerAll(kOk);
  f.Send(kEndless + 1);
  CHECK(f.WaitForResult(kEndless + 1).outcome == AttemptOutcome::kAnswered);
}

TEST_CASE("an endpoint without an IP address costs its own calls and probes alone",
          "[upstream_test]") {
  // Guards against an exception that leaves the event loop and ends the gateway, with every call in
  // flight.
  Fixture f(GENERATE("ledger-7", "10.128.0", "[::1]"));
  f.Send(1);
  CHECK(f.WaitForResult(1).outcome == AttemptOutcome::kConnectFailed);
  f.pool.Probe({EndpointId("e"), 10s});
  REQUIRE(f.probes.size() == 1);
  CHECK_FALSE(f.probes[0].answered);
  CHECK(f.pool.connections() == 0);
}

TEST_CASE(
    "a request is sent only once if the upstream closes the reused connection after reading it",
    "[upstream_test]") {
  // Guards against an HTTP client library that resends a request, which may not be idempotent, on a
  // new connection.
  Fixture f;
  f.AnswerAll(kOk);
  f.Send(1);
  const AttemptResult first = f.WaitForResult(1);
  CHECK(first.outcome == AttemptOutcome::kAnswered);
  CHECK(first.new_connection);
  REQUIRE(first.report);
  CHECK(first.report->in_flight == 1);
  CHECK(first.report->instance == InstanceId("i7"));
  f.server.on_request = [](TextConnection& connection) { connection.Close(); };
  f.Send(2);
  const AttemptResult second = f.WaitForResult(2);
  CHECK_FALSE(second.new_connection);
  CHECK(second.outcome == AttemptOutcome::kConnectionLost);
  CHECK(second.request_written);
  CHECK_FALSE(second.response_started);
  f.RunLoopBriefly();
  CHECK(f.server.requests() == 2);
  CHECK(f.server.connections.size() == 1);
}

TEST_CASE("an attempt avoids a connection on which a second answer may still arrive",
          "[upstream_test]") {
  // Guards against a call that is aborted because a late second answer to an earlier call on the
  // same connection is taken for the answer to this call. This was observed: a call in flight was
  // aborted after a stop was announced.
  Fixture f;
  f.Send(1);
  f.pool.Probe({EndpointId("e"), 10s});
  REQUIRE(RunUntil(&f.loop, [&] { return f.server.requests() == 2; }));
  REQUIRE(f.server.connections.size() == 2);
  const size_t call_connection = f.server.connections[0]->Count("POST") == 1 ? 0 : 1;
  f.server.connections[1 - call_connection]->Answer(kOk);
  REQUIRE(RunUntil(&f.loop, [&] { return f.probes.size() == 1; }));
  f.server.connections[call_connection]->Answer(kOk);
  f.WaitForResult(1);
  f.Send(2);
  REQUIRE(RunUntil(&f.loop, [&] { return f.server.requests() == 3; }));
  f.server.connections[call_connection]->Answer(kOk);
  f.RunLoopBriefly();
  CHECK(f.results[2].empty());
  f.server.connections[1 - call_connection]->Answer(kOk);
  CHECK(f.WaitForResult(2).outcome == AttemptOutcome::kAnswered);
}

TEST_CASE("a call uses the connection on which a probe has just succeeded", "[upstream_test]") {
  // Guards against calls that are lost on connections that the upstream dropped while they were
  // idle. The loss is detected only after a part of the request has been sent, so a call that is
  // not idempotent cannot be retried.
  Fixture f;
  f.Send(1);
  f.Send(2);
  REQUIRE(RunUntil(&f.loop, [&] { return f.server.requests() == 2; }));
  REQUIRE(f.server.connections.size() == 2);
  for (const auto& connection : f.server.connections) {
    connection->Answer(kOk);
  }
  f.WaitForResult(1);
  f.WaitForResult(2);
  // From here on the server closes these two connections when a request arrives on them.
  f.server.on_request = [&](TextConnection& connection) {
    const bool dropped = &connection == f.server.connections[0].get() ||
                         &connection == f.server.connections[1].get();
    if (dropped) {
      connection.Close();
    } else {
      connection.Answer(kOk);
    }
  };
  f.pool.Probe({EndpointId("e"), 10s});
  REQUIRE(RunUntil(&f.loop, [&] { return f.probes.size() == 1; }));
  CHECK(f.probes[0].answered);
  f.Send(3);
  CHECK(f.WaitForResult(3).outcome == AttemptOutcome::kAnswered);
  CHECK(f.server.connections.size() == 3);
  CHECK(f.pool.connections() == 1);
}

TEST_CASE("an idle connection that the upstream closed is not used", "[upstream_test]") {
  Fixture f;
  f.AnswerAll(kOk);
  f.Send(1);
  f.WaitForResult(1);
  f.server.connections[0]->Close();  // The pool's event loop has not handled this yet.
  f.Send(2);
  const AttemptResult result = f.WaitForResult(2);
  CHECK(result.outcome == AttemptOutcome::kAnswered);
  CHECK(result.new_connection);
  CHECK(f.pool.connections() == 1);
}

TEST_CASE("a request whose connection is refused counts as not run", "[upstream_test]") {
  Fixture f;
  f.server.StopListening();
  f.Send(1);
  const AttemptResult result = f.WaitForResult(1);
  CHECK(result.outcome == AttemptOutcome::kConnectFailed);
  CHECK_FALSE(result.request_written);
  CHECK(VerdictOf(result) == Verdict::kNotRun);
  f.RunLoopBriefly();
  CHECK(f.pool.connections() == 0);
}

TEST_CASE("only a 503 with the header x-refused counts as refused before running",
          "[upstream_test]") {
  Fixture f;
  f.AnswerAll(HttpResponse("503 Busy", "x-refused: not-run\r\n", ""));
  f.Send(1);
  CHECK(f.WaitForResult(1).outcome == AttemptOutcome::kRefused);
  f.AnswerAll(HttpResponse("503 Busy", "", ""));
  f.Send(2);
  CHECK(f.WaitForResult(2).outcome == AttemptOutcome::kAnswered);
  f.AnswerAll(HttpResponse("500 Oops", "x-refused: not-run\r\n", ""));
  f.Send(3);
  CHECK(f.WaitForResult(3).outcome == AttemptOutcome::kAnswered);
}

TEST_CASE("a truncated response counts as a lost connection", "[upstream_test]") {
  // Guards against a partial response that is relayed as a complete one.
  Fixture f;
  for (const char* start : {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"}) {
    f.server.on_request = [start](TextConnection& connection) { connection.Send(start); };
    const uint64_t attempt = f.results.size() + 1;
    f.Send(attempt);
    REQUIRE(RunUntil(&f.loop, [&] { return f.server.requests() == attempt; }));
    f.RunLoopBriefly();
    f.server.connections.back()->Close();
    const AttemptResult result = f.WaitForResult(attempt);
    CHECK(result.outcome == AttemptOutcome::kConnectionLost);
    CHECK(result.response_started);
  }
}

TEST_CASE("a cancelled attempt is reported once and its late answer is dropped",
          "[upstream_test]") {
  Fixture f;
  f.Send(1);
  REQUIRE(RunUntil(&f.loop, [&] { return f.server.requests() == 1; }));
  f.pool.Cancel(AttemptId(1));
  const AttemptResult result = f.WaitForResult(1);
  CHECK(result.outcome == AttemptOutcome::kCancelled);
  CHECK(result.request_written);
  f.server.connections[0]->Answer(kOk);
  f.pool.Cancel(AttemptId(1));
  f.AnswerAll(HttpResponse("201 Created", "", ""));
  f.Send(2);
  CHECK(f.WaitForResult(2).status == 201);
  CHECK(f.results[1].size() == 1);
  CHECK(f.server.connections.size() == 2);
  CHECK(f.server.connections[0]->closed);
}

TEST_CASE("an attempt that is cancelled before its connection opens writes no request",
          "[upstream_test]") {
  Fixture f;
  f.Send(1);
  f.pool.Cancel(AttemptId(1));
  const AttemptResult result = f.WaitForResult(1);
  CHECK(result.outcome == AttemptOutcome::kCancelled);
  CHECK_FALSE(result.request_written);
  f.RunLoopBriefly();
  CHECK(f.server.requests() == 0);
}

TEST_CASE("an attempt ends at its time limit, which is sent to the upstream", "[upstream_test]") {
  Fixture f;
  f.Send(1, 200ms);
  const AttemptResult result = f.WaitForResult(1);
  CHECK(result.outcome == AttemptOutcome::kTimedOut);
  CHECK(result.request_written);
  CHECK(f.server.received().find("x-deadline-ms: 200\r\n") != std::string::npos);
}

TEST_CASE("the time limit that is sent to an upstream is never 0", "[upstream_test]") {
  // Guards against rounding a limit below 1 ms down to 0, which means that the limit has passed.
  Fixture f;
  f.AnswerAll(kOk);
  f.Send(1);
  f.WaitForResult(1);
  // The connection is already open, so the request is written before the limit is checked.
  f.Send(2, 900us);
  f.WaitForResult(2);
  f.RunLoopBriefly();
  const std::string sent = f.server.received();
  CHECK(sent.find("x-deadline-ms: 1\r\n") != std::string::npos);
  CHECK(sent.find("x-deadline-ms: 0\r\n") == std::string::npos);
}

TEST_CASE("no second Host header is added to the caller's, whatever the case of its name",
          "[upstream_test]") {
  // Two servers could interpret a request with two Host headers differently.
  Fixture f;
  UpstreamRequest request;
  request.target = "/";
  request.headers = {{"host", "records"}};
  f.AnswerAll(kOk);
  f.pool.Send({CallId(1), AttemptId(1), EndpointId("e"), 60s}, request);
  f.WaitForResult(1);
  const std::string sent = f.server.received();
  CHECK(sent.find("host: records\r\n") != std::string::npos);
  CHECK(sent.find("Host: ") == std::string::npos);
}

TEST_CASE("an endpoint never has more connections than max_connections", "[upstream_test]") {
  Fixture f;
  f.Configure(2);
  for (uint64_t attempt = 1; attempt <= 3; ++attempt) {
    f.Send(attempt);
  }
  const AttemptResult third = f.WaitForResult(3);
  CHECK(third.outcome == AttemptOutcome::kConnectFailed);
  CHECK_FALSE(third.request_written);
  CHECK(f.pool.connections() == 2);
  f.pool.Cancel(AttemptId(1));
  f.AnswerAll(kOk);
  f.Send(4);
  CHECK(f.WaitForResult(4).outcome == AttemptOutcome::kAnswered);
}

TEST_CASE("closing old connections ends old attempts and keeps newer connections",
          "[upstream_test]") {
  Fixture f;
  const auto send = [&](uint64_t attempt) {
    f.Send(attempt, 60s, true);
    REQUIRE(RunUntil(&f.loop, [&] { return f.server.requests() == attempt; }));
    const MonoTime sent = f.loop.ReadClocks().mono;
    REQUIRE(RunUntil(&f.loop, [&] { return f.loop.ReadClocks().mono > sent; }));
    return f.loop.ReadClocks().mono;
  };
  const MonoTime between = send(1);
  const MonoTime after = send(2);
  f.pool.CloseOldConnections({EndpointId("e"), between, after});
  CHECK(f.WaitForResult(1).outcome == AttemptOutcome::kConnectionLost);
  CHECK(f.results[2].empty());
  f.server.connections[1]->Answer(kOk);
  CHECK(f.WaitForResult(2).outcome == AttemptOutcome::kAnswered);
}

// Guards against aborting a request that is processed normally on a connection that is as old as
// the connections suspected to be dead.
TEST_CASE("closing old connections does not abort attempts that are new or being answered",
          "[upstream_test]") {
  Fixture f;
  f.AnswerAll(kOk);
  f.Send(1);
  f.WaitForResult(1);
  f.server.on_request = nullptr;
  const MonoTime opened = f.loop.ReadClocks().mono;
  REQUIRE(RunUntil(&f.loop, [&] { return f.loop.ReadClocks().mono > opened; }));
  f.Send(2, 60s, true);
  REQUIRE(RunUntil(&f.loop, [&] { return f.server.requests() == 2; }));
  f.pool.CloseOldConnections({EndpointId("e"), opened, opened});
  CHECK(f.results[2].empty());
  const std::string answer = kOk.substr(0, kOk.find("\r\n") + 2) + "x-request-id: r2\r\n" +
                             kOk.substr(kOk.find("\r\n") + 2);
  f.server.connections[0]->Send(answer.substr(0, 20));
  f.RunLoopBriefly();
  const MonoTime later = f.loop.ReadClocks().mono + 1s;
  f.pool.CloseOldConnections({EndpointId("e"), later, later});
  CHECK(f.results[2].empty());
  f.server.connections[0]->Send(answer.substr(20));
  CHECK(f.WaitForResult(2).outcome == AttemptOutcome::kAnswered);
  CHECK(f.server.connections.size() == 1);
  f.pool.CloseOldConnections({EndpointId("e"), later, MonoTime()});
  CHECK(f.pool.connections() == 0);
}

TEST_CASE("closing old connections does not end an attempt that cannot be sent again",
          "[upstream_test]") {
  // Guards against an order that is broken off, with an error for its caller, because another call
  // to the same slow endpoint has timed out.
  Fixture f;
  f.Send(1);
  REQUIRE(RunUntil(&f.loop, [&] { return f.server.requests() == 1; }));
  const MonoTime later = f.loop.ReadClocks().mono + 1s;
  f.pool.CloseOldConnections({EndpointId("e"), later, later});
  f.RunLoopBriefly();
  CHECK(f.results[1].empty());
  f.server.connections[0]->Answer(kOk);
  CHECK(f.WaitForResult(1).outcome == AttemptOutcome::kAnswered);
}

TEST_CASE("a second copy of an answer does not reach the next call", "[upstream_test]") {
  // Guards against a caller that gets the answer to another caller's request, because the server
  // sent that answer twice on a connection that was in use again.
  Fixture f;
  f.AnswerAll(kOk);
  f.Send(1);
  f.WaitForResult(1);
  f.server.on_request = nullptr;
  f.Send(2);
  REQUIRE(RunUntil(&f.loop, [&] { return f.server.requests() == 2; }));
  TextConnection& connection = *f.server.connections.back();
  connection.Send(HttpResponse("200 OK", "x-request-id: r1\r\n", "first"));
  f.RunLoopBriefly();
  CHECK(f.results[2].empty());
  connection.Send(HttpResponse("201 Created", "x-request-id: r2\r\n", "second"));
  const AttemptResult result = f.WaitForResult(2);
  CHECK(result.outcome == AttemptOutcome::kAnswered);
  CHECK(result.status == 201);
  // More copies may follow, so the connection is closed.
  CHECK(f.pool.connections() == 0);
}

TEST_CASE("a connection is not reused after an answer that names no request", "[upstream_test]") {
  // Guards against a second copy that cannot be told from the answer to the next request.
  Fixture f;
  f.server.on_request = [](TextConnection& connection) { connection.Send(kOk); };
  f.Send(1);
  CHECK(f.WaitForResult(1).outcome == AttemptOutcome::kAnswered);
  CHECK(f.pool.connections() == 0);
}

TEST_CASE("a call is lost, and may have run, if only foreign answers arrive", "[upstream_test]") {
  Fixture f;
  f.Send(1);
  REQUIRE(RunUntil(&f.loop, [&] { return f.server.requests() == 1; }));
  const std::string foreign = HttpResponse("200 OK", "x-request-id: other\r\n", "foreign");
  f.server.connections[0]->Send(foreign + foreign);
  const AttemptResult result = f.WaitForResult(1);
  CHECK(result.outcome == AttemptOutcome::kInvalid);
  CHECK(VerdictOf(result) == Verdict::kMayHaveRun);
}

TEST_CASE("interim answers without end close the connection", "[upstream_test]") {
  // Guards against memory that grows until the deadline, and against an interim answer that is
  // relayed as the final one.
  Fixture f;
  const std::string status = GENERATE(as<std::string>{}, "100 Continue", "103 Early Hints");
  f.Send(1);
  REQUIRE(RunUntil(&f.loop, [&] { return f.server.requests() == 1; }));
  std::string interim;
  for (int i = 0; i < 1000; ++i) {
    interim += "HTTP/1.1 " + status + "\r\nlink: x\r\n\r\n";
  }
  f.server.connections[0]->Send(interim);
  const AttemptResult result = f.WaitForResult(1);
  CHECK(result.outcome == AttemptOutcome::kConnectionLost);
  CHECK(result.response_started);
  CHECK(f.pool.connections() == 0);
}

TEST_CASE("an answer with an invalid status is a lost connection at once", "[upstream_test]") {
  // Guards against a call that waits for its deadline although another attempt could serve it.
  Fixture f;
  const std::string status = GENERATE(as<std::string>{}, "000", "099", "600", "999");
  f.AnswerAll(HttpResponse(status + " OK", "", "done"));
  f.Send(1);
  const AttemptResult result = f.WaitForResult(1);
  CHECK(result.outcome == AttemptOutcome::kConnectionLost);
  CHECK(result.response_started);
  CHECK(VerdictOf(result) == Verdict::kMayHaveRun);
  CHECK(f.pool.connections() == 0);
}

TEST_CASE("a probe requests the health path", "[upstream_test]") {
  Fixture f;
  f.AnswerAll(kOk);
  f.pool.Probe({EndpointId("e"), 60s});
  REQUIRE(RunUntil(&f.loop, [&] { return !f.probes.empty(); }));
  const std::string sent = f.server.received();
  CHECK(sent.starts_with("GET /healthy HTTP/1.1\r\n"));
  for (const char* header : {"x-service: s\r\n", "x-request-id: probe-1\r\n",
                             "x-deadline-ms: 60000\r\n", "Host: 127.0.0.1\r\n"}) {
    INFO(header);
    CHECK(sent.find(header) != std::string::npos);
  }
  CHECK(f.probes[0].answered);
  CHECK(f.probes[0].report->slots == 4);
  f.pool.Probe({EndpointId("unknown"), 60s});
  REQUIRE(f.probes.size() == 2);
  CHECK_FALSE(f.probes[1].answered);
  CHECK(f.results.empty());
}

}  // namespace
}  // namespace jd
