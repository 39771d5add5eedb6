#include "cluster/config_writer.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "common/config_codec.h"
#include "tests/table_link.h"

namespace jd {
namespace {

Now At(int64_t millis) {
  return {MonoTime(std::chrono::milliseconds(millis)), WallTime(std::chrono::milliseconds(millis))};
}

WriteRequest PutZone(ZoneState state, const std::string& nonce) {
  return {Zone{ZoneId("gasabo"), state}, {}, {}, "alice", nonce};
}

/// Runs a writer against a table that replies immediately.
WriteResult Write(FakeTable* table, WriteRequest request) {
  ConfigWriter writer(std::move(request), nullptr, At(10000).mono);
  TableCalls calls;
  writer.Start(At(0), &calls);
  for (int64_t now = 0; !writer.done(); now += 100) {
    writer.OnTimer(At(now), &calls);
    for (const TableCall& call : std::exchange(calls, {})) {
      writer.OnTableReply(At(now), call.token, table->HandleRequest(call.request), &calls);
    }
  }
  return writer.result();
}

TEST_CASE("a change with an outdated base is refused with the entry that changed the object",
          "[config_writer_test]") {
  FakeTable table;
  CHECK(Write(&table, PutZone(ZoneState::kOut, "n1")).status == WriteStatus::kAccepted);
  WriteRequest request = PutZone(ZoneState::kIn, "n2");
  request.base = ConfigVersion(0);
  WriteResult result = Write(&table, request);
  CHECK(result.status == WriteStatus::kRefused);
  REQUIRE(result.newer.has_value());
  CHECK(result.newer->nonce == "n1");
  request.base = ConfigVersion(1);
  CHECK(Write(&table, request).status == WriteStatus::kAccepted);
  Service service;
  service.id = ServiceId("s");
  service.profile = ProfileId("absent");
  result = Write(&table, {service, {}, {}, "alice", "n3"});
  CHECK(result.status == WriteStatus::kRefused);
  CHECK(result.errors.at(0).path == "service.profile");
  CHECK(VersionOfHead(table.rows.at(kHeadKey).value) == ConfigVersion(2));
}

// Guards against a rollback that restores the state of another object or of another version.
TEST_CASE("a rollback writes the content an object had at an earlier version",
          "[config_writer_test]") {
  FakeTable table;
  for (int i = 1; i <= 5; ++i) {
    Write(&table, {Workspace{WorkspaceId("w"), static_cast<double>(i)}, {}, {}, "a", "w"});
    Write(&table, {Workspace{WorkspaceId("v"), static_cast<double>(i)}, {}, {}, "a", "v"});
  }
  const WriteRequest rollback_to_4{Workspace{WorkspaceId("w"), 0}, ConfigVersion(4), {}, "a", "r"};
  WriteResult result = Write(&table, rollback_to_4);
  REQUIRE(result.status == WriteStatus::kAccepted);
  CHECK(result.entry->version == ConfigVersion(11));
  CHECK(result.entry->change == ToJson(ConfigChange(Workspace{WorkspaceId("w"), 2.0})));
  result = Write(&table, {Workspace{WorkspaceId("v"), 0}, ConfigVersion(1), {}, "a", "r"});
  REQUIRE(result.status == WriteStatus::kAccepted);
  CHECK(result.entry->change == ToJson(ConfigChange(Removal{{ObjectKind::kWorkspace, "v"}})));
  table.rows.erase(LogKey(ConfigVersion(7)));
  CHECK(Write(&table, rollback_to_4).status == WriteStatus::kRefused);
}

TEST_CASE("every 64th version is written together with a snapshot", "[config_writer_test]") {
  FakeTable table;
  for (int i = 1; i <= 130; ++i) {
    Write(&table, {Workspace{WorkspaceId("w" + std::to_string(i)), 1.0}, {}, {}, "a", "n"});
  }
  ConfigErrors errors;
  const auto snapshot = ConfigurationFromJson(table.rows.at(kSnapshotKey).value, &errors);
  REQUIRE(snapshot.has_value());
  CHECK(snapshot->version == ConfigVersion(128));
  CHECK(snapshot->workspaces.size() == 128);
}

TEST_CASE("a change is refused if the table is down, and unknown if the reply is lost",
          "[config_writer_test]") {
  FakeTable table;
  table.down = true;
  CHECK(Write(&table, PutZone(ZoneState::kOut, "n")).status == WriteStatus::kRefused);
  table.down = false;
  ConfigWriter writer(PutZone(ZoneState::kOut, "n"), nullptr, At(1000).mono);
  TableCalls calls;
  writer.Start(At(0), &calls);
  writer.OnTableReply(At(0), calls[0].token, table.HandleRequest(calls[0].request), &calls);
  table.lose_answer = true;
  writer.OnTableReply(At(0), calls[1].token, table.HandleRequest(calls[1].request), &calls);
  writer.OnTimer(At(1000), &calls);
  CHECK(writer.result().status == WriteStatus::kUnknown);
}

/// Simulates several writers whose calls reach one table in random order.
struct Race {
  explicit Race(uint64_t seed) : link(seed) {}

