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

/// Handles operator commands. Commands that read are answered at once. Commands that change the
/// configuration are answered when the table has accepted or refused the change, or has not done so
/// within the timeout.
class NodeOperator {
 public:
  /// The components of the node that commands read and change.
  struct Components {
    const NodeSettings* settings = nullptr;
    NodeConfig* config = nullptr;
    const Membership* membership = nullptr;
    const NodeSlots* slots = nullptr;
    NodeTimeline* timeline = nullptr;
  };

  explicit NodeOperator(Components components) : components_(components) {}

  /// Handles a command.
  /// @param ready whether the gateway is ready.
  /// @param calls number of unfinished calls.
  /// @return the reply, or nothing if OnWriteFinished returns the reply later.
  std::optional<OperatorReply> OnRequest(Now now,
                                         const OperatorRequest& request,
                                         bool ready,
                                         size_t calls,
                                         NodeConfig::Output* output);
  /// Handles the result of a write.
  /// @return the reply to the command that started the write, or nothing if no command did.
  std::optional<OperatorReply> OnWriteFinished(uint64_t operation, const WriteResult& result);

 private:
  /// Returns the reply to the command "status".
  nlohmann::json StatusBody(bool ready, size_t calls) const;
  /// Handles the commands that change the configuration: "put", "zone" and "rollback".
  std::optional<OperatorReply> StartChange(Now now,
                                           const OperatorRequest& request,
                                           const nlohmann::json& body,
                                           NodeConfig::Output* output);
  /// Handles the command "zone" with the argument "unrecorded".
  OperatorReply TakeZoneOut(Now now,
                            const OperatorRequest& request,
                            const nlohmann::json& body,
                            NodeConfig::Output* output);

  Components components_;
  std::map<uint64_t, uint64_t> pending_requests_;  ///< Id of the request by number of its write.
};

}  // namespace jd
