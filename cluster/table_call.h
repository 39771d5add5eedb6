#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/table.h"
#include "common/units.h"

namespace jd {

/// A request of a component to the platform's table. The component must get exactly one reply with
/// the same token; if the call timed out, the status of the reply is TableStatus::kUnknown.
struct TableCall {
  uint64_t token = 0;  ///< Chosen by the component, unique within it.
  TableRequest request;
  Duration timeout{0};
};
using TableCalls = std::vector<TableCall>;

inline constexpr const char* kHeadKey = "config/head";
inline constexpr const char* kSnapshotKey = "config/snapshot";
inline constexpr const char* kLogPrefix = "config/log/";
inline constexpr const char* kClaimPrefix = "claim/";
/// Number of versions between two snapshots of the configuration.
inline constexpr uint64_t kSnapshotInterval = 64;

/// Returns the key of the log row of a version. The version is zero-padded, so that the keys sort
/// in version order.
std::string LogKey(ConfigVersion version);
/// Returns the version in the key of a log row, or 0 if the key is malformed.
ConfigVersion VersionOfLogKey(const std::string& key);
/// Returns the value of the head row, which holds the newest version in the log.
std::string HeadValue(ConfigVersion version);
/// Returns the version in the value of the head row, or 0 if the value is malformed.
ConfigVersion VersionOfHead(const std::string& value);

}  // namespace jd
