#include "cluster/table_watch.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <map>

#include "cluster/discovery.h"

namespace jd {
namespace {

constexpr TableWatch::Timing kTiming = {1s, Duration(0), 1200ms, 1600ms};

// An in-memory store with a change history.
struct Store {
  std::map<std::string, WatchedRow> rows;
  std::vector<WatchedRow> history;
  uint64_t version = 0;
  uint64_t oldest = 0;

  void Put(const std::string& key) {
    const WatchedRow row{key, "v" + std::to_string(version + 1), ++version, false};
    rows[key] = row;
    history.push_back(row);
  }
  void Remove(const std::string& key) {
    rows.erase(key);
    history.push_back({key, {}, ++version, true});
  }
  WatchReply Reply(const WatchCall& call) const {
    WatchReply reply;
    reply.status = WatchStatus::kDone;
    reply.version = version;
    if (!call.full_read && call.after < oldest) {
      reply.status = WatchStatus::kHistoryLost;
      return reply;
    }
    if (call.full_read) {
      for (const auto& [key, row] : rows) {
        reply.rows.push_back(row);
      }
      return reply;
    }
    for (const WatchedRow& row : history) {
      if (row.version > call.after) {
        reply.rows.push_back(row);
      }
    }
    return reply;
  }
};

// A gateway that follows the table, and the rows that it knows.
struct Gateway {
  explicit Gateway(uint64_t seed, TableWatch::Timing timing = kTiming) : watch(timing, seed) {}

  void Apply(const std::vector<WatchedRow>& changes) {
    for (const WatchedRow& row : changes) {
      if (row.deleted) {
        known.erase(row.key);
      } else {
        known[row.key] = row.value;
      }
    }
  }
  // Like Step, for calls that do not wait for a change. @return the update after a successful read.
  std::optional<TableUpdate> Read(MonoTime now, const Store& store) {
    const std::vector<TableUpdate> updates = Step(now, store);
    return updates.empty() || updates.front().failed ? std::nullopt
                                                     : std::optional(updates.front());
  }

  // Starts a call if one is due, and finishes the call in progress once the store replies or the
  // call times out. @return the updates to send to the other gateways.
  std::vector<TableUpdate> Step(MonoTime now, const Store& store) {
    std::vector<TableUpdate> updates;
    Apply(watch.ExpireMissingRows(now));
    if (!call) {
      call = watch.NextCall(now);
      calls += call ? 1 : 0;
      called = now;
    }
    if (!call) {
      return updates;
    }
    if (silent && now < called + call->timeout) {
      return updates;
    }
    const WatchReply reply = reachable && !silent ? store.Reply(*call) : WatchReply();
    const bool waits = reply.status == WatchStatus::kDone && !call->full_read && reply.rows.empty();
    if (waits && now < called + call->wait) {
      return updates;
    }
    call.reset();
    const uint64_t after = watch.version();
    const std::vector<WatchedRow> rows = watch.OnReply(now, reply);
    Apply(rows);
    if (reply.status == WatchStatus::kFailed) {
      updates.push_back(watch.FailureUpdate(""));
    } else if (!watch.full_read_pending()) {
      updates.push_back(watch.UpdateForPeers("", after, rows));
    }
    return updates;
  }

