#include "gateway/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <stdexcept>

#include "net/listen_error.h"

namespace jd {
HttpServerPtr NewHttpServer(EventLoop* loop, const ListenAddress& address, uint16_t* bound_port) {
  HttpServerPtr server(evhttp_new(loop->base()));
  if (server == nullptr) {
    throw std::runtime_error("cannot create the HTTP server for " + address.address + " port " +
                             std::to_string(address.port));
  }
  evhttp_bound_socket* socket =
      evhttp_bind_socket_with_handle(server.get(), address.address.c_str(), address.port);
  if (socket == nullptr) {
    throw ListenError(address.address, address.port, errno);
  }
  evhttp_set_default_content_type(server.get(), nullptr);
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&storage), &size);
  *bound_port = ntohs(storage.ss_family == AF_INET6
                          ? reinterpret_cast<const sockaddr_in6*>(&storage)->sin6_port
                          : reinterpret_cast<const sockaddr_in*>(&storage)->sin_port);
  return server;
}

}  // namespace jd
