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

/// Opens a port for HTTP requests.
/// @param bound receives the port, which the system chooses if the settings say 0.
/// @throws std::runtime_error if the port cannot be opened.
HttpServerPtr NewHttpServer(EventLoop* loop, const ListenAddress& address, uint16_t* bound);

/// Appends a JSON body and its content type.
void AddJson(evkeyvalq* headers, evbuffer* body, const nlohmann::json& value);

/// Returns the name of a method, for example "GET".
std::string MethodName(evhttp_cmd_type method);

/// Returns the text of the status line for the statuses that evhttp does not name itself, else
/// null.
const char* ReasonPhrase(int status);

}  // namespace jd
