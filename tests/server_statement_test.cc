#include "platform/server_statement.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "gateway/http_dialect.h"
#include "platform/platform_dialect.h"

namespace jd {
namespace {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Parsed {
  UpstreamStatement statement;
  std::string unreadable;
};

Parsed Parse(int status, const Headers& headers, const std::string& request = "r1") {
  HttpResponse response;
  response.status = status;
  response.headers = headers;
  Parsed parsed;
  parsed.statement = ParseServerStatement(RequestId(request), response, &parsed.unreadable);
  return parsed;
}

TEST_CASE("any response to a call or a probe can say that the endpoint leaves",
          "[server_statement_test]") {
  // Guards against a statement that is read only in successes (DRAIN).
  for (const int status : {200, 404, 408, 429, 500, 503}) {
    INFO(status);
    CHECK(Parse(status, {{"Request-Id", "r1"}, {"server-leaving", "1"}}).statement.leaving);
    CHECK(Parse(status, {{"Server-Leaving", "1"}}).statement.leaving);
    CHECK(Parse(status, {{"Server-Leaving", "1"}}, "").statement.leaving);
  }
  CHECK(Parse(200, {{"Request-Id", "r1"}}).statement.empty());
}

TEST_CASE("a response to another request or of another upstream says nothing",
          "[server_statement_test]") {
  // Guards against a late copy of a response that holds an endpoint back which has started again.
  const Headers foreign{{"Request-Id", "r2"}, {"Server-Leaving", "1"}, {"Retry-After", "3"}};
  CHECK(Parse(503, foreign).statement.empty());
  CHECK(Parse(503, foreign, "").statement.empty());
  CHECK(Parse(421, {{"Request-Id", "r1"}, {"Server-Leaving", "1"}}).statement.empty());
  const Headers named{{"Instance-Id", "i-1"}, {"Server-Leaving", "1"}};
  CHECK(Parse(200, named).statement.instance == InstanceId("i-1"));
}

TEST_CASE("a leaving header with another value or repeated is ignored and logged",
          "[server_statement_test]") {
  for (const std::string value : {"0", "", "2", "true", "01", "1 1"}) {
    const Parsed parsed = Parse(200, {{"Server-Leaving", value}});
    CHECK_FALSE(parsed.statement.leaving);
    CHECK(parsed.unreadable == "Server-Leaving=" + value);
  }
  const Parsed repeated = Parse(200, {{"Server-Leaving", "1"}, {"Server-Leaving", "1"}});
  CHECK_FALSE(repeated.statement.leaving);
  CHECK_FALSE(repeated.unreadable.empty());
}

TEST_CASE("a 503 says for how long the endpoint wants nothing", "[server_statement_test]") {
  struct Row {
    const char* value;
    std::optional<Duration> time;
  };
  const std::string many_digits(400, '9');
  const Row rows[] = {{"2", Duration(2s)},
                      {"0.25", Duration(250ms)},
                      {"0", Duration(0)},
                      {"99999999999", Duration(1440min)},
                      {many_digits.c_str(), Duration(1440min)},
                      {"-1", std::nullopt},
                      {"-0", std::nullopt},
                      {"", std::nullopt},
                      {"soon", std::nullopt},
                      {"inf", std::nullopt},
                      {"nan", std::nullopt},
                      {"1e3", std::nullopt},
                      {"2 s", std::nullopt},
                      {"Sun, 06 Dec 2026 22:00:00 GMT", std::nullopt}};
  for (const Row& row : rows) {
    INFO(row.value);
    const Parsed parsed = Parse(503, {{"Request-Id", "r1"}, {"Retry-After", row.value}});
    CHECK(parsed.statement.wants_nothing_for == row.time);
    CHECK(parsed.unreadable.empty() == row.time.has_value());
  }
  CHECK(Parse(429, {{"Retry-After", "2"}}).statement.empty());
  CHECK(Parse(503, {{"Retry-After", "2"}, {"Retry-After", "2"}}).statement.wants_nothing_for ==
        Duration(2s));
  CHECK_FALSE(Parse(503, {{"Retry-After", "2"}, {"Retry-After", "3"}}).statement.wants_nothing_for);
}

TEST_CASE("both dialects report statements, and the leaving header is not passed on",
          "[server_statement_test]") {
  const PlatformDialect platform;
  CHECK(platform.HidesResponseHeader("server-leaving"));
  HttpResponse response;
  response.status = 503;
  response.headers = {
      {"Request-Id", "r1"}, {"Not-Executed", "1"}, {"Server-Leaving", "1"}, {"Retry-After", "1.5"}};
  const UpstreamReply reply = platform.ParseReply(RequestId("r1"), response);
  CHECK(reply.outcome == AttemptOutcome::kRefused);
  CHECK(reply.statement.leaving);
  CHECK(reply.statement.wants_nothing_for == Duration(1500ms));
  const NativeDialect native;
  response.headers = {{"x-request-id", "r1"}, {"x-refused", "not-run"}, {"retry-after", "2"}};
  CHECK(native.ParseReply(RequestId("r1"), response).statement.wants_nothing_for == Duration(2s));
  response.headers.erase(response.headers.begin() + 1);
  CHECK(native.ParseReply(RequestId("r1"), response).statement.empty());
}

}  // namespace
}  // namespace jd
