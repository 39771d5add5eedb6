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

/// One accepted change of the configuration, as recorded in the platform's table.
struct ConfigEntry {
  ConfigVersion version;
  std::string change;  ///< JSON, see common/config_codec.h.
  std::string nonce;
  std::string author;
  WallTime written;
  bool operator==(const ConfigEntry&) const = default;
};

/// Thrown when an entry cannot be applied.
class ConfigException : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Returns the next version of a configuration.
/// @throws ConfigException if the entry is not the next one, or its change is not valid.
Configuration Apply(const Configuration& configuration, const ConfigEntry& entry);

/// Returns the value of the entry's row in the log.
/// @param base version of the object that the change replaced.
std::string ToLogRow(const ConfigEntry& entry, ConfigVersion base);
/// Reads an entry back from the value of its row.
std::optional<ConfigEntry> EntryFromLogRow(ConfigVersion version,
                                           std::string_view text,
                                           ConfigErrors* errors);

/// Returns the base in the value of an entry's row, 0 if the row is malformed.
ConfigVersion BaseOfLogRow(std::string_view text);

/// Returns the differences as lines such as "~ profile/fast deadline_ms: 2000.0 -> 500.0", with
/// '+' for what was added and '-' for what was removed; empty if only versions differ.
std::vector<std::string> Diff(const Configuration& from, const Configuration& to);

}  // namespace jd
