#include "gateway/peer_links.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <utility>
#include <variant>

#include "gateway/log.h"
#include "net/listen_error.h"
#include "rpc/convert.h"

namespace jd {
namespace {

// Delay before a closed or refused connection to a peer is opened again; well below the time
// without heartbeats after which a peer is considered dead.
constexpr Duration kReconnectDelay = 100ms;
// Minimum time between two log lines about refused peers; each of them connects again at once.
constexpr Duration kRejectionLogInterval = 1s;

timeval ToTimeval(Duration interval) {
  timeval out{};
  out.tv_sec = interval.count() / 1'000'000;
  out.tv_usec = interval.count() % 1'000'000;
  return out;
}

// Returns whether an envelope carries only the key and no message.
bool IsKeyOnly(const wire::Envelope& envelope) {
  return envelope.sender.empty() && !envelope.body.__isset.operator_request &&
         !envelope.body.__isset.operator_reply;
}

}  // namespace

PeerLinks::PeerLinks(event_base* base, Settings settings)
    : base_(base), settings_(std::move(settings)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(settings_.port);
  if (inet_pton(AF_INET, settings_.address.c_str(), &address.sin_addr) != 1) {
    throw std::runtime_error("'" + settings_.address + "' is not an IPv4 address");
  }
  const auto accept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
    static_cast<PeerLinks*>(self)->AddInboundLink(socket);
  };
  listener_.reset(evconnlistener_new_bind(
      base_, accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
      reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
  if (listener_ == nullptr) {
    throw ListenError(settings_.address, settings_.port, errno);
  }
  socklen_t length = sizeof(address);
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&address),
              &length);
  port_ = ntohs(address.sin_port);
  delay_timer_.reset(evtimer_new(
      base_,
      [](evutil_socket_t, short, void* self) { static_cast<PeerLinks*>(self)->SendDueFrames(); },
      this));
  cleanup_timer_.reset(evtimer_new(
      base_,
      [](evutil_socket_t, short, void* self) {
        static_cast<PeerLinks*>(self)->closed_links_.clear();
      },
      this));
}

PeerLinks::~PeerLinks() = default;

MonoTime PeerLinks::Now() const {
  return std::chrono::time_point_cast<Duration>(MonoTime(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())));
}

void PeerLinks::SetPeerAddress(const struct SetPeerAddress& action) {
  Peer& peer = peers_[action.peer];
  if (peer.address == action.address && peer.port == action.port) {
    return;
  }
  CloseAndDestroyLater(std::move(peer.link));
  if (action.address.empty()) {
    peers_.erase(action.peer);
    return;
  }
  peer.address = action.address;
  peer.port = action.port;
  peer.reconnect_after = MonoTime();
}

void PeerLinks::ReplaceConnection(const ReplacePeerConnection& action) {
  const auto peer = peers_.find(action.peer);
  if (peer == peers_.end() || peer->second.link == nullptr) {
    return;
  }
  if (peer->second.link->connected()) {
    ++traffic_.replaced;
    LogInfo(LogPart::kPeers, "event=peer-connection-replaced peer=" + action.peer.value +
                                 " silent_ms=" + std::to_string(action.silent / 1ms));
  }
  CloseAndDestroyLater(std::move(peer->second.link));
  peer->second.reconnect_after = MonoTime();
}

void PeerLinks::SendMessage(const SendPeerMessage& action) {
  std::string frame = EncodeFrame(ToEnvelope(action.message, std::string(), &row_packer_));
  if (settings_.added_delay == Duration(0)) {
    SendFrame(action.to, frame);
    return;
  }
  delayed_frames_.push_back({Now() + settings_.added_delay, action.to, std::move(frame)});
  if (delayed_frames_.size() == 1) {
    ScheduleDelayedSend();
  }
}

void PeerLinks::SendOperatorReply(const OperatorReply& reply) {
  const auto pending = pending_replies_.find(reply.id);
  if (pending == pending_replies_.end()) {
    return;  // The operator has disconnected.
  }
  OperatorReply out = reply;
  out.id = pending->second.client_id;
  pending->second.link->Send(EncodeFrame(ToEnvelope(out, std::string())));
  pending_replies_.erase(pending);
}

void PeerLinks::AddInboundLink(evutil_socket_t socket) {
  auto owned = std::make_unique<FrameLink>(base_, socket);
  FrameLink* link = owned.get();
  link->envelope_received().connect(
      [this, link](const wire::Envelope& envelope) { OnEnvelopeReceived(link, envelope); });
  link->closed().connect([this, link] { CloseInboundLink(link); });
  inbound_links_[link] = {std::move(owned), ++accepted_links_, {}};
}

bool PeerLinks::AcceptsKey(const std::string& key) const {
  const bool is_other_key =
      !settings_.accepted_key.empty() && EqualsInConstantTime(key, settings_.accepted_key);
  return EqualsInConstantTime(key, settings_.key) || is_other_key;
}

