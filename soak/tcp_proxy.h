#pragma once

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>

#include "standin/standin_loop.h"

namespace jd {

/// Faults that a proxy applies to the connections through it.
enum class LinkFault : uint8_t {
  kNone,
  kDelay,   ///< Bytes are forwarded after a delay.
  kReset,   ///< Open connections are reset, and new ones as soon as they are accepted.
  kSilent,  ///< Bytes are dropped. A connection that lost a byte never carries data again.
  kOneWay,  ///< As kSilent, but only for bytes towards the client.
};

/// Listens on a loopback port, forwards TCP connections to another loopback port and injects
/// faults.
class TcpProxy {
 public:
  /// @param target port to which connections are forwarded.
  /// @throws std::runtime_error if no port is free.
  TcpProxy(event_base* base, uint16_t target);
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  uint16_t port() const { return port_; }
  /// Replaces the current fault.
  /// @param delay delay of each byte under LinkFault::kDelay.
  void SetFault(LinkFault fault, Duration delay = Duration(0));
  /// Drops all further bytes of the open connections, which stay open. New connections work.
  void SilenceOpenConnections();

 private:
  struct BufferDeleter {
    void operator()(bufferevent* buffer) const { bufferevent_free(buffer); }
  };
  struct ListenerDeleter {
    void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
  };
  using BufferPtr = std::unique_ptr<bufferevent, BufferDeleter>;

  /// Bytes to forward at a given time.
  struct Chunk {
    MonoTime due;
    std::string bytes;
  };
  struct Connection {
    TcpProxy* proxy = nullptr;
    BufferPtr client;
    BufferPtr server;
    std::deque<Chunk> to_client;
    std::deque<Chunk> to_server;
    bool dead = false;    ///< Forwards nothing: a byte was dropped or the connection was reset.
    bool closed = false;  ///< One side has ended; Flush frees the connection.
  };

  void Accept(evutil_socket_t fd);
  static void OnRead(bufferevent* from, void* connection);
  static void OnEvent(bufferevent* from, short what, void* connection);
  /// Returns whether the current fault drops bytes in one direction.
  bool DropsBytes(bool to_client) const;
  /// Timer callback: forwards delayed bytes and frees ended connections.
  void Flush();
  /// Writes the chunks that are due.
  static void WriteDueChunks(MonoTime now, std::deque<Chunk>* chunks, bufferevent* to);
  static void Reset(Connection* connection);

  event_base* base_;
  uint16_t target_;
  uint16_t port_ = 0;
  LinkFault fault_ = LinkFault::kNone;
  Duration delay_{0};
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
  std::list<Connection> connections_;
  StandinTimer timer_;
};

}  // namespace jd
