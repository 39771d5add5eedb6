#include "net/tcp_listener.h"

#include <netdb.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <memory>
#include <utility>

#include "net/listen_error.h"

namespace jd {
namespace {

constexpr int kBacklog = 128;
constexpr unsigned kOptions = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;

using AddressList = std::unique_ptr<evutil_addrinfo, decltype(&evutil_freeaddrinfo)>;

AddressList Resolve(const std::string& address, uint16_t port) {
  evutil_addrinfo hints{};
  hints.ai_family = AF_UNSPEC;
  hints.ai_socktype = SOCK_STREAM;
  hints.ai_protocol = IPPROTO_TCP;
  hints.ai_flags = EVUTIL_AI_PASSIVE | EVUTIL_AI_ADDRCONFIG;
  evutil_addrinfo* found = nullptr;
  if (evutil_getaddrinfo(address.c_str(), std::to_string(port).c_str(), &hints, &found) != 0) {
    throw ListenError(address, port, EADDRNOTAVAIL);
  }
  return {found, &evutil_freeaddrinfo};
}

uint16_t BoundPort(evutil_socket_t socket) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  getsockname(socket, reinterpret_cast<sockaddr*>(&storage), &size);
  return ntohs(storage.ss_family == AF_INET6
                   ? reinterpret_cast<const sockaddr_in6*>(&storage)->sin6_port
                   : reinterpret_cast<const sockaddr_in*>(&storage)->sin_port);
}

}  // namespace

TcpListener::TcpListener(EventLoop* loop,
                         const std::string& address,
                         uint16_t port,
                         std::function<void(evutil_socket_t)> on_accept)
    : on_accept_(std::move(on_accept)) {
  const AddressList addresses = Resolve(address, port);
  errno = 0;
  listener_.reset(evconnlistener_new_bind(loop->base(), &OnAccept, this, kOptions, kBacklog,
                                          addresses->ai_addr,
                                          static_cast<int>(addresses->ai_addrlen)));
  if (listener_ == nullptr) {
    throw ListenError(address, port, errno);
  }
  port_ = BoundPort(evconnlistener_get_fd(listener_.get()));
}

bool TcpListener::HasPendingConnections() const {
  if (listener_ == nullptr) {
    return false;
  }
  pollfd descriptor{evconnlistener_get_fd(listener_.get()), POLLIN, 0};
  return poll(&descriptor, 1, 0) > 0;
}

void TcpListener::OnAccept(evconnlistener*,
                           evutil_socket_t socket,
                           sockaddr*,
                           int,
                           void* argument) {
  static_cast<TcpListener*>(argument)->on_accept_(socket);
}

}  // namespace jd
