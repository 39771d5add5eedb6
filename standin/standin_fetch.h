#pragma once

#include <event2/http.h>

#include <functional>
#include <optional>
#include <string>

#include "standin/standin_http.h"

namespace jd {

/// Called with the body of a 200 answer, or nothing.
using FetchDone = std::function<void(const std::optional<std::string>&)>;

/// Sends one request on its own connection. The connection is freed after `done` has run.
/// @param method "GET", "POST" or "PUT".
void FetchOnce(event_base* base,
               const HostPort& target,
               const std::string& path,
               FetchDone done,
               const std::string& method = "GET",
               const std::string& body = "");

}  // namespace jd
