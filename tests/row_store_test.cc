#include "standin/row_store.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <catch2/catch.hpp>

#include "platform/store_rows.h"

namespace jd {
namespace {

std::string QueryParameter(const std::string& target, const std::string& name) {
  evkeyvalq query;
  evhttp_parse_query_str(target.substr(target.find('?') + 1).c_str(), &query);
  const char* found = evhttp_find_header(&query, name.c_str());
  std::string value = found == nullptr ? "" : found;
  evhttp_clear_headers(&query);
  return value;
}

// Passes the requests of the gateway's store client to the store stand-in and returns the replies.
struct StoreHarness {
  RowStore store;
  MonoTime now = MonoTime() + 1s;

  std::optional<RowReply> Send(const HttpCall& call, Duration waited = Duration(0)) {
    RowRequest request;
    request.path = call.target.substr(0, call.target.find('?'));
    request.table = QueryParameter(call.target, "table");
    request.from = QueryParameter(call.target, "from");
    request.after = std::strtoull(QueryParameter(call.target, "after").c_str(), nullptr, 10);
    request.wait =
        std::chrono::milliseconds(std::atoi(QueryParameter(call.target, "wait_ms").c_str()));
    request.body = call.body;
    return store.Handle(now, request, waited);
  }
  WatchReply Watch(const WatchCall& call, Duration waited = Duration(0)) {
    std::string error_message;
    const std::optional<RowReply> reply = Send(BuildWatchRequest("t", call), waited);
    return reply ? ParseWatchReply({reply->status, {}, reply->body.dump(), true}, &error_message)
                 : WatchReply();
  }
};

TEST_CASE("the client reads back what it wrote to the store stand-in", "[row_store_test]") {
  // Guards against a client and a stand-in that each pass their own tests but disagree about the
  // protocol.
  StoreHarness harness;
  REQUIRE(harness.Send(BuildWriteRequest("t", "k/1", "value \x01"))->status == 200);
  WatchCall full_read;
  full_read.full_read = true;
  const WatchReply reply = harness.Watch(full_read);
  REQUIRE(reply.rows.size() == 1);
  CHECK(reply.rows[0].key == "k/1");
  CHECK(reply.rows[0].value == "value \x01");
  CHECK(reply.version == reply.rows[0].version);
}

TEST_CASE("the store stand-in returns a full read in pages", "[row_store_test]") {
  StoreHarness harness;
  for (int i = 0; i < 700; ++i) {
    harness.Send(BuildWriteRequest("t", "k" + std::to_string(1000 + i), "v"));
  }
  TableWatch watch({1s, Duration(0), 1s, 1s}, 1);
  std::vector<WatchedRow> rows;
  int calls = 0;
  while (const std::optional<WatchCall> call = watch.NextCall(harness.now)) {
    ++calls;
    rows = watch.OnReply(harness.now, harness.Watch(*call));
  }
  CHECK(calls == 2);
  CHECK(rows.size() == 700);
}

TEST_CASE("the feed of the store stand-in waits, reports deletions and can lose its history",
          "[row_store_test]") {
  StoreHarness harness;
  harness.Send(BuildWriteRequest("t", "a", "v"));
  WatchCall feed;
  feed.after = 1;
  feed.wait = 1s;
  CHECK_FALSE(harness.Send(BuildWatchRequest("t", feed), 999ms));
  CHECK(harness.Watch(feed, 1s).status == WatchStatus::kDone);
  harness.store.Put("t", "a", std::nullopt);
  const WatchReply reply = harness.Watch(feed);
  REQUIRE(reply.rows.size() == 1);
  CHECK(reply.rows[0].deleted);
  harness.store.DropHistory();
  CHECK(harness.Watch(feed).status == WatchStatus::kHistoryLost);
}

TEST_CASE("a transaction of the store stand-in with a wrong expected version changes nothing",
          "[row_store_test]") {
  RowStore store;
  RowRequest request;
  request.path = "/api/rows-tx";
  request.body = R"({"expect": [{"table": "t", "key": "a", "ver": 0}],
                   "upserts": [{"table": "t", "part": "", "key": "a", "value": "dg=="}]})";
  CHECK(store.Handle(MonoTime(), request, Duration(0))->status == 200);
  const std::optional<RowReply> conflict = store.Handle(MonoTime(), request, Duration(0));
  CHECK(conflict->status == 412);
  CHECK(conflict->body["rows"][0]["ver"] == 1);
  CHECK(conflict->body["ver"] == 1);
}

TEST_CASE("a store that comes back from a copy counts versions again in the next era",
          "[row_store_test]") {
  // Guards against a stand-in that does not show gateways what a restored store shows them.
  StoreHarness harness;
  harness.store.Put("t", "a", "b2xk");
  harness.store.Put("t", "b", "bGVmdA==");
  harness.store.DropHistory();
  harness.store.Put("t", "b", std::nullopt);
  harness.store.Put("t", "a", "bmV3");
  harness.store.Restore(3);
  CHECK(harness.store.era() == 2);
  CHECK(harness.store.version() == 3);
  CHECK(harness.store.Keys("t") == std::vector<std::string>{"a"});
  CHECK(harness.Watch({false, {}, 4, Duration(0), 1s}).status == WatchStatus::kHistoryLost);
  harness.store.Put("t", "c", "Yw==");
  CHECK(harness.store.version() == 4);
  harness.store.Restore(0);
  CHECK(harness.store.version() == 2);
  CHECK(harness.store.Keys("t") == std::vector<std::string>{"a", "b"});
  CHECK_FALSE(harness.store.Contains("t", "c"));
}

}  // namespace
}  // namespace jd