  void Add(WriteRequest request) {
    const std::string nonce = request.nonce;
    writers[nonce] =
        std::make_unique<ConfigWriter>(std::move(request), nullptr, At(now + 3000).mono);
    TableCalls calls;
    writers[nonce]->Start(At(now), &calls);
    Send(nonce, calls);
  }

  void Send(const std::string& nonce, const TableCalls& calls) {
    for (const TableCall& call : calls) {
      link.Send(call, [this, nonce, token = call.token](const TableReply& reply) {
        TableCalls next;
        writers.at(nonce)->OnTableReply(At(now), token, reply, &next);
        Send(nonce, next);
      });
    }
  }

  void Step() {
    now += static_cast<int64_t>(link.random() % 30);
    for (int i = 0; i < 2; ++i) {
      link.Step();
    }
    for (auto& [nonce, writer] : writers) {
      TableCalls calls;
      writer->OnTimer(At(now), &calls);
      Send(nonce, calls);
    }
  }

  TableLink link;
  std::map<std::string, std::unique_ptr<ConfigWriter>> writers;
  int64_t now = 0;
};

// Guards against a wrong result for an operator: a change that is accepted but not recorded,
// refused but recorded, or recorded under the same version as another change.
TEST_CASE("concurrent writers: each version has one change and every result is correct",
          "[config_writer_test]") {
  uint64_t accepted = 0;
  uint64_t refused = 0;
  CHECK(rc::check([&] {
    Race race(*rc::gen::arbitrary<uint64_t>());
    race.link.loss_tenths = *rc::gen::inRange<uint64_t>(0, 4);
    for (int i = 0; i < 400; ++i) {
      if (i < 120 && i % 15 == 0) {
        WriteRequest request = PutZone(ZoneState::kOut, "n" + std::to_string(i));
        if (race.link.random() % 2 == 0) {
          request.base = ConfigVersion(race.link.random() % 3);
        }
        race.Add(request);
      }
      race.link.table.down = race.link.random() % 20 == 0;
      race.Step();
    }
    race.link.table.down = false;
    for (int i = 0; i < 400; ++i) {
      race.Step();
    }
    std::map<std::string, ConfigVersion> recorded;
    uint64_t rows = 0;
    for (const auto& [key, row] : race.link.table.rows) {
      ConfigErrors errors;
      if (key.starts_with(kLogPrefix)) {
        const auto entry = EntryFromLogRow(VersionOfLogKey(key), row.value, &errors);
        RC_ASSERT(entry->version.value == ++rows);
        RC_ASSERT(recorded.emplace(entry->nonce, entry->version).second);
      }
    }
    for (const auto& [nonce, writer] : race.writers) {
      const WriteResult& result = writer->result();
      RC_ASSERT(writer->done());
      if (result.status == WriteStatus::kAccepted) {
        RC_ASSERT(recorded.at(nonce) == result.entry->version);
        ++accepted;
      } else if (result.status == WriteStatus::kRefused) {
        RC_ASSERT(!recorded.contains(nonce));
        ++refused;
      }
    }
  }));
  CHECK(accepted > 100);
  CHECK(refused > 100);
}

}  // namespace
}  // namespace jd
