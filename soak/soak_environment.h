#pragma once

#include <cstdint>
#include <string>

#include "common/units.h"

namespace jd {

inline constexpr char kSoakHost[] = "soak.example";
inline constexpr char kReadPrefix[] = "/read/";
inline constexpr char kWritePrefix[] = "/write/";
inline constexpr Duration kRouteTimeout = 1200ms;

/// Returns the prefix of the route that exists only in one configuration version.
inline std::string VersionRoutePrefix(uint64_t version) {
  return "/version" + std::to_string(version) + "/";
}

/// Returns the operators' configuration, as a row value of the platform's store.
std::string MakeSoakConfiguration(uint64_t version);

/// Returns the row value of an endpoint in the platform's store.
/// @param leaving whether the row says that the endpoint drains.
/// @param sequence sequence number of the row, so that each renewal differs.
std::string MakeSoakEndpointRow(const std::string& zone,
                                uint16_t port,
                                bool leaving,
                                uint64_t sequence);

/// Returns a row value that another writer may leave among the endpoints and that names none of
/// them: fields of another type or out of range, nested deeply, cut short, or no text.
/// @param pick selects the kind of row.
std::string MakeOddRow(uint64_t pick);

/// Returns a loopback port that is free now and was not returned before.
/// @throws std::runtime_error if no port is left.
uint16_t NextFreePort();

}  // namespace jd
