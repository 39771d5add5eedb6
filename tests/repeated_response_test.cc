#include <catch2/catch.hpp>

#include "tests/upstream_harness.h"

namespace jd {
namespace {

const std::string kRefused = HttpResponse("503 Service Unavailable", "x-refused: not-run\r\n", "");
const std::string kFailed = HttpResponse("500 Internal Server Error", "", "failed");

// Ends an attempt of request "r" with `response`, and starts another one of the same request.
void SendTwice(UpstreamFixture* f, const std::string& response) {
  f->AnswerAll(response);
  f->SendFor("r", 1);
  f->WaitForResult(1);
  f->server.on_request = nullptr;
  const size_t sent = f->server.requests();
  f->SendFor("r", 2);
  REQUIRE(RunUntil(&f->loop, [&] { return f->server.requests() == sent + 1; }));
}

TEST_CASE("a second copy of a refusal does not end the next attempt of the same request",
          "[repeated_response_test]") {
  // Guards against "not run" for an order that runs: the upstream refused the first attempt, ran
  // the second one, which came on the same connection, and sent its refusal once more.
  UpstreamFixture f;
  const std::string response = GENERATE(kRefused, kFailed);
  SendTwice(&f, response);
  f.server.connections.front()->Answer(response);
  f.RunLoopBriefly();
  CHECK(f.results[2].empty());
  f.server.connections.back()->Answer(kOk);
  CHECK(f.WaitForResult(2).outcome == AttemptOutcome::kAnswered);
}

TEST_CASE("an attempt avoids a connection that carried the request before others",
          "[repeated_response_test]") {
  // Guards against a memory of the last request only: a copy may come at any later time.
  UpstreamFixture f;
  f.AnswerAll(kRefused);
  f.SendFor("r", 1);
  f.WaitForResult(1);
  f.AnswerAll(kOk);
  f.SendFor("other", 2);
  CHECK_FALSE(f.WaitForResult(2).new_connection);
  f.SendFor("r", 3);
  CHECK(f.WaitForResult(3).new_connection);
  CHECK(f.pool.connections_passed_over() == 1);
}

TEST_CASE("a repeated request finds a connection at an endpoint with as many as its limit allows",
          "[repeated_response_test]") {
  // Guards against a call that fails because each connection has carried an earlier attempt of it.
  UpstreamFixture f;
  f.Configure(1);
  SendTwice(&f, kRefused);
  f.server.connections.back()->Answer(kOk);
  const AttemptResult second = f.WaitForResult(2);
  CHECK(second.outcome == AttemptOutcome::kAnswered);
  CHECK(second.new_connection);
  CHECK(f.pool.connections() == 1);
}

TEST_CASE("a connection with many unsuccessful requests is closed, so that none is forgotten",
          "[repeated_response_test]") {
  // Guards against memory that grows with the requests that an upstream refuses, and against one
  // that forgets.
  UpstreamFixture f;
  f.AnswerAll(kRefused);
  for (uint64_t attempt = 1; attempt <= UnsuccessfulRequests::kMaxRequests + 2; ++attempt) {
    f.Send(attempt);
    f.WaitForResult(attempt);
  }
  CHECK(f.results[UnsuccessfulRequests::kMaxRequests + 1].front().new_connection == false);
  CHECK(f.results[UnsuccessfulRequests::kMaxRequests + 2].front().new_connection);
  CHECK(f.server.connections.size() == 2);
}

}  // namespace
}  // namespace jd
