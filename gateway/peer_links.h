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

namespace jd {

/// The gateway's port for peers and operators, and its links to the peers.
///
/// Each gateway sends over connections that it opened itself and receives over those that its peers
/// opened, so that two gateways need not agree on one connection. A message to a peer that cannot
/// be reached is dropped: every sender repeats what matters.
class PeerLinks {
 public:
  struct Settings {
    std::string address;
    uint16_t port = 0;  ///< 0: any free port.
    std::string key;
    /// Holds outgoing messages back, to rehearse the distance between zones on one machine.
    Duration added_delay{0};
  };

  struct Traffic {
    uint64_t messages_sent = 0;
    uint64_t bytes_sent = 0;
    uint64_t messages_received = 0;
    uint64_t bytes_received = 0;
    uint64_t dropped = 0;
    uint64_t rejected = 0;  ///< Connections closed for a wrong key or a malformed frame.
  };

  /// @throws std::runtime_error if the port cannot be opened.
  PeerLinks(event_base* base, Settings settings);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  sigc::signal<void(const PeerMessage&)>& message_received() { return message_received_; }
  /// The id of the request is unique in this process and names it in Reply.
  sigc::signal<void(const OperatorRequest&)>& operator_request_received() {
    return operator_request_received_;
  }

  void SetPeerAddress(const SetPeerAddress& action);
  void Send(const SendPeerMessage& action);
  void Reply(const OperatorReply& reply);

  uint16_t port() const { return port_; }
  Traffic traffic() const;

 private:
  struct Peer {
    std::string address;
    uint16_t port = 0;
    std::unique_ptr<FrameLink> link;
    MonoTime retry_after;
  };
  struct Delayed {
    MonoTime due;
    GatewayId to;
    std::string frame;
  };
  struct PendingReply {
    FrameLink* link = nullptr;
    uint64_t client_id = 0;
  };

  void OnAccept(evutil_socket_t socket);
  void OnEnvelope(FrameLink* link, const wire::Envelope& envelope);
  void OnOutboundClosed(const GatewayId& peer);
  void SendFrame(const GatewayId& to, const std::string& frame);
  void SendDelayed();
  void ArmDelayTimer();
  FrameLink* Connect(const GatewayId& id, Peer* peer);
  void DestroyLater(std::unique_ptr<FrameLink> link);
  void CloseInbound(FrameLink* link);
  MonoTime Now() const;

  event_base* base_;
  Settings settings_;
  uint16_t port_ = 0;
  LibeventPtr<evconnlistener> listener_;
  LibeventPtr<event> delay_timer_;
  std::unordered_map<GatewayId, Peer> peers_;
  std::map<FrameLink*, std::unique_ptr<FrameLink>> inbound_;
  // Links closed in this turn of the event loop; a link must not be destroyed in its own callback.
  std::vector<std::unique_ptr<FrameLink>> closed_links_;
  LibeventPtr<event> cleanup_;
  std::unordered_map<uint64_t, PendingReply> pending_replies_;
  std::deque<Delayed> delayed_;
  uint64_t next_request_ = 1;
  Traffic traffic_;
  sigc::signal<void(const PeerMessage&)> message_received_;
  sigc::signal<void(const OperatorRequest&)> operator_request_received_;
};

}  // namespace jd
