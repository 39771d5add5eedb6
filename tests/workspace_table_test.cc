#include "common/workspace_table.h"

#include <catch2/catch.hpp>
#include <stdexcept>

#include "common/config_change.h"
#include "common/config_codec.h"

namespace jd {
namespace {

KeyedWorkspace MakeWorkspace(const std::string& name, std::vector<std::string> keys) {
  return {WorkspaceId(name), std::move(keys), std::nullopt, std::nullopt};
}

std::string MessageOf(std::vector<KeyedWorkspace> workspaces) {
  try {
    WorkspaceTable table(std::move(workspaces));
  } catch (const std::invalid_argument& error) {
    return error.what();
  }
  return {};
}

TEST_CASE("a workspace is found by each of its keys and by no other", "[workspace_table_test]") {
  const WorkspaceTable table({MakeWorkspace("a", {"k1", "k2"}), MakeWorkspace("b", {"k3", "k3"})});
  REQUIRE(table.FindByKey("k2") != nullptr);
  CHECK(table.FindByKey("k2")->id == WorkspaceId("a"));
  CHECK(table.FindByKey("k3")->id == WorkspaceId("b"));
  for (const char* key : {"", "k", "k11", "K1", "k4"}) {
    INFO(key);
    CHECK(table.FindByKey(key) == nullptr);
  }
  CHECK(table.FindById(WorkspaceId("b"))->keys.size() == 2);
  CHECK(table.FindById(WorkspaceId("c")) == nullptr);
}

TEST_CASE("a key of two workspaces is an error that does not show the key",
          "[workspace_table_test]") {
  CHECK(MessageOf({MakeWorkspace("a", {"secret"}), MakeWorkspace("b", {"secret"})}) ==
        "workspaces 'a' and 'b' share a key");
  CHECK(MessageOf({MakeWorkspace("a", {""})}) == "workspace 'a' has an empty key");
  CHECK(MessageOf({MakeWorkspace("a", {}), MakeWorkspace("a", {})}) ==
        "workspace 'a' is listed twice");
}

TEST_CASE("operators' workspaces with keys become a table", "[workspace_table_test]") {
  Configuration configuration;
  CHECK(WithChange(configuration, Workspace{WorkspaceId("a"), 1.0}).workspace_table == nullptr);
  const Workspace keyed{WorkspaceId("a"), 1.0, {"k1"}, Priority::kHigh, 2.5, 4};
  configuration = WithChange(configuration, keyed);
  REQUIRE(configuration.workspace_table != nullptr);
  const KeyedWorkspace* found = configuration.workspace_table->FindByKey("k1");
  REQUIRE(found != nullptr);
  CHECK(found->priority == Priority::kHigh);
  CHECK(found->quota == Quota{2.5, 4});
  ConfigErrors errors;
  const auto copy = ConfigurationFromJson(ToJson(configuration), &errors);
  REQUIRE(copy);
  CHECK(copy->workspaces == configuration.workspaces);
  CHECK(copy->workspace_table->FindByKey("k1") != nullptr);
  const ConfigErrors shared = CheckChange(configuration, Workspace{WorkspaceId("b"), 1, {"k1"}});
  REQUIRE(shared.size() == 1);
  CHECK(shared[0].problem.find("k1") == std::string::npos);
  CHECK(CheckChange(configuration, Workspace{WorkspaceId("b"), 1, {"a b", ""}}).size() == 2);
}

}  // namespace
}  // namespace jd
