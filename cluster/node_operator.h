#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "cluster/membership.h"
#include "cluster/node_config.h"
#include "cluster/node_slots.h"
#include "cluster/node_timeline.h"

namespace jd {

/// Answers operator commands. Commands that read are answered at once; commands that change the
/// configuration are answered when the table has settled them.
class NodeOperator {
 public:
  /// What the commands read and change.
  struct Parts {
    const NodeSettings* settings = nullptr;
    NodeConfig* config = nullptr;
    const Membership* membership = nullptr;
    const NodeSlots* slots = nullptr;
    NodeTimeline* timeline = nullptr;
  };

  explicit NodeOperator(Parts parts) : parts_(parts) {}

  /// @return the reply, or nothing if it follows from OnWritten.
  std::optional<OperatorReply> OnRequest(Now now,
                                         const OperatorRequest& request,
                                         bool ready,
                                         size_t calls,
                                         NodeConfig::Output* output);
  /// @return the reply to the request that started the operation, if one is waiting.
  std::optional<OperatorReply> OnWritten(uint64_t operation, const WriteResult& result);

 private:
  nlohmann::json Status(bool ready, size_t calls) const;
  std::optional<OperatorReply> Change(Now now,
                                      const OperatorRequest& request,
                                      const nlohmann::json& body,
                                      NodeConfig::Output* output);
  OperatorReply Zone(Now now,
                     const OperatorRequest& request,
                     const nlohmann::json& body,
                     NodeConfig::Output* output);

  Parts parts_;
  std::map<uint64_t, uint64_t> waiting_;  ///< Request by operation.
};

}  // namespace jd
