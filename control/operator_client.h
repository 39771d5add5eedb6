#pragma once

#include <cstdint>
#include <string>

#include "cluster/peer_message.h"

namespace jd {

/// The gateway to which an operator command is sent.
struct OperatorTarget {
  std::string address = "127.0.0.1";
  uint16_t port = 7003;  ///< The gateway's peer port.
  std::string key;       ///< The deployment's shared key.
};

/// Sends one command to a gateway and waits for its reply.
/// @param timeout limit for connecting, sending and waiting together.
/// @return the gateway's reply. Without a reply, the status is kRefused if no connection could be
///     opened, and kUnknown otherwise, because the command may have taken effect.
OperatorReply CallOperator(const OperatorTarget& target, OperatorRequest request, Duration timeout);

}  // namespace jd
