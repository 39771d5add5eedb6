#include "tests/table_watch_harness.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "cluster/discovery.h"

namespace jd::table_watch_test {
namespace {

TEST_CASE("a full read is followed by reads of changes", "[table_watch_test]") {
  Store store;
  store.Put("a");
  Gateway gateway(1);
  gateway.Read(At(0s), store);
  CHECK(gateway.watch.complete());
  CHECK(gateway.known.size() == 1);
  store.Put("b");
  store.Remove("a");
  CHECK_FALSE(gateway.Read(At(1199ms), store));
  gateway.Read(At(1600ms), store);
  CHECK(gateway.known == std::map<std::string, std::string>{{"b", "v2"}});
}

TEST_CASE("a full read follows when the store has dropped its history", "[table_watch_test]") {
  // Guards against missing a change that the store dropped from its history before it was read.
  Store store;
  store.Put("a");
  Gateway gateway(1);
  gateway.Read(At(-1s), store);
  store.Put("b");
  store.oldest = store.version;
  gateway.Read(At(1s), store);
  gateway.Read(At(1s), store);
  CHECK(gateway.known.size() == 2);
}

TEST_CASE("rows that disappear during an outage are kept for a grace period",
          "[table_watch_test]") {
  // Guards against dropping every endpoint because their rows expired while the store was
  // unreachable.
  Store store;
  store.Put("a");
  store.Put("b");
  Gateway gateway(1);
  gateway.Read(At(-1s), store);
  gateway.reachable = false;
  gateway.Read(At(1s), store);
  store.Remove("a");
  store.Remove("b");
  gateway.reachable = true;
  gateway.Read(At(2s), store);
  CHECK(gateway.known.size() == 2);
  store.Put("a");
  gateway.Read(At(3s), store);
  gateway.Read(At(2s + TableWatch::kMissingRowGrace - 1ms), store);
  CHECK(gateway.known.size() == 2);
  gateway.Read(At(2s + TableWatch::kMissingRowGrace), store);
  CHECK(gateway.known.size() == 1);
  CHECK(gateway.known.contains("a"));
}

TEST_CASE("a row that is removed while the store is reachable is deleted at once",
          "[table_watch_test]") {
  Store store;
  store.Put("a");
  Gateway gateway(1);
  gateway.Read(At(-1s), store);
  store.Remove("a");
  gateway.Read(At(1s), store);
  CHECK(gateway.known.empty());
}

TEST_CASE("an update with a gap before it leads to a read of the store soon after",
          "[table_watch_test]") {
  Store store;
  store.Put("a");
  Gateway gateway(1);
  gateway.Read(At(-1s), store);
  store.Put("b");
  store.Put("c");
  TableUpdate update;
  update.after = {StoreEra(1), 2};
  update.position = {StoreEra(1), 3};
  update.rows = {store.rows["c"]};
  gateway.Apply(gateway.watch.OnPeerUpdate(At(100ms), update));
  CHECK(gateway.known.size() == 1);
  gateway.Read(At(100ms + TableWatch::kMaxReadSpread), store);
  CHECK(gateway.known.size() == 3);
}

TEST_CASE("a second outage restarts the grace period of missing rows", "[table_watch_test]") {
  // Guards against dropping every endpoint after two outages in quick succession: upstreams had no
  // time to renew their rows between them.
  Store store;
  store.Put("a");
  Gateway gateway(1);
  gateway.Read(At(-1s), store);
  gateway.reachable = false;
  gateway.Read(At(1s), store);
  store.Remove("a");
  gateway.reachable = true;
  gateway.Read(At(2s), store);
  gateway.reachable = false;
  gateway.Read(At(3s), store);
  gateway.reachable = true;
  gateway.Read(At(10s), store);
  gateway.Read(At(10s + TableWatch::kMissingRowGrace - 1ms), store);
  CHECK(gateway.known.size() == 1);
  gateway.Read(At(10s + TableWatch::kMissingRowGrace), store);
  CHECK(gateway.known.empty());
}

TEST_CASE("a row that is written and disappears between two reads is not kept for ever",
          "[table_watch_test]") {
  // Guards against an endpoint that gateways other than the reader go on calling: one update holds
  // its row and says that the row is missing.
  Store store;
  store.Put("a");
  Gateway reader(1);
  Gateway told(2);
  reader.Read(At(-2s), store);
  told.Read(At(-2s), store);
  reader.reachable = false;
  reader.Step(At(0s), store);
  reader.reachable = true;
  store.Put("b");
  store.Remove("b");
  const std::optional<TableUpdate> update = reader.Read(At(1s), store);
  REQUIRE(update);
  told.Apply(told.watch.OnPeerUpdate(At(1s), *update));
  told.Apply(told.watch.ApplyDueRows(At(1s + TableWatch::kMissingRowGrace)));
  CHECK(told.known == store.Values());
}

TEST_CASE("a full read of one gateway does not hide a removal from one that knew more",
          "[table_watch_test]") {
  // Guards against an endpoint that is called for ever: the gateway that reads the whole table
  // never knew it, and therefore does not tell that it is gone.
  Store store;
  store.Put("a");
  Gateway reader(1);
  Gateway told(2);
  reader.Read(At(-2s), store);
  told.Read(At(-2s), store);
  store.Put("b");
  told.Read(At(0s), store);
  store.Remove("b");
  store.oldest = store.version;
  reader.Read(At(0s), store);
  const std::optional<TableUpdate> update = reader.Read(At(0s), store);
  REQUIRE(update);
  told.Apply(told.watch.OnPeerUpdate(At(10ms), *update));
  told.Read(At(1s), store);
  told.Read(At(1s), store);
  CHECK(told.known == store.Values());
}

TEST_CASE("a gateway that relies on updates deletes rows that stay missing after an outage",
          "[table_watch_test]") {
  // Guards against gateways other than the zone's reader that keep calling endpoints that failed
  // during an outage, also if the reader stops after the outage.
  const bool reader_stops = GENERATE(false, true);
  Store store;
  store.Put("a");
  store.Put("b");
  Gateway reader(1);
  Gateway follower(2);
  reader.Read(At(-1s), store);
  follower.Read(At(-1s), store);
  for (Gateway* gateway : {&reader, &follower}) {
    gateway->reachable = false;
    gateway->Read(At(1s), store);
  }
  store.Remove("a");
  store.Remove("b");
  reader.reachable = true;
  const std::optional<TableUpdate> update = reader.Read(At(2s), store);
  REQUIRE(update);
  follower.Apply(follower.watch.OnPeerUpdate(At(2s), *update));
  CHECK(follower.known.size() == 2);
  store.Put("b");
  follower.reachable = true;
  if (reader_stops) {
    follower.Read(At(4s), store);
  } else {
    follower.Apply(follower.watch.OnPeerUpdate(At(3s), reader.Read(At(3s), store).value()));
  }
  follower.Apply(follower.watch.ApplyDueRows(At(2s + TableWatch::kMissingRowGrace)));
  CHECK(follower.known == std::map<std::string, std::string>{{"b", "v5"}});
}

TEST_CASE("a late reply does not delete a row that was written again", "[table_watch_test]") {
  Store store;
  store.Put("a");
  Gateway gateway(1);
  gateway.Read(At(-1s), store);
  store.Remove("a");
  const std::optional<WatchCall> call = gateway.watch.NextCall(At(1s));
  REQUIRE(call);
  const WatchReply late = store.Reply(*call);
  store.Put("a");
  TableUpdate newer;
  newer.after = {StoreEra(1), 1};
  newer.position = {StoreEra(1), 3};
  newer.rows = {store.rows["a"]};
  gateway.Apply(gateway.watch.OnPeerUpdate(At(1s), newer));
  gateway.Apply(gateway.watch.OnReply(At(1100ms), late));
  CHECK(gateway.known == std::map<std::string, std::string>{{"a", "v3"}});
}

TEST_CASE("the rows of a full read are reported after its last page", "[table_watch_test]") {
  // Guards against telling other gateways that a version is covered when only one page of the table
  // was read.
  TableWatch watch(kTiming, 1);
  watch.NextCall(At(-1s));
  WatchReply page;
  page.status = WatchStatus::kDone;
  page.version = 7;
  page.rows = {{"a", "1", 1, false, false}};
  page.has_more = true;
  CHECK(watch.OnReply(At(0s), page).empty());
  CHECK(watch.position().version == 0);
  CHECK(watch.full_read_pending());
  CHECK(watch.NextCall(At(0s))->from > "a");
  page.version = 9;
  page.rows = {{"b", "1", 2, false, false}};
  page.has_more = false;
  CHECK(watch.OnReply(At(0s), page).size() == 2);
  CHECK(watch.position().version == 7);
  CHECK_FALSE(watch.full_read_pending());
}

TEST_CASE("rows that are too large for an update are read by each gateway", "[table_watch_test]") {
  Store store;
  store.Put("a");
  Gateway reader(1);
  Gateway follower(2);
  reader.Read(At(-1s), store);
  follower.Read(At(-1s), store);
  store.Put("b");
  store.rows["b"].value = std::string(150'000, 'x');
  store.history.back().value = store.rows["b"].value;
  const std::optional<TableUpdate> update = reader.Read(At(1s), store);
  REQUIRE(update);
  CHECK(update->rows.empty());
  follower.Apply(follower.watch.OnPeerUpdate(At(1s), *update));
  CHECK_FALSE(follower.known.contains("b"));
  follower.Read(At(1s), store);
  CHECK(follower.known.contains("b"));
}

TEST_CASE("only one of two tables is polled while the store is unreachable", "[table_watch_test]") {
  Store store;
  store.Put("a");
  Gateway reachability_source(1);
  TableWatch other(kOperatorTableTiming, 2);
  other.PauseWhileUnavailable(&reachability_source.watch);
  reachability_source.Read(At(-1s), store);
  other.OnReply(At(-1s), store.Reply(*other.NextCall(At(-1s))));
  reachability_source.reachable = false;
  reachability_source.Read(At(1s), store);
  CHECK_FALSE(other.NextCall(At(2s)));
  CHECK_FALSE(other.next_timer());
  reachability_source.reachable = true;
  reachability_source.Read(At(2s), store);
  other.NextCall(At(2s));
  CHECK(other.NextCall(At(2s + TableWatch::kMaxReadSpread)));
}

TEST_CASE("a gateway that starts takes the table from a snapshot and reads only what follows",
          "[table_watch_test]") {
  // Guards against a full read of the store for each gateway that starts.
  Store store;
  store.Put("a");
  Gateway peer(1);
  peer.Read(At(-1s), store);
  Gateway gateway(2);
  gateway.watch.ScheduleFirstRead(At(400ms));
  CHECK_FALSE(gateway.watch.NextCall(At(399ms)));
  gateway.Apply(gateway.watch.OnPeerUpdate(At(100ms), peer.watch.Snapshot("")));
  CHECK(gateway.watch.complete());
  CHECK(gateway.known.size() == 1);
  CHECK_FALSE(gateway.watch.NextCall(At(400ms)));
  store.Put("b");
  store.Remove("a");
  gateway.Read(At(2s), store);
  CHECK(gateway.known == std::map<std::string, std::string>{{"b", "v2"}});
  CHECK(gateway.calls == 1);
}

TEST_CASE("a snapshot changes nothing once the table is known or being read",
          "[table_watch_test]") {
  // Guards against a peer's older table that brings back a row that was removed.
  Store store;
  store.Put("a");
  Gateway peer(1);
  peer.Read(At(-1s), store);
  const TableUpdate old = peer.watch.Snapshot("");
  store.Remove("a");
  const bool reading = GENERATE(false, true);
  Gateway gateway(2);
  if (reading) {
    const std::optional<WatchCall> call = gateway.watch.NextCall(At(0s));
    CHECK(gateway.watch.OnPeerUpdate(At(1ms), old).empty());
    CHECK_FALSE(gateway.watch.complete());
    gateway.Apply(gateway.watch.OnReply(At(2ms), store.Reply(*call)));
  } else {
    gateway.Read(At(0s), store);
    CHECK(gateway.watch.OnPeerUpdate(At(1s), old).empty());
  }
  CHECK(gateway.known.empty());
}

TEST_CASE("a gateway that the store does not serve uses a peer's table and keeps trying",
          "[table_watch_test]") {
  // Guards against a gateway that answers 503 for as long as the store turns it away, although the
  // peers of its zone know the table.
  Store store;
  store.Put("a");
  store.Put("b");
  Gateway peer(1);
  peer.Read(At(-1s), store);
  peer.reachable = false;
  peer.Read(At(1s), store);
  Gateway gateway(2);
  gateway.reachable = false;
  gateway.Read(At(0s), store);
  const TableUpdate snapshot = peer.watch.Snapshot("");
  CHECK(snapshot.unconfirmed);
  gateway.Apply(gateway.watch.OnPeerUpdate(At(1s), snapshot));
  CHECK(gateway.known.size() == 2);
  CHECK(gateway.watch.store_unavailable());
  // The rows that lapse during the outage are kept for the same time as elsewhere.
  store.Remove("a");
  gateway.reachable = true;
  gateway.Read(At(2s), store);
  CHECK(gateway.known.size() == 2);
  gateway.Read(At(2s + TableWatch::kMissingRowGrace), store);
  CHECK(gateway.known.size() == 1);
}

TEST_CASE("a snapshot carries the rows that may come back", "[table_watch_test]") {
  // Guards against an endpoint that failed during an outage and that a gateway which started after
  // the outage keeps calling.
  Store store;
  store.Put("a");
  Gateway peer(1);
  peer.Read(At(-1s), store);
  peer.reachable = false;
  peer.Read(At(1s), store);
  store.Remove("a");
  peer.reachable = true;
  peer.Read(At(2s), store);
  Gateway gateway(2);
  gateway.Apply(gateway.watch.OnPeerUpdate(At(2100ms), peer.watch.Snapshot("")));
  CHECK(gateway.known.size() == 1);
  gateway.Apply(gateway.watch.ApplyDueRows(At(2100ms + TableWatch::kMissingRowGrace)));
  CHECK(gateway.known.empty());
}

}  // namespace
}  // namespace jd::table_watch_test
