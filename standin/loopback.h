#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>

namespace jd {

/// Returns the socket address of a port on 127.0.0.1. With port 0, the system chooses a port.
inline sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

}  // namespace jd
