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

/// Appends an entry to the table in the same way as ConfigWriter, and applies it to `truth`.
ConfigEntry Record(FakeTable* table, Configuration* truth) {
  const ConfigChange change = Workspace{WorkspaceId("w" + std::to_string(truth->version.value % 7)),
                                        static_cast<double>(truth->version.value % 100)};
  *truth = WithChange(*truth, change);
  ConfigEntry entry{truth->version, ToJson(change), "n", "a", WallTime()};
  TableTransaction write;
  write.puts = {{kHeadKey, HeadValue(truth->version)},
                {LogKey(truth->version), ToLogRow(entry, ConfigVersion())}};
  if (truth->version.value % kSnapshotEvery == 0) {
    write.puts.push_back({kSnapshotKey, ToJson(*truth)});
  }
  table->Do(write);
  return entry;
}

/// Simulates gateways that read one table and exchange entries, with message loss and restarts.
struct Readers {
  explicit Readers(uint64_t seed) : link(seed) {
    for (const char* id : {"a", "b", "c"}) {
      Restart(GatewayId(id));
    }
  }

  void Restart(const GatewayId& id) {
    keepers[id] = std::make_unique<ConfigKeeper>(link.random());
    ++runs[id];
    last[id] = ConfigVersion();
    std::vector<GatewayId> peers;
    for (const char* peer : {"a", "b", "c"}) {
      if (GatewayId(peer) != id) {
        peers.emplace_back(peer);
      }
    }
    ConfigOutput output;
    keepers[id]->Start(At(now), peers, &output);
    Take(id, output);
  }

  void Take(const GatewayId& id, const ConfigOutput& output) {
    const ConfigKeeper& keeper = *keepers[id];
    fell = fell || keeper.version() < last[id];
    last[id] = keeper.version();
    if (keeper.configuration() != nullptr) {
      // Every active configuration must be equal to the recorded configuration of its version.
      wrong = wrong || *keeper.configuration() != truths.at(keeper.version().value);
    }
    for (const TableCall& call : output.calls) {
      if (isolated.contains(id)) {
        ConfigOutput next;
        keepers[id]->OnTableReply(At(now), call.token, {TableStatus::kUnavailable, {}, {}}, &next);
        continue;
      }
      link.Send(call, [this, id, run = runs[id], token = call.token](const TableReply& reply) {
        ConfigOutput next;
        if (runs[id] == run) {
          keepers[id]->OnTableReply(At(now), token, reply, &next);
          Take(id, next);
        }
      });
    }
    for (const auto& [to, fetch] : output.fetches) {
      mail.push_back([this, to = to, id, fetch = fetch] {
        ConfigOutput next;
        keepers[to]->OnFetch(id, fetch, &next);
        Take(to, next);
      });
    }
    for (const auto& [to, entries] : output.answers) {
      Post(id, to, entries);
    }
    for (const ConfigEntries& entries : output.pushes) {
      for (const auto& [to, peer] : keepers) {
        Post(id, to, entries);
      }
    }
  }

  void Post(const GatewayId& from, const GatewayId& to, const ConfigEntries& entries) {
    mail.push_back([this, from, to, entries] {
      if (isolated.contains(to)) {
        return;
      }
      ConfigOutput next;
      keepers[to]->OnEntries(At(now), from, entries, &next);
      Take(to, next);
    });
  }

  void Step() {
    now += static_cast<int64_t>(link.random() % 100);
    link.Step();
    if (!mail.empty()) {
      const size_t index = link.random() % mail.size();
      const auto message = mail[index];
      mail.erase(mail.begin() + static_cast<int64_t>(index));
      if (link.random() % 10 >= link.losses) {
        message();
      }
    }
    for (auto& [id, keeper] : keepers) {
      if (keeper->next_timer() <= At(now)) {
        ConfigOutput output;
        keeper->OnTimer(At(now), &output);
        Take(id, output);
      }
    }
  }

  TableLink link;
  Configuration truth;
  std::map<uint64_t, Configuration> truths{{0, Configuration()}};
  std::map<GatewayId, std::unique_ptr<ConfigKeeper>> keepers;
  std::set<GatewayId> isolated;  ///< Gateways that reach neither the table nor their peers.
  std::map<GatewayId, int> runs;
  std::map<GatewayId, ConfigVersion> last;
  std::vector<std::function<void()>> mail;
  int64_t now = 0;
  bool fell = false;
  bool wrong = false;
};

