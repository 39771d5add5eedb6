#pragma once

#include <optional>
#include <string>

#include "common/units.h"
#include "net/http_message.h"

namespace jd {

/// The header `Retry-After` of a response.
struct RetryAfterHeader {
  std::optional<Duration> time;  ///< Absent: the response has no such header, or not a usable one.
  std::string unreadable;        ///< The header for the log, if it is malformed; otherwise empty.
};

/// Parses the header `Retry-After` of an upstream: seconds from 0 on, whole or decimal. Any other
/// value, such as a date, and a header repeated with another value are malformed.
RetryAfterHeader ParseRetryAfter(const HttpHeaders& headers);

}  // namespace jd
