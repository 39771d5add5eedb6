#pragma once

#include <string>

namespace jd {

/// The part of the gateway that writes a log line; its name is the line's prefix.
enum class LogPart { kGateway, kPeers, kSlots, kConfig, kZones, kCalls };

/// Sends log lines to standard output.
/// @param level least severe level that is logged: "debug", "info", "warn" or "error".
void SetUpLog(const std::string& level);

void LogDebug(LogPart part, const std::string& text);
void LogInfo(LogPart part, const std::string& text);
void LogWarning(LogPart part, const std::string& text);

}  // namespace jd
