#pragma once

#include <optional>
#include <string>

#include "net/http_message.h"

namespace jd {

/// Returns the key that a caller presents as `Authorization: Bearer KEY`.
/// @return nothing if the header is absent; an empty string, which no workspace has as a key, if
/// the header is repeated or malformed.
std::optional<std::string> ParseCallerKey(const HttpHeaders& headers);

}  // namespace jd
