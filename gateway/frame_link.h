#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <string>

#include "net/libevent_ptr.h"
#include "rpc/frame.h"

namespace jd {

/// A TCP connection between gateways, or between an operator and a gateway, that carries frames in
/// both directions.
class FrameLink {
 public:
  /// Takes ownership of an accepted socket.
  FrameLink(event_base* base, evutil_socket_t socket);
  /// Opens a connection; frames sent before it is established are queued.
  /// @throws std::runtime_error if the address is not an IPv4 address.
  FrameLink(event_base* base, const std::string& address, uint16_t port);
  FrameLink(const FrameLink&) = delete;
  FrameLink& operator=(const FrameLink&) = delete;

  sigc::signal<void(const wire::Envelope&)>& envelope_received() { return envelope_received_; }
  /// Emitted once, when the other side closes the connection, the connection fails or a received
  /// frame is malformed. The handler must not destroy the link itself: that is safe only after
  /// the current iteration of the event loop.
  sigc::signal<void()>& closed() { return closed_; }

  /// Queues a frame for sending.
  /// @return false if the link is closed or more than kMaxQueuedBytes are already queued; the frame
  /// is then dropped.
  bool Send(const std::string& frame);

  /// Stops reading and writing. No signal is emitted afterwards; the socket is closed when the link
  /// is destroyed.
  void Close();

  /// Returns whether the other side has sent the shared key on this connection.
  bool authenticated() const { return authenticated_; }
  void set_authenticated() { authenticated_ = true; }
  /// Returns whether the connection was ever established; stays true after it is closed.
  bool connected() const { return connected_; }
  uint64_t bytes_received() const { return bytes_received_; }

 private:
  // Bounds the memory that is taken by data for a peer that does not read.
  static constexpr size_t kMaxQueuedBytes = 4 * 1024 * 1024;

  void SetUpConnection(evutil_socket_t socket);
  void ReadFrames();
  void CloseAndNotify();
  static void ReadCallback(bufferevent*, void* self);
  static void EventCallback(bufferevent*, short what, void* self);

  LibeventPtr<bufferevent> connection_;
  FrameReader reader_;
  uint64_t bytes_received_ = 0;
  bool connected_ = false;
  bool is_closed_ = false;
  bool authenticated_ = false;
  sigc::signal<void(const wire::Envelope&)> envelope_received_;
  sigc::signal<void()> closed_;
};

}  // namespace jd
