#pragma once

#include <event2/http.h>

#include <optional>
#include <string>
#include <string_view>

#include "common/units.h"
#include "net/http_connection.h"

namespace jd {

/// Copies the headers that travel end to end: hop-by-hop headers, those named in Connection, and
/// Content-Length, which the HTTP library writes anew, stay behind.
HttpHeaders EndToEndHeaders(const evkeyvalq* headers);

/// Returns what is wrong with the framing or the target of a request, or an empty text. Requests
/// that two servers could read differently are refused, so that no request hides within another.
std::string FindRequestFault(const evkeyvalq* headers, std::string_view target);

/// Returns whether headers without faults announce a body that is not empty.
bool AnnouncesBody(const evkeyvalq* headers);

/// Parses `x-deadline-ms`. @return nothing unless the text is a whole number up to one day.
std::optional<Duration> ParseDeadline(std::string_view text);

/// Returns whether two header names are equal; case does not matter.
bool SameHeader(std::string_view a, std::string_view b);

}  // namespace jd
