#include <rapidcheck.h>

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

}  // namespace
}  // namespace jd::table_watch_test
