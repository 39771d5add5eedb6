#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "platform/gateway_rows.h"
#include "platform/operator_rows.h"
#include "platform/platform_dialect.h"
#include "platform/server_limit.h"
#include "platform/store_rows.h"

namespace jd {
namespace {

const std::string kEndpointRow =
    R"({"service":"s1","address":"10.1.2.3:8080","zone":"z1","config_version":"v1","slots":4,)"
    R"("state":"ready","warmup_left_ms":0,"seq":4,"born":1700000000000})";

HttpReply Response(int status, const std::string& body, const std::string& era = "") {
  HttpReply response;
  response.status = status;
  response.body = body;
  if (!era.empty()) {
    response.headers.emplace_back("store-era", era);
  }
  return response;
}

TEST_CASE("the era of the store is read from every response", "[platform_adapter_test]") {
  // Guards against versions of another history that are taken for those of the known one.
  std::string error_message;
  CHECK(ParseWatchReply(Response(200, R"({"rows":[],"ver":1})", "3"), &error_message).era ==
        StoreEra(3));
  CHECK(ParseWatchReply(Response(410, "{}", "4"), &error_message).era == StoreEra(4));
  CHECK(ParseWatchReply(Response(503, "{}", "5"), &error_message).era == StoreEra(5));
  for (const std::string era : {"", "x", "-1", "1.5", "99999999999999999999"}) {
    INFO(era);
    const WatchReply reply = ParseWatchReply(Response(200, "{}", era), &error_message);
    CHECK_FALSE(reply.era);
    CHECK(reply.unreadable_era == era);
  }
}

TEST_CASE("rows are parsed from a full read and from the feed of changes",
          "[platform_adapter_test]") {
  std::string error_message;
  const WatchReply full_read = ParseWatchReply(
      Response(200,
               R"({"rows":[{"table":"my","part":"","key":"owner","value":"bm9kZS0x","ver":412}],)"
               R"("has_more":true,"ver":530,"now_ms":5})"),
      &error_message);
  CHECK(full_read.status == WatchStatus::kDone);
  CHECK(full_read.has_more);
  CHECK(full_read.version == 530);
  REQUIRE(full_read.rows.size() == 1);
  CHECK(full_read.rows[0].value == "node-1");
  const WatchReply feed = ParseWatchReply(
      Response(200,
               R"({"rows":[{"table":"my","part":"","key":"k","ver":7,"deleted":true}],"ver":7})"),
      &error_message);
  REQUIRE(feed.rows.size() == 1);
  CHECK(feed.rows[0].deleted);
  CHECK(error_message.empty());
}

TEST_CASE("an endpoint's limit is read only if it is one decimal number",
          "[platform_adapter_test]") {
  // Guards against a malformed limit that changes how many calls an endpoint gets.
  const auto parse = [](const std::vector<std::string>& values) {
    HttpHeaders headers = {{"Server-Load", "0,0,4"}};
    for (const std::string& value : values) {
      headers.emplace_back("server-limit", value);
    }
    std::string unreadable_value;
    return ParseServerLimit(headers, &unreadable_value);
  };
  CHECK(parse({}) == NamedLimit());
  CHECK(parse({"2.8"}) == NamedLimit{CallRate{2.8}, true});
  CHECK(parse({"0"}) == NamedLimit{CallRate{0}, true});
  CHECK(parse({"0.5", "0.5"}) == NamedLimit{CallRate{0.5}, true});
  CHECK(parse({"90000000"}) == NamedLimit{CallRate{90'000'000}, true});
  for (const std::string value : {"", "-1", "-0", "nan", "inf", "1e3", "2,8", "4 ", "x", "0x4"}) {
    INFO(value);
    CHECK(parse({value}) == NamedLimit{std::nullopt, false});
  }
  CHECK(parse({"3", "4"}) == NamedLimit{std::nullopt, false});
}

TEST_CASE("unusable responses of the store are reported as failures", "[platform_adapter_test]") {
  // Guards against an error response that is treated as an empty table: every endpoint would then
  // be removed.
  std::string error_message;
  CHECK(ParseWatchReply(Response(410, "{}"), &error_message).status == WatchStatus::kHistoryLost);
  for (const int status : {0, 403, 429, 500, 503}) {
    error_message.clear();
    CHECK(ParseWatchReply(Response(status, "{}"), &error_message).status == WatchStatus::kFailed);
    CHECK_FALSE(error_message.empty());
  }
  for (const char* body : {"", "[]", "{}", R"({"ver":1})", R"({"rows":[1],"ver":1})",
                           R"({"rows":[{"ver":1,"value":"bm9kZS0x"}],"ver":1})",
                           R"({"rows":[{"key":"k","value":"bm9kZS0x"}],"ver":1})"}) {
    error_message.clear();
    INFO(body);
    CHECK(ParseWatchReply(Response(200, body), &error_message).status == WatchStatus::kFailed);
    CHECK_FALSE(error_message.empty());
  }
}

TEST_CASE("a written row is read back unchanged", "[platform_adapter_test]") {
  CHECK(rc::check([](const std::string& value) {
    const HttpCall call = BuildWriteRequest("t", "k", value);
    const size_t begin = call.body.find("\"value\":\"") + 9;
    const std::string text = call.body.substr(begin, call.body.find('"', begin) - begin);
    std::string error_message;
    const WatchReply reply = ParseWatchReply(
        Response(200, R"({"rows":[{"key":"k","ver":1,"value":")" + text + R"("}],"ver":1})"),
        &error_message);
    RC_ASSERT(reply.rows.size() == 1U);
    RC_ASSERT(reply.rows[0].value == value);
  }));
}

TEST_CASE("an endpoint's row is parsed", "[platform_adapter_test]") {
  std::string error_message;
  const auto record = ParseEndpointRow("i-1", kEndpointRow, &error_message);
  REQUIRE(record);
  CHECK(record->endpoint.id == EndpointId("i-1"));
  CHECK(record->endpoint.instance == InstanceId("i-1"));
  CHECK(record->endpoint.address == "10.1.2.3");
  CHECK(record->endpoint.port == 8080);
  CHECK(record->service == ServiceId("s1"));
  CHECK_FALSE(record->leaving);
  CHECK(record->incarnation == Incarnation(1'700'000'000'000));
}

TEST_CASE("a malformed row is not parsed as an endpoint", "[platform_adapter_test]") {
  std::string error_message;
  for (
      const char* row :
      {"", "nonsense", "{}", "[]", R"({"service":"s"})",
       R"({"service":1,"address":"10.1.2.3:80","zone":"z","slots":4,"state":"ready"})",
       R"({"service":"s","address":"10.1.2.3","zone":"z","slots":4,"state":"ready"})",
       R"({"service":"s","address":"10.1.2.3:0","zone":"z","slots":4,"state":"ready"})",
       R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":"4","state":"ready"})",
       R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":4,"state":"resting"})",
       R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":4,"state":"ready","born":"x"})",
       R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":4,"state":"ready","born":-1})"}) {
    INFO(row);
    CHECK_FALSE(ParseEndpointRow("i-1", row, &error_message));
  }
  CHECK_FALSE(ParseGatewayRow("g", "{}"));
}

TEST_CASE("a row whose address is not an IP address names no endpoint", "[platform_adapter_test]") {
  // Guards against gateways that end by themselves when they connect to such an endpoint.
  const std::string known_address = "10.1.2.3:8080";
  for (const std::string address :
       {"ledger-7:8080", "10.128.0:8080", "[::1]:8080", "300.0.0.1:80", "127.1:80", "a.b:80",
        "10.1.2.3 :8080", " 10.1.2.3:8080", "0x7f000001:80", "10.1.2.3:8080:8080"}) {
    INFO(address);
    std::string row = kEndpointRow;
    row.replace(row.find(known_address), known_address.size(), address);
    std::string error_message;
    CHECK_FALSE(ParseEndpointRow("i-1", row, &error_message));
    CHECK(error_message.find("IP address") != std::string::npos);
  }
}

// Returns the row of an endpoint with another value of one field.
std::string RowWith(const std::string& field, const std::string& value) {
  const std::string name = "\"" + field + "\":";
  const size_t begin = kEndpointRow.find(name) + name.size();
  const size_t end = kEndpointRow.find_first_of(",}", begin);
  return kEndpointRow.substr(0, begin) + value + kEndpointRow.substr(end);
}

TEST_CASE("a row with a very deeply nested field names no endpoint", "[platform_adapter_test]") {
  // Guards against a copy of the nested value that exhausts the stack and ends the gateway, again
  // after each restart.
  constexpr size_t kDepth = 200'000;  // More than rows of 64 KB can hold.
  const auto [open, close] =
      GENERATE(table<std::string, std::string>({{"[", "]"}, {"{\"a\":", "}"}}));
  std::string nested;
  for (size_t i = 0; i < kDepth; ++i) {
    nested += open;
  }
  nested += "0";
  for (size_t i = 0; i < kDepth; ++i) {
    nested += close;
  }
  for (const std::string field : {"service", "address", "zone", "slots", "state", "born"}) {
    INFO(field);
    std::string error_message;
    CHECK_FALSE(ParseEndpointRow("i-1", RowWith(field, nested), &error_message));
    CHECK_FALSE(error_message.empty());
  }
  std::string error_message;
  CHECK(ParseEndpointRow("i-1", RowWith("warmup_left_ms", nested), &error_message));
}

TEST_CASE("a row with a number out of range names no endpoint", "[platform_adapter_test]") {
  // Guards against a number that is cut to the bits of a smaller type.
  for (const std::string slots :
       {"0", "-1", "1000001", "2147483648", "4294967296", "4294967300", "9223372036854775808",
        "18446744073709551616", "99999999999999999999999999", "1e400", "4.5"}) {
    INFO(slots);
    std::string error_message;
    CHECK_FALSE(ParseEndpointRow("i-1", RowWith("slots", slots), &error_message));
    CHECK_FALSE(error_message.empty());
  }
  for (const std::string port : {"65536", "70000", "99999999999999999999", "-1"}) {
    INFO(port);
    std::string error_message;
    CHECK_FALSE(
        ParseEndpointRow("i-1", RowWith("address", "\"10.1.2.3:" + port + "\""), &error_message));
    const std::string row = R"({"zone":"z","address":"10.1.2.3","port":)" + port + "}";
    CHECK_FALSE(ParseGatewayRow("g", row));
  }
  CHECK_FALSE(ParseGatewayRow("g", R"({"zone":"z","address":"host","port":80})"));
  CHECK_FALSE(ParseGatewayRow("g", R"({"zone":"z","address":"10.1.2.3","port":0})"));
}

TEST_CASE("a row whose value cannot be decoded leaves the other rows of the reply usable",
          "[platform_adapter_test]") {
  // Guards against gateways that stop following the table because of one row.
  for (const std::string value : {R"("\u0001!")", "null", "7", "[]", "{}", R"("a b")"}) {
    INFO(value);
    std::string error_message;
    const WatchReply reply =
        ParseWatchReply(Response(200, R"({"rows":[{"key":"odd","ver":6,"value":)" + value +
                                          R"(},{"key":"k","ver":7,"value":"bm9kZS0x"}],"ver":7})"),
                        &error_message);
    CHECK(reply.status == WatchStatus::kDone);
    CHECK(reply.version == 7);
    REQUIRE(reply.rows.size() == 2);
    CHECK(reply.rows[0].key == "odd");
    CHECK_FALSE(reply.rows[0].deleted);
    CHECK_FALSE(ParseEndpointRow("odd", reply.rows[0].value, &error_message));
    CHECK(reply.rows[1].value == "node-1");
  }
}

TEST_CASE("arbitrary bytes do not crash a parser", "[platform_adapter_test]") {
  CHECK(rc::check([](const std::string& bytes) {
    std::string error_message;
    ParseEndpointRow("i", bytes, &error_message);
    ParseOperatorConfiguration(bytes, &error_message);
    ParseGatewayRow("g", bytes);
    ParseWatchReply(Response(200, bytes), &error_message);
    ParseServerLoad(bytes);
  }));
}

TEST_CASE("the operators' configuration is parsed", "[platform_adapter_test]") {
  std::string error_message;
  const auto configuration = ParseOperatorConfiguration(
      R"({"config_version":7,"routes":[{"name":"r1","hostname":"h","prefix":"/a/",)"
      R"("kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":800,"priority":1,)"
      R"("traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],)"
      R"("max_attempts":2}],"services":[{"name":"s1","health_path":"/health",)"
      R"("max_connections":260,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":5.3}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":100,"header_timeout_ms":3000,)"
      R"("idle_timeout_ms":15000}})",
      &error_message);
  REQUIRE(configuration);
  CHECK(configuration->version == ConfigVersion(7));
  CHECK(configuration->content != Fingerprint());
  const Route& route = configuration->routes.at(0);
  CHECK(route.targets.size() == 2);
  CHECK(route.profile.deadline == Duration(1500ms));
  CHECK(route.profile.target_latency == Duration(800ms));
  // Whether a call may be repeated depends on the kind of the route, not on the method.
  CHECK_FALSE(IsIdempotent(route.profile, "GET", "/a/1"));
  CHECK(configuration->services.at(0).cold_calls_per_second == 5.3);
  CHECK(configuration->limits.idle_timeout == Duration(15s));
  CHECK(ParseZoneOutKey("evacuate/z1") == ZoneId("z1"));
  CHECK_FALSE(ParseZoneOutKey("config"));
}

