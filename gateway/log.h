#pragma once

#include <string>

#include "common/event_ring.h"

namespace jd {

/// The part of the gateway that a log line is about; its name is printed as the line's prefix.
enum class LogPart { kGateway, kPeers, kSlots, kConfig, kZones, kCalls, kEndpoints };

/// Directs log lines to standard output. Logging never blocks the process: if the reader of
/// standard output falls too far behind, lines are dropped and counted. Lines about calls are also
/// dropped and counted above a fixed number per second.
/// @param level lowest severity that is logged: "debug", "info", "warn" or "error".
void SetUpLog(const std::string& level);

void LogDebug(LogPart part, const std::string& text);
void LogInfo(LogPart part, const std::string& text);
void LogWarning(LogPart part, const std::string& text);
/// Logs an event of the timeline as a line of name=value pairs, at level "info".
void LogEvent(const Event& event);

}  // namespace jd
