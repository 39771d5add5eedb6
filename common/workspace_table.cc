#include "common/workspace_table.h"

#include <stdexcept>
#include <utility>

namespace jd {

WorkspaceTable::WorkspaceTable(std::vector<KeyedWorkspace> workspaces)
    : workspaces_(std::move(workspaces)) {
  for (size_t i = 0; i < workspaces_.size(); ++i) {
    const KeyedWorkspace& workspace = workspaces_[i];
    if (!by_id_.emplace(workspace.id, i).second) {
      throw std::invalid_argument("workspace '" + workspace.id.value + "' is listed twice");
    }
    for (const std::string& key : workspace.keys) {
      const auto [entry, added] = by_key_.emplace(key, i);
      if (!added && entry->second != i) {
        throw std::invalid_argument("workspaces '" + workspaces_[entry->second].id.value +
                                    "' and '" + workspace.id.value + "' share a key");
      }
    }
  }
}

const KeyedWorkspace* WorkspaceTable::FindByKey(std::string_view key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : &workspaces_[found->second];
}

const KeyedWorkspace* WorkspaceTable::FindById(const WorkspaceId& id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : &workspaces_[found->second];
}

}  // namespace jd
