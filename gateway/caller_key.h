#pragma once

#include <event2/http.h>

#include <optional>
#include <string>

namespace jd {

/// Returns the key that a caller presents as `Authorization: Bearer KEY`.
/// @return nothing if the header is absent; an empty string, which no workspace has as a key, if
/// the header is repeated or malformed.
std::optional<std::string> ParseCallerKey(const evkeyvalq* headers);

}  // namespace jd
