#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "cluster/node_action.h"
#include "cluster/table_call.h"

namespace jd {

/// The component of a node that sent a table call.
enum class TableClient : uint8_t { kKeeper, kWriter, kMaintenance, kClaims };

/// Assigns each table call of a node an id and maps the id of a reply to the component that sent
/// the call.
class TableRouter {
 public:
  struct Origin {
    TableClient client = TableClient::kKeeper;
    uint64_t instance = 0;  ///< Distinguishes components of the same kind, such as writers.
    uint64_t token = 0;     ///< TableCall::token of the call.
  };

  /// Records the origin of each call and appends a CallTable action for it.
  void Send(TableClient client, uint64_t instance, TableCalls calls, NodeActions* actions) {
    for (TableCall& call : calls) {
      const uint64_t id = next_id_++;
      origins_[id] = {client, instance, call.token};
      actions->push_back(CallTable{id, std::move(call.request), call.timeout});
    }
  }

  /// Removes and returns the origin of the call with this id, or returns nothing if the id is
  /// unknown or its reply has already been handled.
  std::optional<Origin> TakeOrigin(uint64_t id) {
    const auto found = origins_.extract(id);
    return found.empty() ? std::nullopt : std::optional(found.mapped());
  }

 private:
  uint64_t next_id_ = 1;
  std::unordered_map<uint64_t, Origin> origins_;
};

}  // namespace jd