// Guards against a gateway whose version decreases, that skips an entry or applies one twice, or
// that never catches up.
TEST_CASE("versions never decrease and entries apply in sequence despite losses and restarts",
          "[config_keeper_test]") {
  uint64_t highest = 0;
  CHECK(rc::check([&] {
    Readers readers(*rc::gen::arbitrary<uint64_t>());
    readers.link.losses = *rc::gen::inRange<uint64_t>(0, 4);
    for (int i = 0; i < 600; ++i) {
      const uint64_t dice = readers.link.random() % 100;
      if (dice < 30 && !readers.link.table.down) {
        Record(&readers.link.table, &readers.truth);
        readers.truths[readers.truth.version.value] = readers.truth;
      } else if (dice < 32) {
        readers.Restart(GatewayId(std::string(1, "abc"[readers.link.random() % 3])));
      } else if (dice < 34) {
        readers.link.table.down = !readers.link.table.down;
      } else if (dice == 34) {
        readers.isolated.insert(GatewayId("c"));
      } else if (dice == 35 && readers.truth.version.value % 3 == 0) {
        readers.isolated.clear();
      } else if (dice == 36 && readers.truth.version.value > 80) {
        // Compaction deletes the entries before the snapshot's version.
        const uint64_t end = readers.truth.version.value / kSnapshotEvery * kSnapshotEvery;
        for (uint64_t version = 1; version < end; ++version) {
          readers.link.table.rows.erase(LogKey(ConfigVersion(version)));
        }
      }
      readers.Step();
      RC_ASSERT(!readers.fell);
      RC_ASSERT(!readers.wrong);
    }
    readers.link.table.down = false;
    readers.isolated.clear();
    readers.mail.clear();
    readers.link.losses = 0;
    for (int i = 0; i < 400; ++i) {
      readers.Step();
    }
    for (const auto& [id, keeper] : readers.keepers) {
      RC_ASSERT(keeper->version() == readers.truth.version);
      RC_ASSERT(keeper->ready());
      highest = std::max(highest, keeper->version().value);
    }
  }));
  CHECK(highest > kSnapshotEvery);
}

// Guards against a new gateway that serves traffic without a configuration or with an outdated one
// during a store outage.
TEST_CASE("a gateway is ready after it read the table, or a peer's configuration during an outage",
          "[config_keeper_test]") {
  FakeTable table;
  Configuration truth;
  for (int i = 0; i < 200; ++i) {
    Record(&table, &truth);
  }
  const auto run = [&](ConfigKeeper* keeper, int64_t now, ConfigOutput* output) {
    keeper->OnTimer(At(now), output);
    while (!output->calls.empty()) {
      for (const TableCall& call : std::exchange(output->calls, {})) {
        keeper->OnTableReply(At(now), call.token, table.Do(call.request), output);
      }
    }
  };
  ConfigKeeper peer(1);
  ConfigOutput output;
  peer.Start(At(0), {}, &output);
  CHECK_FALSE(peer.ready());
  run(&peer, 0, &output);
  CHECK(peer.ready());
  CHECK(peer.version() == ConfigVersion(200));
  CHECK(peer.source() == ConfigSource::kTable);
  REQUIRE(peer.At(ConfigVersion(195)).has_value());
  CHECK(peer.At(ConfigVersion(195))->version == ConfigVersion(195));
  // A reader that was disconnected while the log was compacted continues from the snapshot.
  ConfigKeeper late(4);
  late.Start(At(0), {}, &output);
  run(&late, 0, &output);
  for (int i = 0; i < 100; ++i) {
    Record(&table, &truth);
  }
  for (uint64_t version = 1; version < 256; ++version) {
    table.rows.erase(LogKey(ConfigVersion(version)));
  }
  run(&late, 2000, &output);
  CHECK(late.version() == ConfigVersion(300));
  run(&peer, 2000, &output);
  // The log cannot be read beyond the snapshot, so the configuration read so far may be outdated.
  ConfigKeeper broken(3);
  ConfigOutput part;
  broken.Start(At(0), {}, &part);
  for (int64_t now = 0; now < 5000; now += 100) {
    for (const TableCall& call : std::exchange(part.calls, {})) {
      table.down = std::holds_alternative<TableRange>(call.request);
      broken.OnTableReply(At(now), call.token, table.Do(call.request), &part);
    }
    broken.OnTimer(At(now), &part);
  }
  CHECK(broken.version() == ConfigVersion(256));
  CHECK_FALSE(broken.ready());
  table.down = true;
  ConfigKeeper starter(2);
  ConfigOutput asked;
  starter.Start(At(0), {GatewayId("p")}, &asked);
  for (int64_t now = 0; now < 5000; now += 100) {
    run(&starter, now, &asked);
  }
  CHECK_FALSE(starter.ready());
  ConfigOutput answer;
  peer.OnFetch(GatewayId("s"), asked.fetches.at(0).second, &answer);
  starter.OnEntries(At(5000), GatewayId("p"), answer.answers.at(0).second, &asked);
  CHECK(starter.ready());
  CHECK(*starter.configuration() == truth);
  CHECK(starter.source() == ConfigSource::kPeers);
  CHECK_FALSE(starter.store_up());
}

}  // namespace
}  // namespace jd
