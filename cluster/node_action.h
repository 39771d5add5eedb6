#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cluster/peer_message.h"
#include "common/table.h"
#include "policy/call_action.h"

namespace jd {

/// Sends a message to a peer; lost if the peer cannot be reached.
struct SendPeer {
  GatewayId to;
  PeerMessage message;
};

/// Tells the transport where a peer listens; an empty address closes its link.
struct SetPeerAddress {
  GatewayId peer;
  std::string address;
  uint16_t port = 0;
};

/// Asks the platform's table; answered by Node::OnTableReply with the same id.
struct CallTable {
  uint64_t id = 0;
  TableRequest request;
  Duration timeout{0};
};

/// Reads the platform's VM list; answered by Node::OnVmList, if at all.
struct FetchVmList {};

/// Answers a caller with a response stored earlier under its request key; ends the call.
struct ReplayCall {
  CallId call;
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Hands over what a peer read of a table.
struct TakeTableNews {
  TableUpdate news;
};

/// Writes one decision to the log.
struct WriteLog {
  Event event;
};

struct SendOperatorReply {
  OperatorReply reply;
};

using NodeAction = std::variant<SendAttempt,
                                CancelAttempt,
                                AnswerCall,
                                RefuseCall,
                                CloseConnections,
                                SendPeer,
                                SetPeerAddress,
                                CallTable,
                                FetchVmList,
                                SendProbe,
                                ReplayCall,
                                TakeTableNews,
                                WriteLog,
                                SendOperatorReply>;
using NodeActions = std::vector<NodeAction>;

}  // namespace jd
