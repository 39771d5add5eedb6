#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <string>

#include "net/libevent_ptr.h"
#include "rpc/frame.h"

namespace jd {

/// One TCP connection that carries frames in both directions.
class FrameLink {
 public:
  /// Takes over an accepted socket.
  FrameLink(event_base* base, evutil_socket_t socket);
  /// Opens a connection; frames sent before it is established are queued.
  /// @throws std::runtime_error if the address is not an IP number.
  FrameLink(event_base* base, const std::string& address, uint16_t port);
  FrameLink(const FrameLink&) = delete;
  FrameLink& operator=(const FrameLink&) = delete;

  sigc::signal<void(const wire::Envelope&)>& envelope_received() { return envelope_received_; }
  /// Emitted once, when the other side closes, the connection fails, or a frame is malformed. A
  /// handler must not destroy the link; it destroys it after the event loop's current turn.
  sigc::signal<void()>& closed() { return closed_; }

  /// Queues a frame. @return false if too many bytes already wait; the frame is then dropped.
  bool Send(const std::string& frame);

  /// Stops both directions; no signal is emitted any more.
  void Close();

  /// The other side has shown the shared key on this connection.
  bool authenticated() const { return authenticated_; }
  void set_authenticated() { authenticated_ = true; }
  /// The connection has been established at some time.
  bool connected() const { return connected_; }
  uint64_t bytes_received() const { return bytes_received_; }

 private:
  // A peer that does not read must not make this process grow.
  static constexpr size_t kMaxQueuedBytes = 4 * 1024 * 1024;

  void Enable(evutil_socket_t socket);
  void OnRead();
  void Fail();
  static void HandleRead(bufferevent*, void* self);
  static void HandleEvent(bufferevent*, short what, void* self);

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
