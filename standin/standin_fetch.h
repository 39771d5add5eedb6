#pragma once

#include <event2/http.h>

#include <functional>
#include <optional>
#include <string>

#include "standin/standin_http.h"

namespace jd {

/// Receives the body of a response with status 200, or nothing on any other status or a failure.
using FetchCallback = std::function<void(const std::optional<std::string>&)>;

/// Sends one HTTP request on a new connection. The connection is freed after `done` has run. The
/// timeout is 30 s.
/// @param method "GET", "POST" or "PUT".
void FetchOnce(event_base* base,
               const HostPort& target,
               const std::string& path,
               FetchCallback done,
               const std::string& method = "GET",
               const std::string& body = "");

}  // namespace jd
