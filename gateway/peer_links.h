#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/node_action.h"
#include "gateway/frame_link.h"
#include "net/libevent_ptr.h"
#include "rpc/packed_rows.h"

namespace jd {

/// Listens on the gateway's port for peers and operators, and keeps the connections to the peers.
///
/// Each gateway sends over connections that it opened itself and receives over connections that its
/// peers opened, so that two gateways need not agree on one connection. A message to an unreachable
/// peer is dropped; senders repeat every message that must arrive.
class PeerLinks {
 public:
  struct Settings {
    std::string address;  ///< IPv4 address to listen on.
    uint16_t port = 0;    ///< 0: any free port.
    std::string key;      ///< Shared key of the deployment.
    /// Another key that peers and operators may use while the shared key is replaced; empty: none.
    std::string accepted_key = {};
    /// Added to each outgoing message, to simulate the latency between zones on one machine.
    Duration added_delay{0};
  };

  /// Counters since the start of the process.
  struct Traffic {
    uint64_t messages_sent = 0;
    uint64_t bytes_sent = 0;
    uint64_t messages_received = 0;
    uint64_t bytes_received = 0;
    uint64_t dropped = 0;   ///< Messages to unreachable peers or over a full connection.
    uint64_t rejected = 0;  ///< Connections closed because of a wrong key or an invalid message.
    uint64_t replaced = 0;  ///< Silent connections to peers that were replaced.
  };

  /// @throws std::runtime_error if the address is not an IPv4 address.
  /// @throws ListenError if the port cannot be opened.
  PeerLinks(event_base* base, Settings settings);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  sigc::signal<void(const PeerMessage&)>& message_received() { return message_received_; }
  /// Emitted for each request of an operator. Its id is replaced by one that is unique in this
  /// process; the id of the OperatorReply that is passed to SendOperatorReply must equal it.
  sigc::signal<void(const OperatorRequest&)>& operator_request_received() {
    return operator_request_received_;
  }

  /// Sets the address of a peer and closes the connection to its previous address. An empty address
  /// removes the peer.
  void SetPeerAddress(const SetPeerAddress& action);
  /// Closes the connection to a peer, over which no message seems to arrive. The next message opens
  /// another one.
  void ReplaceConnection(const ReplacePeerConnection& action);
  /// Sends a message to a peer, after the added delay if there is one. A message that cannot be
  /// sent is dropped and counted.
  void SendMessage(const SendPeerMessage& action);
  /// Sends a reply to the operator that made the request; does nothing if the operator has
  /// disconnected.
  void SendOperatorReply(const OperatorReply& reply);

  uint16_t port() const { return port_; }
  Traffic traffic() const;

 private:
  struct Peer {
    std::string address;
    uint16_t port = 0;
    std::unique_ptr<FrameLink> link;  ///< Null while there is no connection.
    MonoTime reconnect_after;         ///< No new connection is opened before this time.
  };
  struct InboundLink {
    std::unique_ptr<FrameLink> link;
    uint64_t number = 0;  ///< Counts the accepted connections.
    GatewayId peer;       ///< Sender of the messages; empty if none has arrived.
  };
  struct DelayedFrame {
    MonoTime due;
    GatewayId to;
    std::string frame;
  };
  struct PendingReply {
    FrameLink* link = nullptr;
    uint64_t client_id = 0;  ///< Id that the operator gave the request.
  };

  void AddInboundLink(evutil_socket_t socket);
  bool AcceptsKey(const std::string& key) const;
  void OnEnvelopeReceived(FrameLink* link, const wire::Envelope& envelope);
  void OnOutboundLinkClosed(const GatewayId& peer);
  void SendFrame(const GatewayId& to, const std::string& frame);
  void SendDueFrames();
  void ScheduleDelayedSend();
  // Returns the connection to a peer, and opens one if there is none. Returns null before the
  // peer's `reconnect_after` and if its address is malformed.
  FrameLink* FindOrOpenLink(const GatewayId& id, Peer* peer);
  // Closes a connection and destroys it after the current iteration of the event loop.
  void CloseAndDestroyLater(std::unique_ptr<FrameLink> link);
  /// Closes the connection of a peer or operator without the right key or with an invalid message.
  /// @param sender for the log.
  void RejectLink(FrameLink* link, const std::string& sender, const std::string& fault);
  void CloseInboundLink(FrameLink* link);
  /// Closes the earlier connections of the peer that has sent a message on `link`: it has replaced
  /// them, and may not be able to say so.
  void CloseReplacedLinks(FrameLink* link, const GatewayId& peer);
  MonoTime Now() const;

  event_base* base_;
  Settings settings_;
  uint16_t port_ = 0;
  LibeventPtr<evconnlistener> listener_;
  LibeventPtr<event> delay_timer_;
  std::unordered_map<GatewayId, Peer> peers_;
  std::map<FrameLink*, InboundLink> inbound_links_;
  uint64_t accepted_links_ = 0;
  // Links closed in this iteration of the event loop. `cleanup_timer_` destroys them in the next
  // iteration, because a link must not be destroyed in its own callback.
  std::vector<std::unique_ptr<FrameLink>> closed_links_;
  LibeventPtr<event> cleanup_timer_;
  std::unordered_map<uint64_t, PendingReply> pending_replies_;
  std::deque<DelayedFrame> delayed_frames_;
  uint64_t next_request_id_ = 1;
  RowPacker row_packer_;
  MonoTime next_rejection_log_;
  Traffic traffic_;
  sigc::signal<void(const PeerMessage&)> message_received_;
  sigc::signal<void(const OperatorRequest&)> operator_request_received_;
};

}  // namespace jd