std::string ConfigurationWithTenants(const std::string& tenants) {
  return R"({"config_version":7,"routes":[{"name":"r1","hostname":"h","prefix":"/a/",)"
         R"("kind":"idempotent","timeout_ms":1500,"target_latency_ms":800,"priority":1,)"
         R"("service":"s1","max_attempts":2,"public":true}],"services":[],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":100,"header_timeout_ms":3000,)"
         R"("idle_timeout_ms":15000},"tenants":)" +
         tenants + "}";
}

TEST_CASE("tenants of the operators' configuration become workspaces", "[platform_adapter_test]") {
  std::string error_message;
  const auto configuration = ParseOperatorConfiguration(
      ConfigurationWithTenants(
          R"([{"name":"a","api_keys":["k1","k2"],"priority":0,"rate_per_s":2.5,"burst":3},)"
          R"({"name":"b","api_keys":[],"priority":null,"rate_per_s":0}])"),
      &error_message);
  REQUIRE(configuration);
  CHECK(configuration->routes.at(0).is_public);
  REQUIRE(configuration->workspace_table != nullptr);
  const KeyedWorkspace* a = configuration->workspace_table->FindByKey("k2");
  REQUIRE(a != nullptr);
  CHECK(a->id == WorkspaceId("a"));
  CHECK(a->priority == Priority::kHigh);
  CHECK(a->quota == Quota{2.5, 3});
  const KeyedWorkspace* b = configuration->workspace_table->FindById(WorkspaceId("b"));
  REQUIRE(b != nullptr);
  CHECK_FALSE(b->quota);
  CHECK_FALSE(b->priority);
}

