#include "standin/platform_model.h"

#include <catch2/catch.hpp>

namespace jd {
namespace {

using nlohmann::json;

PlatformReply Send(PlatformModel& model,
                   const char* method,
                   const char* path,
                   const json& body,
                   const char* key = "",
                   MonoTime now = MonoTime()) {
  return model.Handle(now, PlatformRequest{method, path, body.dump(), key, "", "", 100});
}

TEST_CASE("a transaction writes nothing when one of its checks fails", "[platform_model_test]") {
  MemoryTable table;
  const TableReply first = table.Commit({{{"head", 0}}, {{"head", "1"}, {"log/1", "a"}}, {}});
  REQUIRE(first.status == TableStatus::kDone);
  const uint64_t head = first.rows[0].version;
  const TableReply conflicting =
      table.Commit({{{"head", head}, {"log/1", 0}}, {{"head", "2"}, {"log/2", "b"}}, {"log/1"}});
  CHECK(conflicting.status == TableStatus::kConflict);
  CHECK(conflicting.conflicts == std::vector<std::string>{"log/1"});
  CHECK(table.Get("head")->version == head);
  CHECK(table.Get("log/1").has_value());
  CHECK_FALSE(table.Get("log/2").has_value());
}

TEST_CASE("a row written again after its deletion has a new version", "[platform_model_test]") {
  MemoryTable table;
  const uint64_t before = table.Commit({{}, {{"lease", "a"}}, {}}).rows[0].version;
  table.Commit({{}, {}, {"lease"}});
  table.Commit({{}, {{"lease", "b"}}, {}});
  CHECK(table.Commit({{{"lease", before}}, {{"lease", "c"}}, {}}).status == TableStatus::kConflict);
}

TEST_CASE("a range read returns only keys with its prefix, after a key and up to its limit",
          "[platform_model_test]") {
  MemoryTable table;
  table.Commit({{}, {{"a", "0"}, {"log/1", "1"}, {"log/2", "2"}, {"log/3", "3"}, {"z", "4"}}, {}});
  const auto keys = [&](const TableRange& range) {
    std::string text;
    for (const TableRow& row : table.Range(range)) {
      text += row.key + " ";
    }
    return text;
  };
  CHECK(keys({"log/", "", 100}) == "log/1 log/2 log/3 ");
  CHECK(keys({"log/", "log/1", 1}) == "log/2 ");
  CHECK(keys({"log/", "z", 100}).empty());
}

TEST_CASE("a write whose answer is lost is committed, and a write during an outage is not",
          "[platform_model_test]") {
  const bool is_lost = GENERATE(true, false);
  PlatformModel model(0ms);
  Send(model, "POST", "/fault", {{"mode", is_lost ? "lose_answer" : "down"}, {"count", 1}});
  const json put = {{"puts", {{{"key", "k"}, {"value", "v"}}}}};
  CHECK(Send(model, "POST", "/table/txn", put).close);
  CHECK(Send(model, "GET", "/table/row", {}, "k").status == (is_lost ? 200 : 404));
  CHECK_FALSE(Send(model, "POST", "/table/txn", put).close);
}

TEST_CASE("a fault that refuses writes does not affect reads", "[platform_model_test]") {
  PlatformModel model(0ms);
  Send(model, "POST", "/fault", {{"mode", "refuse_writes"}});
  CHECK(Send(model, "POST", "/table/txn", {{"puts", json::array()}}).status == 503);
  CHECK(Send(model, "GET", "/table/range", {}).status == 200);
  CHECK(Send(model, "GET", "/stats", {}).body ==
        json({{"reads", 1}, {"writes", 1}, {"conflicts", 0}, {"faulted", 1}}));
}

TEST_CASE("a change of the VM list becomes visible only after the lag", "[platform_model_test]") {
  PlatformModel model(500ms);
  const json vms = {{{"name", "g1"}}};
  Send(model, "POST", "/vms", {{"vms", vms}});
  CHECK(Send(model, "GET", "/vms", {}, "", MonoTime(499ms)).body["vms"].empty());
  CHECK(Send(model, "GET", "/vms", {}, "", MonoTime(500ms)).body["vms"] == vms);
}

}  // namespace
}  // namespace jd
