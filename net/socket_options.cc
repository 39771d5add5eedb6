#include "net/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jd {
namespace {

constexpr int kKeepAliveProbes = 2;

void SetOption(evutil_socket_t socket, int level, int option, int value) {
  setsockopt(socket, level, option, &value, sizeof(value));
}

}  // namespace

void DisableNagle(evutil_socket_t socket) {
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
}

void EnableTcpKeepAlive(evutil_socket_t socket, std::chrono::seconds idle) {
  const int seconds = static_cast<int>(idle.count());
  const auto limit = std::chrono::milliseconds(idle * kKeepAliveProbes);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
}

}  // namespace jd
