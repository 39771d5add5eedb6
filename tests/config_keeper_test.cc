#include "cluster/config_keeper.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>

#include "common/config_codec.h"
#include "tests/table_link.h"

namespace jd {
namespace {

MonoTime At(int64_t millis) {
  return MonoTime(std::chrono::milliseconds(millis));
}

/// Appends an entry to the table in the same way as ConfigWriter, and applies it to `recorded`.
ConfigEntry AppendEntry(FakeTable* table, Configuration* recorded) {
  const ConfigChange change =
      Workspace{WorkspaceId("w" + std::to_string(recorded->version.value % 7)),
                static_cast<double>(recorded->version.value % 100)};
  *recorded = WithChange(*recorded, change);
  ConfigEntry entry{recorded->version, ToJson(change), "n", "a", WallTime()};
  TableTransaction write;
  write.puts = {{kHeadKey, HeadValue(recorded->version)},
                {LogKey(recorded->version), ToLogRow(entry, ConfigVersion())}};
  if (recorded->version.value % kSnapshotInterval == 0) {
    write.puts.push_back({kSnapshotKey, ToJson(*recorded)});
  }
  table->HandleRequest(write);
  return entry;
}

/// Simulates gateways that read one table and exchange entries, with message loss and restarts.
struct SimulatedGateways {
  explicit SimulatedGateways(uint64_t seed) : link(seed) {
    for (const char* id : {"a", "b", "c"}) {
      Restart(GatewayId(id));
    }
  }

  void Restart(const GatewayId& id) {
    keepers[id] = std::make_unique<ConfigKeeper>(link.random());
    ++starts[id];
    last_version[id] = ConfigVersion();
    std::vector<GatewayId> peers;
    for (const char* peer : {"a", "b", "c"}) {
      if (GatewayId(peer) != id) {
        peers.emplace_back(peer);
      }
    }
    ConfigOutput output;
    keepers[id]->Start(At(now), peers, &output);
    HandleOutput(id, output);
  }

  void HandleOutput(const GatewayId& id, const ConfigOutput& output) {
    const ConfigKeeper& keeper = *keepers[id];
    version_decreased = version_decreased || keeper.version() < last_version[id];
    last_version[id] = keeper.version();
    if (keeper.configuration() != nullptr) {
      // Every active configuration must be equal to the recorded configuration of its version.
      wrong_configuration =
          wrong_configuration ||
          *keeper.configuration() != recorded_by_version.at(keeper.version().value);
    }
    for (const TableCall& call : output.calls) {
      if (isolated.contains(id)) {
        ConfigOutput next;
        keepers[id]->OnTableReply(At(now), call.token, {TableStatus::kUnavailable, {}, {}}, &next);
        continue;
      }
      link.Send(call, [this, id, start = starts[id], token = call.token](const TableReply& reply) {
        ConfigOutput next;
        if (starts[id] == start) {
          keepers[id]->OnTableReply(At(now), token, reply, &next);
          HandleOutput(id, next);
        }
      });
    }
    for (const auto& [to, fetch] : output.fetches) {
      messages.push_back([this, to = to, id, fetch = fetch] {
        ConfigOutput next;
        keepers[to]->OnFetch(id, fetch, &next);
        HandleOutput(to, next);
      });
    }
    for (const auto& [to, entries] : output.answers) {
      SendEntries(id, to, entries);
    }
    for (const ConfigEntries& entries : output.pushes) {
      for (const auto& [to, peer] : keepers) {
        SendEntries(id, to, entries);
      }
    }
  }

  void SendEntries(const GatewayId& from, const GatewayId& to, const ConfigEntries& entries) {
    messages.push_back([this, from, to, entries] {
      if (isolated.contains(to)) {
        return;
      }
      ConfigOutput next;
      keepers[to]->OnEntries(At(now), from, entries, &next);
      HandleOutput(to, next);
    });
  }

  void Step() {
    now += static_cast<int64_t>(link.random() % 100);
    link.Step();
    if (!messages.empty()) {
      const size_t index = link.random() % messages.size();
      const auto message = messages[index];
      messages.erase(messages.begin() + static_cast<int64_t>(index));
      if (link.random() % 10 >= link.loss_tenths) {
        message();
      }
    }
    for (auto& [id, keeper] : keepers) {
      if (keeper->next_timer() <= At(now)) {
        ConfigOutput output;
        keeper->OnTimer(At(now), &output);
        HandleOutput(id, output);
      }
    }
  }

