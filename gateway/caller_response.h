#pragma once

#include <event2/buffer.h>
#include <nlohmann/json.hpp>

#include "common/now.h"
#include "net/http_message.h"
#include "net/http_request_reader.h"

namespace jd {

/// Writes a response to a caller.
/// @param out receives the bytes. @param request the request that is answered.
/// @param response its headers must not contain hop-by-hop headers; its body is moved out.
/// @param closes whether the connection is closed after the response.
/// @param now the time for the header Date, which is added if the response has none.
void WriteResponse(evbuffer* out,
                   const HttpRequest& request,
                   const HttpResponse& response,
                   bool closes,
                   WallTime now);

/// Sets the body of a response to a JSON value and adds the Content-Type header.
void SetJsonBody(HttpResponse* response, const nlohmann::json& value);

/// Returns the memory that a response takes while it waits.
size_t MemoryBytes(const HttpResponse& response);

}  // namespace jd