TEST_CASE("invalid tenants leave the configuration in use, and the error shows no key",
          "[platform_adapter_test]") {
  for (const char* tenants :
       {R"([{"name":"a","api_keys":["secret"]},{"name":"b","api_keys":["secret"]}])",
        R"([{"name":"a","api_keys":["secret",""]}])", R"([{"name":"a","api_keys":["secret",7]}])",
        R"([{"name":"","api_keys":["secret"]}])", R"([{"api_keys":["secret"]}])",
        R"([{"name":"a","api_keys":["secret"],"rate_per_s":-1}])",
        R"([{"name":"a","api_keys":["secret"],"rate_per_s":1e999}])",
        R"([{"name":"a","api_keys":["secret"],"burst":"x"}])",
        R"([{"name":"a","api_keys":["secret" secret}])"}) {
    INFO(tenants);
    std::string error_message;
    CHECK_FALSE(ParseOperatorConfiguration(ConfigurationWithTenants(tenants), &error_message));
    CHECK_FALSE(error_message.empty());
    CHECK(error_message.find("secret") == std::string::npos);
  }
}

struct ReplyParser {
  UpstreamReply Parse(int status, const std::vector<std::pair<std::string, std::string>>& headers) {
    HttpResponse response;
    response.status = status;
    response.headers = headers;
    return dialect.ParseReply(RequestId("r1"), response);
  }
  PlatformDialect dialect;
};

