#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cluster/peer_message.h"
#include "cluster/rollout_message.h"
#include "common/table.h"
#include "policy/call_action.h"

namespace jd {

/// Sends a message to a peer. The message is lost if the peer cannot be reached.
struct SendPeerMessage {
  GatewayId to;
  PeerMessage message;
};

/// Sets the address at which the transport reaches a peer. An empty address closes the connection
/// to the peer.
struct SetPeerAddress {
  GatewayId peer;
  std::string address;
  uint16_t port = 0;
};

/// Replaces the connection to a peer, over which no message seems to arrive.
struct ReplacePeerConnection {
  GatewayId peer;
  Duration silent{0};  ///< Time since the peer last showed that it receives messages.
};

/// Sends a request to the platform's table. The reply is passed to Node::OnTableReply with the same
/// id.
struct CallTable {
  uint64_t id = 0;
  TableRequest request;
  Duration timeout{0};
};

/// Reads the platform's VM list. The list is passed to Node::OnVmList; a failed read is not
/// reported.
struct FetchVmList {};

/// Answers a call with the response that an earlier request with the same request key stored, and
/// ends the call.
struct ReplayCall {
  CallId call;
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Passes the table rows that a peer has read to the discovery of this gateway.
struct ApplyTableUpdate {
  TableUpdate update;
};

/// Tells the discovery of this gateway that a peer has asked for its tables.
struct ServeTableFetch {
  GatewayId from;
  TableFetch fetch;
};

/// Writes the status row of a roll-out. The result is passed to Node::OnRolloutWriteResult.
struct WriteRolloutStatus {
  RolloutStatusWrite write;
};

/// Writes an event to the log.
struct WriteLog {
  Event event;
};

/// Sends the reply to an OperatorRequest.
struct SendOperatorReply {
  OperatorReply reply;
};

/// What the event loop does on behalf of Node.
using NodeAction = std::variant<SendAttempt,
                                CancelAttempt,
                                AnswerCall,
                                RefuseCall,
                                CloseConnections,
                                SendPeerMessage,
                                SetPeerAddress,
                                ReplacePeerConnection,
                                CallTable,
                                FetchVmList,
                                SendProbe,
                                ReplayCall,
                                ApplyTableUpdate,
                                ServeTableFetch,
                                WriteRolloutStatus,
                                WriteLog,
                                SendOperatorReply>;
using NodeActions = std::vector<NodeAction>;

}  // namespace jd
