#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "common/config_change.h"
#include "common/configuration.h"
#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// An accepted change of the configuration as recorded in the log in the platform's table.
struct ConfigEntry {
  ConfigVersion version;
  std::string change;  ///< JSON, see common/config_codec.h.
  std::string nonce;   ///< Unique for each change; identifies the change in the log.
  std::string author;
  WallTime written;
  bool operator==(const ConfigEntry&) const = default;
};

/// Thrown when an entry cannot be applied.
class ConfigException : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Returns the configuration that results from applying the entry.
/// @throws ConfigException if the entry does not directly follow the configuration's version, or
/// its change is not valid.
Configuration ApplyEntry(const Configuration& configuration, const ConfigEntry& entry);

/// Returns the value of the entry's row in the log.
/// @param base version of the object that the change replaces.
std::string ToLogRow(const ConfigEntry& entry, ConfigVersion base);
/// Parses the value of a log row and adds an error for each invalid field to `errors`.
/// @return the entry, or nothing if an error was added.
std::optional<ConfigEntry> EntryFromLogRow(ConfigVersion version,
                                           std::string_view text,
                                           ConfigErrors* errors);

/// Returns the base version in the value of a log row, or 0 if the value is malformed.
ConfigVersion BaseOfLogRow(std::string_view text);

/// Returns the differences as lines such as "~ profile/fast deadline_ms: 2000.0 -> 500.0". Lines of
/// added values start with '+', those of removed values with '-'. Differences of versions are left
/// out.
std::vector<std::string> Diff(const Configuration& from, const Configuration& to);

}  // namespace jd
