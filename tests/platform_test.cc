#include <catch2/catch.hpp>

#include "gateway/platform_client.h"
#include "tests/http_harness.h"

namespace jd {
namespace {

struct Fixture {
  Fixture() : server(&loop), client(&loop, "127.0.0.1", server.port) {}
  TableReply Call(const TableRequest& request, Duration timeout = 60s) {
    int replies = 0;
    TableReply reply;
    client.SendTableRequest(request, timeout, [&](const TableReply& received) {
      reply = received;
      ++replies;
    });
    REQUIRE(RunUntil(&loop, [&] { return replies > 0; }));
    CHECK(replies == 1);
    return reply;
  }
  void RespondWith(const std::string& status, const std::string& body) {
    server.on_request = [status, body](TextConnection& connection) {
      connection.Send(HttpResponse(status, "", body));
    };
  }
  EventLoop loop;
  TextServer server;
  PlatformClient client;
};

const TableTransaction kWrite{{{"a", 3}}, {{"a", "x"}}, {"b"}};

TEST_CASE("table requests and replies are translated to and from HTTP", "[platform_test]") {
  Fixture f;
  f.RespondWith("200 OK", R"({"versions":{"a":4}})");
  const TableReply write = f.Call(kWrite);
  CHECK(write.status == TableStatus::kDone);
  CHECK(write.rows == std::vector<TableRow>{{"a", "", 4}});
  CHECK(
      f.server.received().find(
          R"({"checks":[{"key":"a","version":3}],"deletes":["b"],"puts":[{"key":"a","value":"x"}]})") !=
      std::string::npos);
  f.RespondWith("409 Conflict", R"({"conflicts":["a"]})");
  const TableReply conflict = f.Call(kWrite);
  CHECK(conflict.status == TableStatus::kConflict);
  CHECK(conflict.conflicts == std::vector<std::string>{"a"});
  f.RespondWith("200 OK", R"({"key":"a b&c","value":"v","version":2})");
  CHECK(f.Call(TableGet{"a b&c"}).rows == std::vector<TableRow>{{"a b&c", "v", 2}});
  CHECK(f.server.received().find("GET /table/row?key=a%20b%26c HTTP/1.1") != std::string::npos);
  f.RespondWith("404 Not Found", "{}");
  const TableReply absent = f.Call(TableGet{"a"});
  CHECK(absent.status == TableStatus::kDone);
  CHECK(absent.rows.empty());
  f.RespondWith("200 OK", R"({"rows":[{"key":"k1","value":"v","version":1}]})");
  CHECK(f.Call(TableRange{"k", "k0", 7}).rows.size() == 1);
  CHECK(f.server.received().find("/table/range?prefix=k&after=k0&limit=7") != std::string::npos);
  CHECK(f.server.connections.size() == 1);
}

TEST_CASE("a write whose answer is lost is reported as unknown and is sent once",
          "[platform_test]") {
  Fixture f;
  f.RespondWith("200 OK", R"({"versions":{}})");
  CHECK(f.Call(kWrite).status == TableStatus::kDone);
  f.server.on_request = [](TextConnection& connection) { connection.Close(); };
  CHECK(f.Call(kWrite).status == TableStatus::kUnknown);
  CHECK(f.server.requests() == 2);
  CHECK(f.Call(TableGet{"a"}).status == TableStatus::kUnavailable);
  f.server.on_request = nullptr;
  CHECK(f.Call(kWrite, 200ms).status == TableStatus::kUnknown);
  for (const char* status : {"500 Oops", "504 Late"}) {
    f.RespondWith(status, "");
    CHECK(f.Call(kWrite).status == TableStatus::kUnknown);
  }
  f.RespondWith("200 OK", "not JSON");
  CHECK(f.Call(kWrite).status == TableStatus::kUnknown);
}

TEST_CASE("a write that cannot have taken effect is reported as unavailable", "[platform_test]") {
  Fixture f;
  for (const char* status : {"400 Bad", "503 Down"}) {
    f.RespondWith(status, "{}");
    CHECK(f.Call(kWrite).status == TableStatus::kUnavailable);
  }
  f.server.connections.clear();
  f.server.StopListening();
  CHECK(f.Call(kWrite).status == TableStatus::kUnavailable);
}

TEST_CASE("the VM list is parsed, and a malformed list is ignored", "[platform_test]") {
  Fixture f;
  std::vector<VmList> lists;
  const auto fetch = [&] {
    f.client.FetchVms(60s, [&](const VmList& vms) { lists.push_back(vms); });
  };
  f.RespondWith("200 OK", "{}");
  fetch();
  REQUIRE(RunUntil(&f.loop, [&] { return f.server.requests() == 1; }));
  f.RespondWith("200 OK", R"({"vms":[{"name":"g1","role":"gateway","state":"leaving","zone":"z",
      "address":"10.0.0.1","port":7003},{"name":"n","role":"new","state":"live"}]})");
  fetch();
  REQUIRE(RunUntil(&f.loop, [&] { return !lists.empty(); }));
  REQUIRE(lists.size() == 1);
  CHECK(lists[0] ==
        VmList{{"g1", VmRole::kGateway, VmState::kLeaving, ZoneId("z"), "10.0.0.1", 7003}});
}

}  // namespace
}  // namespace jd
