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

/// What a proxy does to the bytes that pass it.
enum class LinkFault : uint8_t {
  kNone,
  kDelay,   ///< Bytes arrive late.
  kReset,   ///< Open connections are reset, and new ones at once.
  kSilent,  ///< No byte passes; a connection that lost one never works again.
  kOneWay,  ///< The same, only for bytes towards the one that connected.
};

/// Forwards TCP connections from a port of its own to another port on loopback, with faults.
class TcpProxy {
 public:
  /// Throws std::runtime_error if no port is free.
  TcpProxy(event_base* base, uint16_t target);
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  uint16_t port() const { return port_; }
  void SetFault(LinkFault fault, Duration delay = Duration(0));
  /// Open connections stay open and never carry another byte; new ones work.
  void SilenceOpenConnections();

 private:
  struct BufferDeleter {
    void operator()(bufferevent* buffer) const { bufferevent_free(buffer); }
  };
  struct ListenerDeleter {
    void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
  };
  using BufferPtr = std::unique_ptr<bufferevent, BufferDeleter>;

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
    bool dead = false;    ///< Lost a byte, so nothing may follow.
    bool closed = false;  ///< One end is gone; the rest is freed by Flush.
  };

  void Accept(evutil_socket_t fd);
  static void OnRead(bufferevent* from, void* connection);
  static void OnEvent(bufferevent* from, short what, void* connection);
  bool Loses(bool to_client) const;
  void Flush();
  static void FlushTo(MonoTime now, std::deque<Chunk>* chunks, bufferevent* to);
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