  TableLink link;
  Configuration recorded;
  std::map<uint64_t, Configuration> recorded_by_version{{0, Configuration()}};
  std::map<GatewayId, std::unique_ptr<ConfigKeeper>> keepers;
  std::set<GatewayId> isolated;     ///< Gateways that reach neither the table nor their peers.
  std::map<GatewayId, int> starts;  ///< Number of starts of each gateway.
  std::map<GatewayId, ConfigVersion> last_version;
  std::vector<std::function<void()>> messages;
  int64_t now = 0;
  bool version_decreased = false;
  bool wrong_configuration = false;
};

// Guards against a gateway whose version decreases, that skips an entry or applies one twice, or
// that never catches up.
TEST_CASE("versions never decrease and entries apply in sequence despite losses and restarts",
          "[config_keeper_test]") {
  uint64_t highest = 0;
  CHECK(rc::check([&] {
    SimulatedGateways gateways(*rc::gen::arbitrary<uint64_t>());
    gateways.link.loss_tenths = *rc::gen::inRange<uint64_t>(0, 4);
    for (int i = 0; i < 600; ++i) {
      const uint64_t choice = gateways.link.random() % 100;
      if (choice < 30 && !gateways.link.table.down) {
        AppendEntry(&gateways.link.table, &gateways.recorded);
        gateways.recorded_by_version[gateways.recorded.version.value] = gateways.recorded;
      } else if (choice < 32) {
        gateways.Restart(GatewayId(std::string(1, "abc"[gateways.link.random() % 3])));
      } else if (choice < 34) {
        gateways.link.table.down = !gateways.link.table.down;
      } else if (choice == 34) {
        gateways.isolated.insert(GatewayId("c"));
      } else if (choice == 35 && gateways.recorded.version.value % 3 == 0) {
        gateways.isolated.clear();
      } else if (choice == 36 && gateways.recorded.version.value > 80) {
        // Compaction deletes the entries before the snapshot's version.
        const uint64_t end =
            gateways.recorded.version.value / kSnapshotInterval * kSnapshotInterval;
        for (uint64_t version = 1; version < end; ++version) {
          gateways.link.table.rows.erase(LogKey(ConfigVersion(version)));
        }
      }
      gateways.Step();
      RC_ASSERT(!gateways.version_decreased);
      RC_ASSERT(!gateways.wrong_configuration);
    }
    gateways.link.table.down = false;
    gateways.isolated.clear();
    gateways.messages.clear();
    gateways.link.loss_tenths = 0;
    for (int i = 0; i < 400; ++i) {
      gateways.Step();
    }
    for (const auto& [id, keeper] : gateways.keepers) {
      RC_ASSERT(keeper->version() == gateways.recorded.version);
      RC_ASSERT(keeper->ready());
      highest = std::max(highest, keeper->version().value);
    }
  }));
  CHECK(highest > kSnapshotInterval);
}

// Guards against a new gateway that serves traffic without a configuration or with an outdated one
// during a store outage.
TEST_CASE("a gateway is ready after it read the table, or a peer's configuration during an outage",
          "[config_keeper_test]") {
  FakeTable table;
  Configuration recorded;
  for (int i = 0; i < 200; ++i) {
    AppendEntry(&table, &recorded);
  }
  const auto run_table_calls = [&](ConfigKeeper* keeper, int64_t now, ConfigOutput* output) {
    keeper->OnTimer(At(now), output);
    while (!output->calls.empty()) {
      for (const TableCall& call : std::exchange(output->calls, {})) {
        keeper->OnTableReply(At(now), call.token, table.HandleRequest(call.request), output);
      }
    }
  };
  ConfigKeeper peer(1);
  ConfigOutput output;
  peer.Start(At(0), {}, &output);
  CHECK_FALSE(peer.ready());
  run_table_calls(&peer, 0, &output);
  CHECK(peer.ready());
  CHECK(peer.version() == ConfigVersion(200));
  CHECK(peer.source() == ConfigSource::kTable);
  REQUIRE(peer.ConfigurationAt(ConfigVersion(195)).has_value());
  CHECK(peer.ConfigurationAt(ConfigVersion(195))->version == ConfigVersion(195));
  // A reader that was disconnected while the log was compacted continues from the snapshot.
  ConfigKeeper reconnected(4);
  reconnected.Start(At(0), {}, &output);
  run_table_calls(&reconnected, 0, &output);
  for (int i = 0; i < 100; ++i) {
    AppendEntry(&table, &recorded);
  }
  for (uint64_t version = 1; version < 256; ++version) {
    table.rows.erase(LogKey(ConfigVersion(version)));
  }
  run_table_calls(&reconnected, 2000, &output);
  CHECK(reconnected.version() == ConfigVersion(300));
  run_table_calls(&peer, 2000, &output);
  // The log cannot be read beyond the snapshot, so the configuration read so far may be outdated.
  ConfigKeeper incomplete(3);
  ConfigOutput incomplete_output;
  incomplete.Start(At(0), {}, &incomplete_output);
  for (int64_t now = 0; now < 5000; now += 100) {
    for (const TableCall& call : std::exchange(incomplete_output.calls, {})) {
      table.down = std::holds_alternative<TableRange>(call.request);
      incomplete.OnTableReply(At(now), call.token, table.HandleRequest(call.request),
                              &incomplete_output);
    }
    incomplete.OnTimer(At(now), &incomplete_output);
  }
  CHECK(incomplete.version() == ConfigVersion(256));
  CHECK_FALSE(incomplete.ready());
  table.down = true;
  ConfigKeeper new_gateway(2);
  ConfigOutput new_gateway_output;
  new_gateway.Start(At(0), {GatewayId("p")}, &new_gateway_output);
  for (int64_t now = 0; now < 5000; now += 100) {
    run_table_calls(&new_gateway, now, &new_gateway_output);
  }
  CHECK_FALSE(new_gateway.ready());
  ConfigOutput answer;
  peer.OnFetch(GatewayId("s"), new_gateway_output.fetches.at(0).second, &answer);
  new_gateway.OnEntries(At(5000), GatewayId("p"), answer.answers.at(0).second, &new_gateway_output);
  CHECK(new_gateway.ready());
  CHECK(*new_gateway.configuration() == recorded);
  CHECK(new_gateway.source() == ConfigSource::kPeers);
  CHECK_FALSE(new_gateway.store_up());
}

}  // namespace
}  // namespace jd
