#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "cluster/node_action.h"
#include "cluster/table_call.h"

namespace jd {

/// The component of a node that asked the table.
enum class TableClient : uint8_t { kKeeper, kWriter, kMaintenance, kClaims };

/// Gives every table call of a node one id and finds the component that an answer belongs to.
class TableRouter {
 public:
  struct Route {
    TableClient client = TableClient::kKeeper;
    uint64_t instance = 0;  ///< Of the client, for example the number of a writer.
    uint64_t token = 0;     ///< As chosen by the component.
  };

  /// Appends an action for each call.
  void Send(TableClient client, uint64_t instance, TableCalls calls, NodeActions* actions) {
    for (TableCall& call : calls) {
      const uint64_t id = next_id_++;
      routes_[id] = {client, instance, call.token};
      actions->push_back(CallTable{id, std::move(call.request), call.timeout});
    }
  }

  /// Takes the route of an answer, or nothing if it was answered before.
  std::optional<Route> Take(uint64_t id) {
    const auto found = routes_.extract(id);
    return found.empty() ? std::nullopt : std::optional(found.mapped());
  }

 private:
  uint64_t next_id_ = 1;
  std::unordered_map<uint64_t, Route> routes_;
};

}  // namespace jd