TEST_CASE("a successful response is valid only with the call's id and the upstream's stamp",
          "[platform_adapter_test]") {
  // Guards against a late response to another call, and against a response that the upstream did
  // not write.
  ReplyParser parser;
  const auto outcome = [&](int status, auto headers) {
    return parser.Parse(status, headers).outcome;
  };
  using Headers = std::vector<std::pair<std::string, std::string>>;
  CHECK(outcome(200, Headers{{"Request-Id", "r1"}, {"Server-Stamp", "x"}}) ==
        AttemptOutcome::kAnswered);
  CHECK(outcome(200, Headers{{"Request-Id", "r2"}, {"Server-Stamp", "x"}}) ==
        AttemptOutcome::kInvalid);
  CHECK(outcome(200, Headers{{"Request-Id", "r1"}}) == AttemptOutcome::kInvalid);
  CHECK(outcome(200, Headers{{"Server-Stamp", "x"}}) == AttemptOutcome::kInvalid);
  CHECK(outcome(200, Headers{{"Request-Id", "r1"},
                             {"Server-Stamp", "x"},
                             {"Content-Encoding", "gzip"}}) == AttemptOutcome::kInvalid);
  CHECK(outcome(500, Headers{{"Request-Id", "r1"}}) == AttemptOutcome::kAnswered);
}

