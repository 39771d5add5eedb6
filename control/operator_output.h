#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace jd {

/// Formats the answer to a command for printing.
/// @param command name of the command as it was sent to the gateway.
/// @param answer the reply's body; for `status` and `timeline`, an array with the reply of each
/// gateway.
/// @param format "text", "json" or "trace"; "trace" differs from "text" for `timeline` only.
std::string FormatAnswer(const std::string& command,
                         const nlohmann::json& answer,
                         const std::string& format);

/// Merges the event lists of several gateways into one, ordered by hybrid timestamp, then by
/// gateway.
/// @param answers the replies of the gateways to `timeline`.
nlohmann::json MergeTimelines(const nlohmann::json& answers);

}  // namespace jd
