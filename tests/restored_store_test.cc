#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "cluster/discovery.h"
#include "tests/table_watch_harness.h"

namespace jd::table_watch_test {
namespace {

// How long the store is away before it comes back from the copy.
constexpr Duration kOutage = 2s;
// Within this time after its confirmation a configuration must be in force.
constexpr Duration kApplyTime = 2s;

// Takes the store away for a time, then brings it back from a copy.
void RestoreAfterOutage(Zone* zone, uint64_t copy_version) {
  zone->SetReachable(false);
  zone->RunUntil(zone->time + kOutage);
  zone->store.Restore(copy_version);
  zone->SetReachable(true);
}

bool AllKnow(const Zone& zone, const std::map<std::string, std::string>& values) {
  for (const Gateway& gateway : zone.gateways) {
    if (gateway.known != values) {
      return false;
    }
  }
  return true;
}

TEST_CASE("a change reaches every gateway in time after the store lost confirmed changes",
          "[restored_store_test]") {
  // Guards against configurations that are taken for older ones because the store, back from a
  // copy, counts versions again that it had given out before.
  const size_t gateways = GENERATE(size_t{3}, size_t{13}, size_t{152}, size_t{300});
  // Numbers of changes that are lost, and of changes that are made at once after the return.
  const int lost = GENERATE(1, 2, 5);
  const int repeated = GENERATE(0, 1, 2, 7);
  INFO(gateways << " gateways, " << lost << " changes lost, " << repeated << " made again");
  Zone zone(gateways, kOperatorTableTiming);
  zone.store.Put("config");
  const uint64_t copy_version = zone.store.version;
  zone.RunUntil(3s);
  for (int i = 0; i < lost; ++i) {
    zone.store.Put("config");
  }
  zone.RunUntil(6s);
  RestoreAfterOutage(&zone, copy_version);
  for (int i = 0; i < repeated; ++i) {
    zone.store.Put("config");
  }
  zone.RunUntil(zone.time + 1s);
  zone.store.Put("config");
  zone.RunUntil(zone.time + kApplyTime);
  CHECK(AllKnow(zone, zone.store.Values()));
}

TEST_CASE("gateways that stood still or were cut off during a return take over what was lost",
          "[restored_store_test]") {
  // Guards against a position of the lost history that is kept by a gateway which did not see the
  // store come back, and spread to the others.
  Zone zone(13, kOperatorTableTiming);
  zone.store.Put("config");
  zone.store.Put("other");
  zone.RunUntil(3s);
  zone.store.Put("config");
  zone.store.Put("late");
  zone.RunUntil(5s);
  zone.gateways[0].paused = true;
  zone.gateways[1].silent = true;
  zone.gateways[2].cut_from_peers = true;
  zone.gateways[3].cut_from_peers = zone.gateways[3].silent = true;
  RestoreAfterOutage(&zone, 2);
  // The store has already passed the version that the gateways know.
  for (int i = 0; i < 4; ++i) {
    zone.store.Put("config");
  }
  zone.RunUntil(zone.time + 3s);
  CHECK(zone.gateways[1].known["config"] == zone.store.rows["config"].value);
  CHECK(zone.gateways[2].known["config"] == zone.store.rows["config"].value);
  for (Gateway& gateway : zone.gateways) {
    gateway.paused = gateway.silent = gateway.cut_from_peers = false;
  }
  zone.RunUntil(zone.time + kApplyTime);
  // A row that was lost is kept for the grace period.
  zone.RunUntil(zone.time + TableWatch::kMissingRowGrace);
  CHECK(AllKnow(zone, zone.store.Values()));
}

TEST_CASE("a store that comes back twice within a second is followed", "[restored_store_test]") {
  // Guards against rows of the first return that pass for rows of the second one.
  const Duration between = GENERATE(50ms, 300ms, 900ms);
  const bool away_between = GENERATE(false, true);
  Zone zone(30, kOperatorTableTiming);
  zone.store.Put("config");
  zone.RunUntil(3s);
  zone.store.Put("config");
  zone.RunUntil(5s);
  RestoreAfterOutage(&zone, 1);
  zone.store.Put("config");
  zone.RunUntil(zone.time + between / 2);
  zone.SetReachable(!away_between);
  zone.RunUntil(zone.time + between / 2);
  zone.store.Restore(1);
  zone.SetReachable(true);
  zone.store.Put("config");
  zone.RunUntil(zone.time + kApplyTime);
  CHECK(AllKnow(zone, zone.store.Values()));
}

TEST_CASE("a return is noticed without the name of the era", "[restored_store_test]") {
  // Guards against relying on a header that may be absent or unreadable.
  Zone zone(13, kOperatorTableTiming);
  zone.store.names_era = false;
  zone.store.Put("config");
  zone.RunUntil(3s);
  zone.store.Put("config");
  zone.store.Put("config");
  zone.RunUntil(5s);
  RestoreAfterOutage(&zone, 1);
  zone.RunUntil(zone.time + 2s);
  zone.store.Put("config");
  zone.RunUntil(zone.time + kApplyTime);
  CHECK(AllKnow(zone, zone.store.Values()));
}

TEST_CASE("few gateways read the store when it has come back", "[restored_store_test]") {
  // Guards against hundreds of full reads at the moment of the return.
  Zone zone(300);
  for (int i = 0; i < 50; ++i) {
    zone.store.Put("endpoint-" + std::to_string(i));
  }
  zone.RunUntil(5s);
  const int before = zone.calls();
  zone.store.Restore(49);
  zone.store.Put("endpoint-7");
  zone.RunUntil(8s);
  CHECK(AllKnow(zone, zone.store.Values()));
  // One gateway reads once a second; the return costs it one more read.
  CHECK(zone.calls() - before <= 8);
}

TEST_CASE("rows that the copy lacks are kept until their writers have written them again",
          "[restored_store_test]") {
  // Guards against dropping the endpoints that joined after the copy was made, also if the store
  // was away so briefly that no call failed.
  const Duration outage = GENERATE(Duration(0), Duration(2s));
  Zone zone(13);
  zone.store.Put("old");
  zone.RunUntil(3s);
  zone.store.Put("new");
  zone.store.Put("gone");
  zone.RunUntil(5s);
  zone.SetReachable(outage == Duration(0));
  zone.RunUntil(zone.time + outage);
  zone.store.Restore(1);
  zone.SetReachable(true);
  const Duration returned = zone.time;
  while (zone.time < returned + 6s) {
    zone.RunUntil(zone.time + 10ms);
    if (zone.time == returned + 1990ms) {
      zone.store.Put("new");
    }
    for (const Gateway& gateway : zone.gateways) {
      REQUIRE(gateway.known.contains("new"));
    }
  }
  CHECK(AllKnow(zone, zone.store.Values()));
}

TEST_CASE("an endpoint that has left is not used again because a copy has its row",
          "[restored_store_test]") {
  // Guards against calls to endpoints that gateways know to be gone, until the store removes their
  // rows once more.
  Zone zone(13, kEndpointTableTiming);
  zone.store.Put("stays");
  zone.store.Put("left");
  zone.RunUntil(3s);
  zone.store.Remove("left");
  zone.RunUntil(6s);
  RestoreAfterOutage(&zone, 2);
  const Duration returned = zone.time;
  zone.RunUntil(returned + 2s);
  CHECK(AllKnow(zone, {{"stays", "v1"}}));
  Gateway starting(99, kEndpointTableTiming);
  starting.Apply(starting.watch.OnPeerUpdate(At(zone.time), zone.gateways[0].watch.Snapshot("")));
  CHECK(starting.known == zone.gateways[0].known);
  SECTION("the store removes it again") {
    zone.RunUntil(returned + 4s);
    zone.store.Remove("left");
    for (; zone.time < returned + 12s; zone.RunUntil(zone.time + 10ms)) {
      REQUIRE(AllKnow(zone, {{"stays", "v1"}}));
    }
  }
  SECTION("it is written again") {
    zone.store.Put("left");
    zone.RunUntil(returned + 4s);
    CHECK(AllKnow(zone, zone.store.Values()));
  }
  SECTION("it lives, but had written its row before the first read") {
    zone.RunUntil(returned + 2s + kEndpointTableTiming.recalled_row_hold);
    CHECK(AllKnow(zone, zone.store.Values()));
    starting.Apply(
        starting.watch.ApplyDueRows(At(returned + 2s + kEndpointTableTiming.recalled_row_hold)));
    CHECK(starting.known == zone.store.Values());
  }
}

TEST_CASE("a reply or update of an earlier era is ignored", "[restored_store_test]") {
  // Guards against a delayed message that brings back what the store has lost.
  Store store;
  store.Put("config");
  store.Put("config");
  Gateway gateway(1);
  Gateway delayed(2);
  delayed.Read(At(-2s), store);
  TableUpdate old_update =
      delayed.watch.UpdateForPeers("", {StoreEra(1), 1}, {store.rows["config"]});
  WatchReply old_reply = store.Reply({true, "", 0, Duration(0), 1s});
  store.Restore(1);
  gateway.Read(At(0s), store);
  CHECK(gateway.known == store.Values());
  gateway.Apply(gateway.watch.OnPeerUpdate(At(100ms), old_update));
  gateway.Apply(gateway.watch.OnPeerUpdate(At(100ms), delayed.watch.Snapshot("")));
  REQUIRE(gateway.watch.NextCall(At(2s)));
  gateway.Apply(gateway.watch.OnReply(At(2s), old_reply));
  CHECK(gateway.known == store.Values());
  CHECK(gateway.watch.position() == TablePosition{StoreEra(2), 1});
}

TEST_CASE("a full read is repeated if the store comes back between two of its pages",
          "[restored_store_test]") {
  // Guards against a table that is put together from two histories.
  TableWatch watch(kTiming, 1);
  WatchReply page;
  page.status = WatchStatus::kDone;
  page.era = StoreEra(1);
  page.version = 9;
  page.rows = {{"a", "old", 8}};
  page.has_more = true;
  REQUIRE(watch.NextCall(At(0s)));
  CHECK(watch.OnReply(At(0s), page).empty());
  REQUIRE(watch.NextCall(At(1ms)));
  page.era = StoreEra(2);
  page.rows = {{"b", "new", 9}};
  page.has_more = false;
  CHECK(watch.OnReply(At(1ms), page).empty());
  CHECK_FALSE(watch.complete());
  const std::optional<WatchCall> repeated = watch.NextCall(At(1ms + TableWatch::kMaxReadSpread));
  REQUIRE(repeated);
  CHECK(repeated->from.empty());
}

TEST_CASE("a gateway that stood still does not keep the others from reading",
          "[restored_store_test]") {
  // Guards against a change that is late everywhere because a gateway whose call was answered by
  // the earlier history tells the others that it has read the store.
  Zone zone(2, kOperatorTableTiming);
  zone.store.Put("config");
  zone.RunUntil(3s);
  while (!zone.gateways[0].call) {
    zone.RunUntil(zone.time + 10ms);
  }
  zone.gateways[0].paused = true;
  zone.store.Put("config");
  zone.store.Restore(1);
  zone.store.Put("config");
  zone.RunUntil(zone.time + kApplyTime);
  REQUIRE(zone.gateways[1].known == zone.store.Values());
  while (!zone.gateways[1].call) {
    zone.RunUntil(zone.time + 10ms);
  }
  const std::vector<TableUpdate> received =
      std::exchange(zone.gateways[0].received_while_paused, {});
  for (const TableUpdate& update : received) {
    zone.gateways[0].Apply(zone.gateways[0].watch.OnPeerUpdate(At(zone.time), update));
  }
  CHECK(zone.gateways[0].known == zone.store.Values());
  CHECK(zone.gateways[0].Step(At(zone.time + 1s), zone.store).empty());
}

TEST_CASE("every gateway agrees with the store after any series of returns",
          "[restored_store_test]") {
  // Guards against orders of changes, returns, pauses and cuts that nobody thought of.
  CHECK(rc::check([] {
    const bool waits = *rc::gen::arbitrary<bool>();
    Zone zone(*rc::gen::inRange<size_t>(2, 12),
              waits ? kOperatorTableTiming : kEndpointTableTiming);
    zone.store.Put("a");
    const int steps = *rc::gen::inRange(5, 60);
    for (int i = 0; i < steps; ++i) {
      Gateway& gateway = zone.gateways[*rc::gen::inRange<size_t>(0, zone.gateways.size())];
      switch (*rc::gen::inRange(0, 9)) {
        case 0:
        case 1:
          zone.store.Put(std::string(1, *rc::gen::inRange('a', 'e')));
          break;
        case 2:
          zone.store.Remove(std::string(1, *rc::gen::inRange('a', 'e')));
          break;
        case 3:
          zone.store.Restore(
              zone.store.version -
              std::min<uint64_t>(zone.store.version - 1, *rc::gen::inRange<uint64_t>(0, 6)));
          break;
        case 4:
          gateway.paused = !gateway.paused;
          break;
        case 5:
          gateway.silent = !gateway.silent;
          break;
        case 6:
          gateway.cut_from_peers = !gateway.cut_from_peers;
          break;
        case 7:
          zone.store.oldest = zone.store.version;
          break;
        default:
          zone.SetReachable(*rc::gen::arbitrary<bool>());
      }
      zone.RunUntil(zone.time + 10ms * *rc::gen::inRange(0, 120));
    }
    for (Gateway& gateway : zone.gateways) {
      gateway.paused = gateway.silent = gateway.cut_from_peers = false;
    }
    zone.SetReachable(true);
    zone.RunUntil(zone.time + 3s + kEndpointTableTiming.recalled_row_hold);
    RC_ASSERT(AllKnow(zone, zone.store.Values()));
    zone.store.Put("config");
    zone.RunUntil(zone.time + kApplyTime);
    RC_ASSERT(AllKnow(zone, zone.store.Values()));
  }));
}

}  // namespace
}  // namespace jd::table_watch_test
