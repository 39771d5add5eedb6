#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "cluster/discovery.h"
#include "tests/table_watch_harness.h"

namespace jd::table_watch_test {
namespace {

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
          "[table_sharing_test]") {
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

TEST_CASE("many rows that are written at once are read by one gateway", "[table_sharing_test]") {
  // Guards against a reader that leaves the rows out of its update because there are many, so that
  // each of the others reads the store and tells all others in turn.
  constexpr size_t kRowBytes = 190;
  for (const int rows : {88, 400}) {
    Zone zone(22);
    zone.store.Put("a");
    zone.RunUntil(5s);
    const int calls = zone.calls();
    for (int i = 0; i < rows; ++i) {
      zone.store.Put("i-" + std::to_string(i), kRowBytes);
    }
    zone.RunUntil(10s);
    INFO(rows << " rows");
    // One read each second, and one by a gateway that has just taken over.
    CHECK(zone.calls() - calls <= 7);
    for (const Gateway& gateway : zone.gateways) {
      CHECK(gateway.known.size() == static_cast<size_t>(rows) + 1);
    }
  }
}

TEST_CASE("a gateway that the store turns away gets the changes that it missed from a peer",
          "[table_sharing_test]") {
  // Guards against a gateway that hears of newer versions, cannot read them, and goes on with rows
  // that are as old as the update that it missed.
  for (const bool silent : {false, true}) {
    Zone zone(6);
    zone.store.Put("a");
    zone.RunUntil(4s);
    Gateway& cut = zone.gateways[0];
    cut.reachable = false;
    cut.silent = silent;
    cut.cut_from_peers = true;
    zone.store.Put("b");
    zone.store.Remove("a");
    zone.RunUntil(6s);
    cut.cut_from_peers = false;
    zone.store.Put("c");
    zone.RunUntil(10s);
    INFO((silent ? "no reply" : "refused"));
    CHECK(cut.known == zone.store.Values());
    // Without missed changes no peer is asked.
    const size_t snapshots = zone.snapshots;
    CHECK(snapshots <= 4);
    zone.RunUntil(20s);
    CHECK(zone.snapshots == snapshots);
  }
}

TEST_CASE("one gateway of a zone polls the operators' table for all", "[table_sharing_test]") {
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
          "[table_sharing_test]") {
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
          "[table_sharing_test]") {
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

TEST_CASE("a gap that all gateways of a zone have is covered by few reads",
          "[table_sharing_test]") {
  // Guards against hundreds of gateways that read the store at the same moment, tell each other
  // what they have read, and thereby cause further reads.
  Zone zone(60);
  zone.store.Put("a");
  zone.RunUntil(5s);
  const int before = zone.calls();
  zone.store.Put("b");
  zone.store.Put("c");
  TableUpdate update;
  update.after = {StoreEra(1), 2};
  update.position = {StoreEra(1), 3};
  update.rows = {zone.store.rows["c"]};
  for (Gateway& gateway : zone.gateways) {
    gateway.Apply(gateway.watch.OnPeerUpdate(At(zone.time), update));
  }
  // Their reads must not start at the same moment, because a reply takes some time.
  const MonoTime soon = At(zone.time + 20ms);
  CHECK(std::count_if(zone.gateways.begin(), zone.gateways.end(), [&](const Gateway& gateway) {
          return gateway.watch.next_timer() <= soon;
        }) <= 60 / 4);
  zone.RunUntil(5s + TableWatch::kMaxReadSpread + 20ms);
  for (const Gateway& gateway : zone.gateways) {
    CHECK(gateway.known.size() == 3);
  }
  // Those whose delay ends in the same step of 10 ms as the first one's read as well.
  CHECK(zone.calls() - before <= 60 / 4);
}

TEST_CASE("gateways that have all read the table at the same time settle on one reader",
          "[table_sharing_test]") {
  // Guards against a second read by every gateway after all have restarted.
  Zone zone(60, kOperatorTableTiming);
  zone.store.Put("a");
  zone.RunUntil(100ms);
  CHECK(zone.calls() == 60);
  zone.RunUntil(3s);
  CHECK(zone.calls() <= 60 + 60 / 4);
}

TEST_CASE("a gateway that reaches the store reads for those that do not", "[table_sharing_test]") {
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
}  // namespace jd::table_watch_test
