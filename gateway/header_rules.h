#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "common/units.h"
#include "net/http_message.h"

namespace jd {

/// Returns a copy of the end-to-end headers. Omits hop-by-hop headers, headers that are named in
/// Connection, and Content-Length, which is set from the body.
HttpHeaders EndToEndHeaders(const HttpHeaders& headers);

/// Checks the framing and the target of a request. To prevent request smuggling, requests that two
/// servers could parse differently are invalid.
/// @return an error message for the caller, or an empty string if the request is valid.
std::string FindRequestError(const HttpHeaders& headers, std::string_view target);

/// Returns whether the headers of a request announce a body that is not empty.
/// @param headers must have passed FindRequestError.
bool AnnouncesBody(const HttpHeaders& headers);

/// Parses the value of the header `x-deadline-ms`.
/// @return nothing unless the text is a whole number of milliseconds from 0 to one day.
std::optional<Duration> ParseDeadline(std::string_view text);

}  // namespace jd
