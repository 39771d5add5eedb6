#include "gateway/http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <vector>

#include "net/listen_error.h"

namespace jd {
namespace {

std::vector<evhttp_bound_socket*> BoundSockets(evhttp* server) {
  std::vector<evhttp_bound_socket*> sockets;
  evhttp_foreach_bound_socket(
      server,
      [](evhttp_bound_socket* socket, void* out) {
        static_cast<std::vector<evhttp_bound_socket*>*>(out)->push_back(socket);
      },
      &sockets);
  return sockets;
}

}  // namespace

bool HasPendingConnections(evhttp* server) {
  const std::vector<evhttp_bound_socket*> sockets = BoundSockets(server);
  return std::any_of(sockets.begin(), sockets.end(), [](evhttp_bound_socket* socket) {
    pollfd poll_fd{evhttp_bound_socket_get_fd(socket), POLLIN, 0};
    return poll(&poll_fd, 1, 0) > 0;
  });
}

void StopListening(evhttp* server) {
  for (evhttp_bound_socket* socket : BoundSockets(server)) {
    evhttp_del_accept_socket(server, socket);
  }
}

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

void AddJsonBody(evkeyvalq* headers, evbuffer* body, const nlohmann::json& value) {
  const std::string text =
      value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  evhttp_add_header(headers, "Content-Type", "application/json");
  evbuffer_add(body, text.data(), text.size());
}

const char* ReasonPhrase(int status) {
  switch (status) {
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    default:
      return nullptr;
  }
}

}  // namespace jd
