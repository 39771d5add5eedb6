#pragma once

#include <cstdint>
#include <string>

#include "common/units.h"

namespace jd {

inline constexpr char kHost[] = "soak.example";
inline constexpr char kReadPrefix[] = "/read/";
inline constexpr char kWritePrefix[] = "/write/";
inline constexpr Duration kRouteTimeout = 1200ms;

/// Prefix of the route that only one version of the configuration has.
inline std::string VersionPrefix(uint64_t version) {
  return "/version" + std::to_string(version) + "/";
}

/// The operators' configuration as the platform's store holds it.
std::string SoakConfiguration(uint64_t version);

/// An endpoint's row as the platform's store holds it.
std::string SoakEndpointRow(const std::string& zone, uint16_t port, bool leaving, uint64_t beat);

/// Returns a port that is free now. Throws std::runtime_error.
uint16_t FreePort();

}  // namespace jd