TEST_CASE("a probe's response that names a call is invalid", "[platform_adapter_test]") {
  // Guards against a late second response to a call that is taken for the response to a probe: the
  // probe's own response would then be taken for the response to the next call.
  const PlatformDialect dialect;
  HttpResponse response;
  response.status = 200;
  CHECK(dialect.ParseReply(RequestId(), response).outcome == AttemptOutcome::kAnswered);
  CHECK_FALSE(dialect.AnswersOtherRequest(RequestId(), response));
  response.headers = {{"Request-Id", "r1"}};
  CHECK(dialect.ParseReply(RequestId(), response).outcome == AttemptOutcome::kInvalid);
  CHECK(dialect.AnswersOtherRequest(RequestId(), response));
}

TEST_CASE("a response without an id settles no call", "[platform_adapter_test]") {
  // Guards against the late second copy of a rejected probe's response, which has no id: it was
  // taken for the rejection of the call that ran on the connection by then, and the call ran twice.
  ReplyParser parser;
  for (const int status : {200, 400, 408, 421, 429, 500, 503, 504}) {
    INFO(status);
    const HttpHeaders headers = {{"Not-Executed", "1"}, {"Server-Stamp", "x"}};
    CHECK(parser.Parse(status, headers).outcome == AttemptOutcome::kInvalid);
    HttpResponse response;
    response.status = status;
    response.headers = headers;
    CHECK(parser.dialect.AnswersOtherRequest(RequestId("r1"), response));
    response.headers.emplace_back("Request-Id", "r1");
    CHECK_FALSE(parser.dialect.AnswersOtherRequest(RequestId("r1"), response));
  }
}

TEST_CASE("a call without an id is rejected at once", "[platform_adapter_test]") {
  // Guards against a caller that waits until its deadline, because no answer can name its call.
  const PlatformDialect dialect;
  evkeyvalq headers{};
  TAILQ_INIT(&headers);
  CallRequest call;
  CHECK_FALSE(dialect.ParseCallHeaders(&headers, &call).empty());
  evhttp_add_header(&headers, "Request-Id", "");
  CHECK_FALSE(dialect.ParseCallHeaders(&headers, &call).empty());
  evhttp_clear_headers(&headers);
  evhttp_add_header(&headers, "Request-Id", "r1");
  CHECK(dialect.ParseCallHeaders(&headers, &call).empty());
  CHECK(call.request_id == RequestId("r1"));
  evhttp_clear_headers(&headers);
}

TEST_CASE("a call counts as not executed only if the upstream says so", "[platform_adapter_test]") {
  // Guards against telling a caller that its call was not executed although it may have been.
  ReplyParser parser;
  CHECK(parser.Parse(503, {{"Request-Id", "r1"}, {"Not-Executed", "1"}}).outcome ==
        AttemptOutcome::kRefused);
  CHECK(parser.Parse(421, {{"Request-Id", "r1"}}).outcome == AttemptOutcome::kRefused);
  for (const int status : {503, 429, 408}) {
    CHECK(parser.Parse(status, {{"Request-Id", "r1"}}).outcome == AttemptOutcome::kInvalid);
  }
  Refusal refusal;
  refusal.verdict = Verdict::kNotRun;
  refusal.reason = RefusalReason::kOverload;
  CHECK(parser.dialect.StatusOf(refusal) == 429);
  refusal.reason = RefusalReason::kDeadline;
  CHECK(parser.dialect.StatusOf(refusal) == 503);
  for (const RefusalReason reason : {RefusalReason::kOverload, RefusalReason::kUpstreamFailed,
                                     RefusalReason::kNotReady, RefusalReason::kDeadline}) {
    refusal.reason = reason;
    refusal.verdict = Verdict::kMayHaveRun;
    CHECK(parser.dialect.StatusOf(refusal) >= 502);
    CHECK(parser.dialect.StatusOf(refusal) != 503);
  }
}

TEST_CASE("the Server-Load header is parsed", "[platform_adapter_test]") {
  const auto load = ParseServerLoad("3,1,8,500");
  REQUIRE(load);
  CHECK(load->in_flight == 3);
  CHECK(load->waiting == 1);
  CHECK(load->slots == 8);
  CHECK(load->slowdown_percent == 500);
  CHECK(ParseServerLoad("3,0,8")->slowdown_percent == 100);
  for (const char* text : {"", "3", "3,0", "a,b,c", "3,0,-8", "3,,8"}) {
    INFO(text);
    CHECK_FALSE(ParseServerLoad(text));
  }
}

}  // namespace
}  // namespace jd
