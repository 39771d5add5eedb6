#pragma once

#include <event2/util.h>
#include <list>

#include "net/event_loop.h"
#include "net/libevent_ptr.h"

namespace jd {

/// Closes TCP connections without resetting them: ends the sending direction, then discards what
/// the remote end still sends until it closes too. If a socket with unread bytes is closed at once,
/// the kernel resets the connection, and the remote end may lose an answer that it has not read
/// yet.
class LingeringCloser {
 public:
  /// Maximum time until a connection is closed regardless of the remote end.
  static constexpr Duration kMaxLinger = 500ms;

  explicit LingeringCloser(EventLoop* loop) : loop_(loop) {}
  LingeringCloser(const LingeringCloser&) = delete;
  LingeringCloser& operator=(const LingeringCloser&) = delete;

  /// Takes over a connection that its owner is about to close.
  /// @param socket stays open and owned by the caller; a duplicate of it is used.
  void Add(evutil_socket_t socket);
  /// Returns whether no connection is lingering.
  bool empty() const { return connections_.empty(); }

 private:
  struct Connection {
    Connection(LingeringCloser* closer, evutil_socket_t socket);

    LingeringCloser* closer;
    LibeventPtr<bufferevent> stream;
    Timer timeout;
    std::list<Connection>::iterator position;
  };

  static void OnReadable(bufferevent* stream, void* argument);
  static void OnEvent(bufferevent* stream, short what, void* argument);

  EventLoop* loop_;
  std::list<Connection> connections_;
};

}  // namespace jd
