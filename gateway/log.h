#pragma once

#include <string>

#include "common/event_ring.h"

namespace jd {

/// The part of the gateway that writes a log line; its name is the line's prefix.
enum class LogPart { kGateway, kPeers, kSlots, kConfig, kZones, kCalls, kEndpoints };

/// Sends log lines to standard output. Nothing ever waits for their reader: lines that it does not
/// take in time are dropped and counted, as are lines about calls above a number per second.
/// @param level least severe level that is logged: "debug", "info", "warn" or "error".
void SetUpLog(const std::string& level);

void LogDebug(LogPart part, const std::string& text);
void LogInfo(LogPart part, const std::string& text);
void LogWarning(LogPart part, const std::string& text);
/// Writes one decision as a line of name=value pairs.
void LogEvent(const Event& event);

}  // namespace jd
