#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// State of an endpoint: warming up after a start, fully available, or about to stop.
enum class EndpointState : uint8_t { kCold, kWarm, kDraining };

/// The limit that an upstream names in a response: the calls per second that it accepts from all
/// gateways together, until a later response names another limit or none.
struct NamedLimit {
  std::optional<CallRate> rate;  ///< Absent: the upstream names no limit.
  bool readable = true;          ///< False: the limit is malformed, so the known one stays.
  bool operator==(const NamedLimit&) const = default;
};

/// The load and state that an upstream reports about itself in the headers of responses, including
/// those of its health check path.
struct LoadReport {
  /// Value of `slowdown_percent` if the upstream runs at its usual speed.
  static constexpr int32_t kNormalSlowdownPercent = 100;

  int32_t in_flight = 0;
  int32_t slots = 0;
  EndpointState state = EndpointState::kWarm;
  InstanceId instance;  ///< Identifies one run of the upstream; empty if not reported.
  int32_t waiting = 0;  ///< Calls in the queue of the upstream.
  /// Current service time in percent of the usual service time.
  int32_t slowdown_percent = kNormalSlowdownPercent;
  Duration cold_remaining{0};  ///< Remaining time until the upstream is warm, if reported.
  NamedLimit limit = {};
  bool operator==(const LoadReport&) const = default;
};

/// Parses the `x-load` header, "in-flight=N;slots=N;state=cold|warm|draining".
/// @param text header value. @param instance value of the `x-instance-id` header; may be empty.
/// @return nothing if `in-flight` is missing or a field is malformed.
std::optional<LoadReport> ParseLoadReport(const std::string& text, InstanceId instance);

/// Returns the report formatted as the value of the `x-load` header.
std::string FormatLoadReport(const LoadReport& report);

}  // namespace jd
