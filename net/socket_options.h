#pragma once

#include <event2/util.h>

#include <chrono>

namespace jd {

/// Sends each write at once. Nagle's algorithm would delay the second segment of a message by up to
/// 40 ms.
void DisableNagle(evutil_socket_t socket);

/// Lets the kernel fail a connection whose other side has become silent. A connection counts as
/// silent if `idle` passes without traffic and then two keep-alive probes, `idle` apart, are not
/// acknowledged, or if data is not acknowledged for twice `idle`.
void EnableTcpKeepAlive(evutil_socket_t socket, std::chrono::seconds idle);

}  // namespace jd