  TableWatch watch;
  std::map<std::string, std::string> known;
  bool reachable = true;
  bool silent = false;  // The store never replies to this gateway.
  int calls = 0;
  std::optional<WatchCall> call;
  MonoTime called;
};

MonoTime At(Duration time) {
  return MonoTime() + 10s + time;
}

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

TEST_CASE("an update with a gap before it leads to a direct read", "[table_watch_test]") {
  Store store;
  store.Put("a");
  Gateway gateway(1);
  gateway.Read(At(-1s), store);
  store.Put("b");
  store.Put("c");
  TableUpdate update;
  update.after = 2;
  update.version = 3;
  update.rows = {store.rows["c"]};
  gateway.Apply(gateway.watch.OnPeerUpdate(At(100ms), update));
  CHECK(gateway.known.size() == 1);
  gateway.Read(At(100ms), store);
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
  follower.Apply(follower.watch.ExpireMissingRows(At(2s + TableWatch::kMissingRowGrace)));
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
  newer.after = 1;
  newer.version = 3;
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
  CHECK(watch.version() == 0);
  CHECK(watch.full_read_pending());
  CHECK(watch.NextCall(At(0s))->from > "a");
  page.version = 9;
  page.rows = {{"b", "1", 2, false, false}};
  page.has_more = false;
  CHECK(watch.OnReply(At(0s), page).size() == 2);
  CHECK(watch.version() == 7);
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
  store.rows["b"].value = std::string(20'000, 'x');
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
  CHECK(other.NextCall(At(2s)));
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
  gateway.Apply(gateway.watch.ExpireMissingRows(At(2100ms + TableWatch::kMissingRowGrace)));
  CHECK(gateway.known.empty());
}

// Gateways that send each other updates, simulated in steps of 10 ms.
struct Zone {
  explicit Zone(size_t count, TableWatch::Timing timing = kTiming) {
    for (size_t i = 0; i < count; ++i) {
      gateways.emplace_back(i + 1, timing);
    }
  }
  void Step(MonoTime now) {
    for (size_t i = 0; i < gateways.size(); ++i) {
      if (stopped == i) {
        continue;
      }
      for (const TableUpdate& update : gateways[i].Step(now, store)) {
        for (size_t j = 0; j < gateways.size(); ++j) {
          if (j != i && stopped != j) {
            gateways[j].Apply(gateways[j].watch.OnPeerUpdate(now, update));
          }
        }
      }
    }
  }
  // Runs the simulation until a time, in steps of 10 ms.
  void RunUntil(Duration end) {
    for (; time < end; time += 10ms) {
      Step(At(time));
    }
  }
  void SetReachable(bool reachable) {
    for (Gateway& gateway : gateways) {
      gateway.reachable = reachable;
    }
  }
  int calls() const {
    int sum = 0;
    for (const Gateway& gateway : gateways) {
      sum += gateway.calls;
    }
    return sum;
  }
  std::vector<Gateway> gateways;
  Store store;
  std::optional<size_t> stopped;
  Duration time{0};
};

// At a random time, stops the gateway that `reader` selects. Applies `change` to the store within a
// second before or after that. @return the time from the change until all running gateways know it.
template <typename Reader, typename Change, typename Knows>
std::optional<Duration> TimeUntilKnown(Zone* zone, Reader reader, Change change, Knows knows) {
  const auto stop_time = 10ms * *rc::gen::inRange(500, 700);
  const auto change_time = stop_time + 10ms * *rc::gen::inRange(-100, 100);
  std::optional<Duration> known;
  while (zone->time < 12s) {
    if (zone->time == change_time) {
      change(&zone->store);
    }
    if (zone->time == stop_time) {
      zone->stopped = static_cast<size_t>(reader(zone->gateways) - zone->gateways.begin());
    }
    const Duration time = zone->time;
    zone->RunUntil(time + 10ms);
    size_t informed = 0;
    for (size_t i = 0; i < zone->gateways.size(); ++i) {
      informed += zone->stopped == i || knows(zone->gateways[i]) ? 1 : 0;
    }
    if (time >= change_time && !known && informed == zone->gateways.size()) {
      known = time - change_time;
    }
  }
  return known;
}

TEST_CASE("one gateway of a zone reads for all, and a takeover finishes within two seconds",
          "[table_watch_test]") {
  // Guards against a store load that grows with the number of gateways, and against missing that an
  // endpoint leaves because the reader failed.
  CHECK(rc::check([] {
    Zone zone(*rc::gen::inRange<size_t>(2, 8));
    zone.store.Put("a");
    const std::optional<Duration> noticed = TimeUntilKnown(
        &zone,
        [](const std::vector<Gateway>& gateways) {
          return std::max_element(
              gateways.begin(), gateways.end(),
              [](const Gateway& a, const Gateway& b) { return a.calls < b.calls; });
        },
        [](Store* store) { store->Remove("a"); },
        [](const Gateway& gateway) { return gateway.known.empty(); });
    RC_ASSERT(noticed);
    RC_ASSERT(*noticed < Duration(2s));
    // One read per second, one by each gateway at the start, and a few when the reader changes.
    RC_ASSERT(zone.calls() <= 12 + 3 * static_cast<int>(zone.gateways.size()));
  }));
}

TEST_CASE("one gateway of a zone polls the operators' table for all", "[table_watch_test]") {
  // Guards against a store load that grows with the number of gateways, and against an operator's
  // decision that takes longer than two seconds to take effect because the reader failed.
  CHECK(rc::check([] {
    Zone zone(*rc::gen::inRange<size_t>(2, 30), kOperatorTableTiming);
    zone.store.Put("a");
    const std::optional<Duration> noticed = TimeUntilKnown(
        &zone,
        [](const std::vector<Gateway>& gateways) {
          return std::find_if(gateways.begin(), gateways.end(),
                              [](const Gateway& gateway) { return gateway.call.has_value(); });
        },
        [](Store* store) { store->Put("b"); },
        [](const Gateway& gateway) { return gateway.known.contains("b"); });
    RC_ASSERT(noticed);
    RC_ASSERT(*noticed < Duration(2s));
    RC_ASSERT(zone.calls() <= 14 + 3 * static_cast<int>(zone.gateways.size()));
  }));
}

TEST_CASE("gateways whose calls hang do not keep other gateways from reading",
          "[table_watch_test]") {
  // Guards against an operator's decision that is delayed at every gateway because one gateway
  // after another becomes the reader and its calls hang.
  CHECK(rc::check([] {
    Zone zone(12, kOperatorTableTiming);
    zone.store.Put("a");
    zone.RunUntil(5s);
    for (Gateway& gateway : zone.gateways) {
      gateway.silent = gateway.call.has_value() || *rc::gen::inRange(0, 3) == 0;
    }
    zone.gateways[*rc::gen::inRange<size_t>(0, 12)].silent = false;
    zone.store.Put("b");
    zone.RunUntil(5s + 1700ms);
    for (const Gateway& gateway : zone.gateways) {
      RC_ASSERT(gateway.known.contains("b"));
    }
  }));
}

TEST_CASE("gateways that lose the store at the same time take turns retrying",
          "[table_watch_test]") {
  // Guards against every gateway retrying several times a second during an outage, and against late
  // detection of the end of the outage.
  Zone zone(30);
  zone.store.Put("a");
  zone.RunUntil(5s);
  const int before = zone.calls();
  zone.SetReachable(false);
  zone.RunUntil(15s);
  // Each gateway makes one call to detect the outage, then one per shared retry delay, and may make
  // one more between two of its turns.
  CHECK(zone.calls() - before <= 30 * (2 + 10s / TableWatch::kMaxSharedRetryDelay) + 30);
  zone.SetReachable(true);
  zone.store.Put("b");
  zone.RunUntil(15s + 500ms);
  for (const Gateway& gateway : zone.gateways) {
    CHECK(gateway.known.contains("b"));
  }
}

TEST_CASE("a gateway that reaches the store reads for those that do not", "[table_watch_test]") {
  // Guards against failure updates that delay the read of a gateway that can reach the store.
  Zone zone(12);
  zone.store.Put("a");
  zone.RunUntil(5s);
  zone.SetReachable(false);
  zone.RunUntil(10s);
  zone.gateways[7].reachable = true;
  zone.store.Put("b");
  zone.RunUntil(10s + TableWatch::kMaxSharedRetryDelay);
  for (const Gateway& gateway : zone.gateways) {
    CHECK(gateway.known.contains("b"));
  }
}

}  // namespace
}  // namespace jd
