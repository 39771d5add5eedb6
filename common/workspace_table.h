#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/configuration.h"
#include "common/ids.h"

namespace jd {

/// The rate at which a workspace may have calls sent to upstreams, by all gateways together.
struct Quota {
  double calls_per_second = 0;
  double burst = 0;  ///< Calls beyond the rate that may be sent at once.
  bool operator==(const Quota&) const = default;
};

/// A workspace whose callers identify themselves by a key.
struct KeyedWorkspace {
  WorkspaceId id;
  std::vector<std::string> keys;
  std::optional<Priority> priority;  ///< Goes before the priority of the profile, if set.
  std::optional<Quota> quota;        ///< Absent: no limit.
  bool operator==(const KeyedWorkspace&) const = default;
};

/// Finds the workspace of a call by the key that the caller presents.
class WorkspaceTable {
 public:
  /// @throws std::invalid_argument if a key is empty, or two workspaces have the same name or share
  /// a key; the message does not contain the key.
  explicit WorkspaceTable(std::vector<KeyedWorkspace> workspaces);

  /// @return the workspace that holds the key, or null.
  const KeyedWorkspace* FindByKey(std::string_view key) const;
  /// @return the workspace with this name, or null.
  const KeyedWorkspace* FindById(const WorkspaceId& id) const;
  const std::vector<KeyedWorkspace>& workspaces() const { return workspaces_; }

 private:
  std::vector<KeyedWorkspace> workspaces_;
  /// Indices into workspaces_, by the hash of the key: the time of a look-up does not depend on how
  /// many characters of a key a caller has guessed.
  std::unordered_multimap<Fingerprint, size_t> by_key_hash_;
  std::map<WorkspaceId, size_t> by_id_;  ///< Indices into workspaces_.
};

/// Returns the table of the workspaces that operators wrote, or null if none of them has a key.
/// @param workspaces must have passed CheckKeys.
std::shared_ptr<const WorkspaceTable> MakeWorkspaceTable(
    const std::map<WorkspaceId, Workspace>& workspaces);

}  // namespace jd
