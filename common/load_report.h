#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

enum class EndpointState : uint8_t { kCold, kWarm, kDraining };

/// What an upstream says about itself in a response header or on its health page.
struct LoadReport {
  static constexpr int32_t kUsualSpeed = 100;

  int32_t in_flight = 0;
  int32_t slots = 0;
  EndpointState state = EndpointState::kWarm;
  InstanceId instance;
  int32_t waiting = 0;                     ///< Calls in the upstream's own queue.
  int32_t slowdown_percent = kUsualSpeed;  ///< Time that work takes now; 100 is usual.
  Duration cold_for{0};  ///< How much longer the upstream stays cold, if it says so.
  bool operator==(const LoadReport&) const = default;
};

/// Parses the `x-load` header, "in-flight=N;slots=N;state=cold|warm|draining".
/// @param text header value. @param instance value of `x-instance-id`, may be empty.
/// @return nothing if a field is missing or malformed.
std::optional<LoadReport> ParseLoadReport(const std::string& text, InstanceId instance);

/// Returns the `x-load` header value of a report.
std::string FormatLoadReport(const LoadReport& report);

}  // namespace jd
