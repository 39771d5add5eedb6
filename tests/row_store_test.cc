#include "standin/row_store.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <catch2/catch.hpp>

#include "platform/store_rows.h"

namespace jd {
namespace {

std::string Parameter(const std::string& target, const std::string& name) {
  evkeyvalq query;
  evhttp_parse_query_str(target.substr(target.find('?') + 1).c_str(), &query);
  const char* found = evhttp_find_header(&query, name.c_str());
  std::string value = found == nullptr ? "" : found;
  evhttp_clear_headers(&query);
  return value;
}

// Passes the client's HTTP calls to the store and returns the store's replies.
struct Link {
  RowStore store;
  MonoTime now = MonoTime() + 1s;

  std::optional<RowReply> Send(const HttpCall& call, Duration waited = Duration(0)) {
    RowQuery query;
    query.path = call.target.substr(0, call.target.find('?'));
    query.table = Parameter(call.target, "table");
    query.from = Parameter(call.target, "from");
    query.after = std::strtoull(Parameter(call.target, "after").c_str(), nullptr, 10);
    query.wait = std::chrono::milliseconds(std::atoi(Parameter(call.target, "wait_ms").c_str()));
    query.body = call.body;
    return store.Handle(now, query, waited);
  }
  WatchReply Ask(const WatchCall& call, Duration waited = Duration(0)) {
    std::string error_message;
    const std::optional<RowReply> reply = Send(BuildWatchRequest("t", call), waited);
    return reply ? ParseWatchReply(reply->status, reply->body.dump(), &error_message)
                 : WatchReply();
  }
};

TEST_CASE("the client reads back what it wrote to the store stand-in", "[row_store_test]") {
  // Guards against a client and a stand-in that each pass their own tests but disagree about the
  // protocol.
  Link link;
  REQUIRE(link.Send(BuildWriteRequest("t", "k/1", "value \x01"))->status == 200);
  WatchCall full_read;
  full_read.full_read = true;
  const WatchReply reply = link.Ask(full_read);
  REQUIRE(reply.rows.size() == 1);
  CHECK(reply.rows[0].key == "k/1");
  CHECK(reply.rows[0].value == "value \x01");
  CHECK(reply.version == reply.rows[0].version);
}

TEST_CASE("a full read of the store stand-in comes in pages", "[row_store_test]") {
  Link link;
  for (int i = 0; i < 700; ++i) {
    link.Send(BuildWriteRequest("t", "k" + std::to_string(1000 + i), "v"));
  }
  TableWatch watch({1s, Duration(0), 1s, 1s}, 1);
  std::vector<WatchedRow> rows;
  int calls = 0;
  while (const std::optional<WatchCall> call = watch.NextCall(link.now)) {
    ++calls;
    rows = watch.OnReply(link.now, link.Ask(*call));
  }
  CHECK(calls == 2);
  CHECK(rows.size() == 700);
}

TEST_CASE("the feed of the store stand-in waits, reports deletions and loses its history",
          "[row_store_test]") {
  Link link;
  link.Send(BuildWriteRequest("t", "a", "v"));
  WatchCall feed;
  feed.after = 1;
  feed.wait = 1s;
  CHECK_FALSE(link.Send(BuildWatchRequest("t", feed), 999ms));
  CHECK(link.Ask(feed, 1s).status == WatchStatus::kDone);
  link.store.Put("t", "a", std::nullopt);
  const WatchReply reply = link.Ask(feed);
  REQUIRE(reply.rows.size() == 1);
  CHECK(reply.rows[0].deleted);
  link.store.Forget();
  CHECK(link.Ask(feed).status == WatchStatus::kHistoryLost);
}

TEST_CASE("a transaction of the store stand-in is applied completely or not at all",
          "[row_store_test]") {
  RowStore store;
  RowQuery query;
  query.path = "/api/rows-tx";
  query.body = R"({"expect": [{"table": "t", "key": "a", "ver": 0}],
                   "upserts": [{"table": "t", "part": "", "key": "a", "value": "dg=="}]})";
  CHECK(store.Handle(MonoTime(), query, Duration(0))->status == 200);
  const std::optional<RowReply> conflict = store.Handle(MonoTime(), query, Duration(0));
  CHECK(conflict->status == 412);
  CHECK(conflict->body["rows"][0]["ver"] == 1);
  CHECK(conflict->body["ver"] == 1);
}

}  // namespace
}  // namespace jd
