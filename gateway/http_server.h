#pragma once

#include <event2/http.h>

#include <cstdint>

#include "gateway/settings.h"
#include "net/event_loop.h"
#include "net/libevent_ptr.h"

namespace jd {

using HttpServerPtr = LibeventPtr<evhttp>;

/// Creates an HTTP server and opens its port.
/// @param bound_port receives the port, which the system chooses if `address` has port 0.
/// @throws ListenError if the port cannot be opened.
HttpServerPtr NewHttpServer(EventLoop* loop, const ListenAddress& address, uint16_t* bound_port);

}  // namespace jd
