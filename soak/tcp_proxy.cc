#include "soak/tcp_proxy.h"

#include <event2/buffer.h>
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>

#include "standin/loopback.h"

namespace jd {
namespace {

// Interval at which delayed bytes are forwarded and ended connections are freed.
constexpr Duration kTickInterval = 2ms;

// Makes the close of a socket send a reset instead of an orderly shutdown.
void ResetSocket(bufferevent* buffer) {
  const linger now = {1, 0};
  setsockopt(bufferevent_getfd(buffer), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

}  // namespace

TcpProxy::TcpProxy(event_base* base, uint16_t target)
    : base_(base), target_(target), timer_(base, [this] { Flush(); }) {
  sockaddr_in address = Loopback(0);
  listener_.reset(evconnlistener_new_bind(
      base,
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* proxy) {
        static_cast<TcpProxy*>(proxy)->Accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, -1,
      reinterpret_cast<sockaddr*>(&address), sizeof(address)));
  if (listener_ == nullptr) {
    throw std::runtime_error("no port is free");
  }
  socklen_t size = sizeof(address);
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  timer_.Arm(kTickInterval);
}

void TcpProxy::SetFault(LinkFault fault, Duration delay) {
  fault_ = fault;
  delay_ = delay;
  if (fault == LinkFault::kReset) {
    for (Connection& connection : connections_) {
      Reset(&connection);
    }
  }
}

void TcpProxy::SilenceOpenConnections() {
  for (Connection& connection : connections_) {
    connection.dead = true;
  }
}

void TcpProxy::Accept(evutil_socket_t fd) {
  Connection& connection = connections_.emplace_back();
  connection.proxy = this;
  connection.client.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
  connection.server.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
  sockaddr_in address = Loopback(target_);
  if (fault_ == LinkFault::kReset) {
    ResetSocket(connection.client.get());
    connection.closed = true;
    return;
  }
  for (bufferevent* buffer : {connection.client.get(), connection.server.get()}) {
    bufferevent_setcb(buffer, &OnRead, nullptr, &OnEvent, &connection);
    bufferevent_enable(buffer, EV_READ | EV_WRITE);
  }
  if (bufferevent_socket_connect(connection.server.get(), reinterpret_cast<sockaddr*>(&address),
                                 sizeof(address)) != 0) {
    connection.closed = true;
  }
}

bool TcpProxy::DropsBytes(bool to_client) const {
  return fault_ == LinkFault::kSilent || (fault_ == LinkFault::kOneWay && to_client);
}

void TcpProxy::OnRead(bufferevent* from, void* context) {
  auto* connection = static_cast<Connection*>(context);
  TcpProxy* proxy = connection->proxy;
  evbuffer* input = bufferevent_get_input(from);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  const bool to_client = from == connection->server.get();
  connection->dead = connection->dead || proxy->DropsBytes(to_client);
  if (connection->dead) {
    return;
  }
  std::deque<Chunk>& chunks = to_client ? connection->to_client : connection->to_server;
  const MonoTime now = ReadStandinClocks().mono;
  const MonoTime due = now + (proxy->fault_ == LinkFault::kDelay ? proxy->delay_ : Duration(0));
  // If the delay became shorter, these bytes must still not overtake earlier ones.
  chunks.push_back({chunks.empty() ? due : std::max(due, chunks.back().due), std::move(bytes)});
  WriteDueChunks(now, &chunks, to_client ? connection->client.get() : connection->server.get());
}

void TcpProxy::OnEvent(bufferevent* from, short what, void* context) {
  auto* connection = static_cast<Connection*>(context);
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
    return;
  }
  if ((what & BEV_EVENT_ERROR) != 0) {
    ResetSocket(from == connection->client.get() ? connection->server.get()
                                                 : connection->client.get());
  }
  // On a connection that drops bytes, the client does not see that the server closed it.
  connection->closed = !connection->dead || from == connection->client.get();
  bufferevent_disable(from, EV_READ | EV_WRITE);
}

void TcpProxy::Flush() {
  const MonoTime now = ReadStandinClocks().mono;
  for (Connection& connection : connections_) {
    if (!connection.dead) {
      WriteDueChunks(now, &connection.to_client, connection.client.get());
      WriteDueChunks(now, &connection.to_server, connection.server.get());
    }
  }
  std::erase_if(connections_, [](const Connection& connection) {
    const bool unsent = !connection.dead &&
                        (!connection.to_client.empty() ||
                         evbuffer_get_length(bufferevent_get_output(connection.client.get())) > 0);
    return connection.closed && !unsent;
  });
  timer_.Arm(kTickInterval);
}

void TcpProxy::WriteDueChunks(MonoTime now, std::deque<Chunk>* chunks, bufferevent* to) {
  while (!chunks->empty() && chunks->front().due <= now) {
    bufferevent_write(to, chunks->front().bytes.data(), chunks->front().bytes.size());
    chunks->pop_front();
  }
}

void TcpProxy::Reset(Connection* connection) {
  ResetSocket(connection->client.get());
  ResetSocket(connection->server.get());
  connection->dead = true;
  connection->closed = true;
}

}  // namespace jd
