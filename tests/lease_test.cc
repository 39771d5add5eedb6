#include "cluster/lease.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "cluster/claim_row.h"
#include "cluster/maintenance.h"
#include "tests/table_link.h"

namespace jd {
namespace {

Now At(int64_t millis) {
  return {MonoTime(std::chrono::milliseconds(millis)), WallTime(std::chrono::milliseconds(millis))};
}

template <typename T>
void RunComponent(T* component, FakeTable* table, int64_t from, int64_t to) {
  for (int64_t now = from; now <= to; now += 500) {
    TableCalls calls;
    component->OnTimer(At(now), &calls);
    while (!calls.empty()) {
      for (const TableCall& call : std::exchange(calls, {})) {
        component->OnTableReply(At(now), call.token, table->HandleRequest(call.request), &calls);
      }
    }
  }
}

// Guards against a holder that resumes after a pause and writes although another gateway has taken
// over the lease.
TEST_CASE("a delayed write of a former lease holder fails", "[lease_test]") {
  uint64_t written = 0;
  uint64_t stale_rejected = 0;
  CHECK(rc::check([&] {
    TableLink link(*rc::gen::arbitrary<uint64_t>());
    link.loss_tenths = *rc::gen::inRange<uint64_t>(0, 3);
    std::vector<std::unique_ptr<Lease>> leases;
    std::vector<int64_t> paused_until(3, 0);
    for (int i = 0; i < 3; ++i) {
      leases.push_back(std::make_unique<Lease>("l", GatewayId(std::to_string(i)), 1));
    }
    int64_t now = 0;
    uint64_t highest = 0;  ///< Highest fencing token of a write that took effect.
    bool stale_write_applied = false;
    struct DelayedWrite {
      int64_t due;
      uint64_t fencing;
      TableTransaction write;
    };
    std::vector<DelayedWrite> writes;
    std::function<void(size_t, const TableCalls&)> send_calls = [&](size_t i,
                                                                    const TableCalls& calls) {
      for (const TableCall& call : calls) {
        link.Send(call, [&, i, token = call.token](const TableReply& reply) {
          TableCalls next;
          if (now >= paused_until[i]) {
            leases[i]->OnTableReply(At(now).mono, token, reply, &next);
            send_calls(i, next);
          }
        });
      }
    };
    for (int step = 0; step < 1500; ++step) {
      now += static_cast<int64_t>(link.random() % 200);
      const size_t i = link.random() % 3;
      link.Step();
      if (now < paused_until[i]) {
        continue;
      }
      TableCalls calls;
      leases[i]->OnTimer(At(now).mono, &calls);
      send_calls(i, calls);
      if (leases[i]->held(At(now).mono)) {
        const uint64_t fencing = leases[i]->fencing();
        TableTransaction write;
        write.checks.push_back(leases[i]->check());
        write.puts.push_back({"work", std::to_string(fencing)});
        // The process may be paused between the check of its own clock and the write.
        if (link.random() % 20 == 0) {
          paused_until[i] = now + static_cast<int64_t>(link.random() % 60000);
        }
        writes.push_back({paused_until[i], fencing, write});
      }
      for (size_t k = writes.size(); k-- > 0;) {
        if (now >= writes[k].due) {
          const TableStatus status = link.table.HandleRequest(writes[k].write).status;
          written += status == TableStatus::kDone ? 1 : 0;
          stale_rejected += status == TableStatus::kConflict && writes[k].fencing < highest ? 1 : 0;
          writes.erase(writes.begin() + static_cast<int64_t>(k));
        }
      }
      const auto row = link.table.rows.find("work");
      if (row != link.table.rows.end()) {
        const uint64_t fencing = std::stoull(row->second.value);
        stale_write_applied = stale_write_applied || fencing < highest;
        highest = std::max(highest, fencing);
      }
    }
    RC_ASSERT(!stale_write_applied);
  }));
  CHECK(written > 100);
  CHECK(stale_rejected > 0);
}

// Guards against the deletion of log rows that no snapshot covers, and of request keys that have
// not expired.
TEST_CASE("maintenance deletes only log rows covered by a snapshot and expired keys",
          "[lease_test]") {
  FakeTable table;
  Maintenance first(GatewayId("a"));
  Maintenance second(GatewayId("b"));
  const auto put = [&](const std::string& key, const std::string& value) {
    table.HandleRequest(TableTransaction{{}, {{key, value}}, {}});
  };
  put(kSnapshotKey, HeadValue(ConfigVersion(1100)));
  for (uint64_t version = 1; version <= 1100; ++version) {
    put(LogKey(ConfigVersion(version)), "{}");
  }
  const auto claim = [&](const std::string& key, int64_t claimed) {
    ClaimRow row;
    row.nonce = "n";
    row.claimed = At(claimed).wall;
    put(kClaimPrefix + key, row.ToJson());
  };
  const int64_t day = 24 * 3600 * 1000;
  for (int i = 0; i < 250; ++i) {
    claim("old" + std::to_string(i), 0);
  }
  claim("new", day);
  RunComponent(&first, &table, day + 1000, day + 30000);
  CHECK(first.lease().fencing() == 1);
  CHECK_FALSE(table.rows.contains(LogKey(ConfigVersion(75))));
  CHECK(table.rows.contains(LogKey(ConfigVersion(76))));
  CHECK_FALSE(table.rows.contains(std::string(kClaimPrefix) + "old249"));
  CHECK(table.rows.contains(std::string(kClaimPrefix) + "new"));
  RunComponent(&second, &table, day + 30000, day + 40000);
  CHECK_FALSE(second.lease().held(At(day + 40000).mono));
  RunComponent(&second, &table, day + 40000, day + 60000);
  CHECK(second.lease().fencing() == 2);
  CHECK_FALSE(first.lease().held(At(day + 60000).mono));
}

// Guards against the write of a holder that was paused after it checked that it holds the lease: if
// the transaction did not check the lease's row, the deletion would take effect.
TEST_CASE("a deletion sent under a lease that another gateway has since acquired fails",
          "[lease_test]") {
  FakeTable table;
  Maintenance first(GatewayId("a"));
  ClaimRow claim;
  claim.nonce = "n";
  table.HandleRequest(
      TableTransaction{{}, {{std::string(kClaimPrefix) + "old", claim.ToJson()}}, {}});
  std::optional<TableTransaction> deletion;
  int64_t now = 25 * 3600 * 1000;
  for (const int64_t end = now + 30000; !deletion && now < end; now += 500) {
    TableCalls calls;
    first.OnTimer(At(now), &calls);
    while (!calls.empty()) {
      for (const TableCall& call : std::exchange(calls, {})) {
        const auto* write = std::get_if<TableTransaction>(&call.request);
        if (write != nullptr && !write->deletes.empty()) {
          deletion = *write;
          continue;
        }
        first.OnTableReply(At(now), call.token, table.HandleRequest(call.request), &calls);
      }
    }
  }
  REQUIRE(deletion);
  Lease second("maintenance", GatewayId("b"), 1);
  for (const int64_t end = now + 60000; now < end; now += 500) {
    TableCalls calls;
    second.OnTimer(At(now).mono, &calls);
    while (!calls.empty()) {
      for (const TableCall& call : std::exchange(calls, {})) {
        second.OnTableReply(At(now).mono, call.token, table.HandleRequest(call.request), &calls);
      }
    }
  }
  REQUIRE(second.fencing() == 2);
  CHECK(table.HandleRequest(*deletion).status == TableStatus::kConflict);
  CHECK(table.rows.contains(std::string(kClaimPrefix) + "old"));
}

}  // namespace
}  // namespace jd
