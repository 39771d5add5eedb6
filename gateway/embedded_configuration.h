#pragma once

#include <toml++/toml.h>

#include <string>
#include <vector>

#include "common/configuration.h"
#include "gateway/setting_field.h"

namespace jd {

/// Returns the tables of an array of tables; anything else is reported.
std::vector<const toml::table*> TablesOf(const toml::table& parent,
                                         const char* key,
                                         const std::string& scope,
                                         SettingFaults* faults);

/// Reads the configuration of a settings file, used when there is no platform. Names that refer to
/// other objects are checked.
ConfigurationPtr ReadConfiguration(const toml::table& root, SettingFaults* faults);

/// Reports configuration in the settings of a gateway whose configuration is in the platform.
void RejectConfiguration(const toml::table& root, SettingFaults* faults);

}  // namespace jd