void PeerLinks::OnEnvelopeReceived(FrameLink* link, const wire::Envelope& envelope) {
  if (!link->authenticated()) {
    if (!AcceptsKey(envelope.key)) {
      // The sender is not logged: anybody can send such bytes.
      RejectLink(link, "unknown", "wrong key");
      return;
    }
    link->set_authenticated();
  }
  if (IsKeyOnly(envelope)) {
    return;
  }
  ReceivedMessage received;
  try {
    received = FromEnvelope(envelope);
  } catch (const FrameError& error) {
    RejectLink(link, envelope.sender, error.what());
    return;
  }
  if (const auto* message = std::get_if<PeerMessage>(&received)) {
    ++traffic_.messages_received;
    CloseReplacedLinks(link, message->from);
    message_received_.emit(*message);
  } else if (auto* request = std::get_if<OperatorRequest>(&received)) {
    const uint64_t id = next_request_id_++;
    pending_replies_[id] = {link, request->id};
    request->id = id;
    operator_request_received_.emit(*request);
  }
}

void PeerLinks::RejectLink(FrameLink* link, const std::string& sender, const std::string& fault) {
  ++traffic_.rejected;
  const MonoTime now = Now();
  if (now >= next_rejection_log_) {
    next_rejection_log_ = now + kRejectionLogInterval;
    LogWarning(LogPart::kPeers, "event=peer-refused sender=" + sender + " fault='" + fault +
                                    "' refused=" + std::to_string(traffic_.rejected));
  }
  CloseInboundLink(link);
}

void PeerLinks::CloseReplacedLinks(FrameLink* link, const GatewayId& peer) {
  InboundLink& inbound = inbound_links_.at(link);
  if (inbound.peer == peer) {
    return;
  }
  inbound.peer = peer;
  std::vector<FrameLink*> replaced;
  for (const auto& [other, known] : inbound_links_) {
    if (known.peer == peer && known.number < inbound.number) {
      replaced.push_back(other);
    }
  }
  for (FrameLink* other : replaced) {
    CloseInboundLink(other);
  }
}

void PeerLinks::CloseInboundLink(FrameLink* link) {
  const auto owned = inbound_links_.find(link);
  if (owned == inbound_links_.end()) {
    return;
  }
  traffic_.bytes_received += link->bytes_received();
  std::erase_if(pending_replies_, [link](const auto& item) { return item.second.link == link; });
  CloseAndDestroyLater(std::move(owned->second.link));
  inbound_links_.erase(owned);
}

void PeerLinks::OnOutboundLinkClosed(const GatewayId& id) {
  const auto peer = peers_.find(id);
  if (peer == peers_.end()) {
    return;
  }
  peer->second.reconnect_after = Now() + kReconnectDelay;
  CloseAndDestroyLater(std::move(peer->second.link));
}

void PeerLinks::CloseAndDestroyLater(std::unique_ptr<FrameLink> link) {
  if (link == nullptr) {
    return;
  }
  link->Close();
  closed_links_.push_back(std::move(link));
  const timeval at_once{};
  evtimer_add(cleanup_timer_.get(), &at_once);
}

FrameLink* PeerLinks::FindOrOpenLink(const GatewayId& id, Peer* peer) {
  if (peer->link != nullptr) {
    return peer->link.get();
  }
  if (Now() < peer->reconnect_after) {
    return nullptr;
  }
  try {
    peer->link = std::make_unique<FrameLink>(base_, peer->address, peer->port);
  } catch (const std::runtime_error&) {
    // The peer announced a malformed address; its next heartbeat may correct it.
    return nullptr;
  }
  peer->link->closed().connect([this, id] { OnOutboundLinkClosed(id); });
  // The key is sent only once, as the first envelope of the connection: repeating it in each
  // message took a sixth of the bytes that idle gateways exchange.
  wire::Envelope key_envelope;
  key_envelope.key = settings_.key;
  const std::string frame = EncodeFrame(key_envelope);
  traffic_.bytes_sent += frame.size();
  peer->link->Send(frame);
  return peer->link.get();
}

void PeerLinks::SendFrame(const GatewayId& to, const std::string& frame) {
  const auto peer = peers_.find(to);
  FrameLink* link = peer == peers_.end() ? nullptr : FindOrOpenLink(to, &peer->second);
  if (link == nullptr || !link->Send(frame)) {
    ++traffic_.dropped;
    return;
  }
  ++traffic_.messages_sent;
  traffic_.bytes_sent += frame.size();
}

void PeerLinks::SendDueFrames() {
  const MonoTime now = Now();
  while (!delayed_frames_.empty() && delayed_frames_.front().due <= now) {
    SendFrame(delayed_frames_.front().to, delayed_frames_.front().frame);
    delayed_frames_.pop_front();
  }
  ScheduleDelayedSend();
}

void PeerLinks::ScheduleDelayedSend() {
  if (delayed_frames_.empty()) {
    return;
  }
  const timeval wait = ToTimeval(std::max(Duration(0), delayed_frames_.front().due - Now()));
  evtimer_add(delay_timer_.get(), &wait);
}

PeerLinks::Traffic PeerLinks::traffic() const {
  Traffic out = traffic_;
  for (const auto& [link, inbound] : inbound_links_) {
    out.bytes_received += link->bytes_received();
  }
  return out;
}

}  // namespace jd
