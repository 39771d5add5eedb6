#pragma once

#include <event2/util.h>

#include <cstdint>
#include <functional>
#include <string>

#include "net/event_loop.h"
#include "net/libevent_ptr.h"

namespace jd {

/// Accepts TCP connections on a port.
class TcpListener {
 public:
  /// @param address IP address or host name. @param port 0: the system chooses a free port.
  /// @param on_accept takes over the socket of each accepted connection.
  /// @throws ListenError if the port cannot be opened.
  TcpListener(EventLoop* loop,
              const std::string& address,
              uint16_t port,
              std::function<void(evutil_socket_t)> on_accept);
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  uint16_t port() const { return port_; }
  /// Returns whether the port is open.
  bool listening() const { return listener_ != nullptr; }
  /// Returns whether connections wait to be accepted.
  bool HasPendingConnections() const;
  /// Closes the port. A connection that still waits to be accepted is reset.
  void Close() { listener_.reset(); }

 private:
  static void OnAccept(evconnlistener* listener,
                       evutil_socket_t socket,
                       sockaddr* address,
                       int address_size,
                       void* argument);

  std::function<void(evutil_socket_t)> on_accept_;
  LibeventPtr<evconnlistener> listener_;
  uint16_t port_ = 0;
};

}  // namespace jd
