#pragma once

#include <event2/http.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "gateway/settings.h"
#include "net/event_loop.h"
#include "net/libevent_ptr.h"

namespace jd {

using HttpServerPtr = LibeventPtr<evhttp>;

/// Creates an HTTP server and opens its port.
/// @param bound_port receives the port, which the system chooses if `address` has port 0.
/// @throws ListenError if the port cannot be opened.
HttpServerPtr NewHttpServer(EventLoop* loop, const ListenAddress& address, uint16_t* bound_port);

/// Returns whether connections wait to be accepted.
bool HasPendingConnections(evhttp* server);

/// Closes the port of a server. Its open connections stay. A connection that still waits to be
/// accepted is reset.
void StopListening(evhttp* server);

/// Appends a JSON value to a body and adds the Content-Type header.
void AddJsonBody(evkeyvalq* headers, evbuffer* body, const nlohmann::json& value);

/// Returns the reason phrase of a status code for which evhttp has none, or null for other codes.
const char* ReasonPhrase(int status);

}  // namespace jd
