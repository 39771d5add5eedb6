#include "common/workspace_table.h"

#include <xxhash.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace jd {
namespace {

Fingerprint HashOf(std::string_view key) {
  return Fingerprint(XXH3_64bits(key.data(), key.size()));
}

// Takes the same time for all keys of one length.
bool AreEqual(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned difference = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

}  // namespace

WorkspaceTable::WorkspaceTable(std::vector<KeyedWorkspace> workspaces)
    : workspaces_(std::move(workspaces)) {
  for (size_t i = 0; i < workspaces_.size(); ++i) {
    const KeyedWorkspace& workspace = workspaces_[i];
    if (!by_id_.emplace(workspace.id, i).second) {
      throw std::invalid_argument("workspace '" + workspace.id.value + "' is listed twice");
    }
    for (const std::string& key : workspace.keys) {
      if (key.empty()) {
        throw std::invalid_argument("workspace '" + workspace.id.value + "' has an empty key");
      }
      const KeyedWorkspace* holder = FindByKey(key);
      if (holder != nullptr && holder->id != workspace.id) {
        throw std::invalid_argument("workspaces '" + holder->id.value + "' and '" +
                                    workspace.id.value + "' share a key");
      }
      by_key_hash_.emplace(HashOf(key), i);
    }
  }
}

const KeyedWorkspace* WorkspaceTable::FindByKey(std::string_view key) const {
  const auto [first, last] = by_key_hash_.equal_range(HashOf(key));
  for (auto entry = first; entry != last; ++entry) {
    const KeyedWorkspace& workspace = workspaces_[entry->second];
    const bool holds = std::any_of(workspace.keys.begin(), workspace.keys.end(),
                                   [&](const std::string& own) { return AreEqual(own, key); });
    if (holds) {
      return &workspace;
    }
  }
  return nullptr;
}

const KeyedWorkspace* WorkspaceTable::FindById(const WorkspaceId& id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : &workspaces_[found->second];
}

std::shared_ptr<const WorkspaceTable> MakeWorkspaceTable(
    const std::map<WorkspaceId, Workspace>& workspaces) {
  std::vector<KeyedWorkspace> keyed;
  bool has_keys = false;
  for (const auto& [id, workspace] : workspaces) {
    KeyedWorkspace entry{id, workspace.keys, workspace.priority, std::nullopt};
    if (workspace.quota_per_second > 0) {
      entry.quota = Quota{workspace.quota_per_second, workspace.quota_burst};
    }
    has_keys = has_keys || !workspace.keys.empty();
    keyed.push_back(std::move(entry));
  }
  return has_keys ? std::make_shared<const WorkspaceTable>(std::move(keyed)) : nullptr;
}

}  // namespace jd
