#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/table.h"
#include "common/units.h"

namespace jd {

/// A request that a component makes of the platform's table. It must be answered exactly once with
/// the same token, with kUnknown if the time ran out.
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
inline constexpr uint64_t kSnapshotEvery = 64;

/// Returns the key of a log row; versions are padded so that key order is their order.
std::string LogKey(ConfigVersion version);
/// Returns the version of a log row's key, 0 if it is malformed.
ConfigVersion VersionOfLogKey(const std::string& key);
/// Encodes and decodes the value of the head row; a malformed value is 0.
std::string HeadValue(ConfigVersion version);
ConfigVersion VersionOfHead(const std::string& value);

}  // namespace jd
