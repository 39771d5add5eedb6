#pragma once

#include <toml++/toml.h>

#include <string>
#include <vector>

#include "common/configuration.h"
#include "gateway/setting_field.h"

namespace jd {

/// Returns the elements of the array of tables at `key`, or nothing if there is no such key.
/// Reports an error if the value is not an array and for each element that is not a table.
/// @param scope name of the array in messages.
std::vector<const toml::table*> TablesInArray(const toml::table& parent,
                                              const char* key,
                                              const std::string& scope,
                                              SettingErrorList* errors);

/// Reads the configuration that is part of a settings file; it is used when there is no platform.
/// References to profiles, workspaces and zones that do not exist are reported.
ConfigurationPtr ReadEmbeddedConfiguration(const toml::table& root, SettingErrorList* errors);

/// Reports an error for each configuration section of a settings file. For gateways with a
/// platform, whose configuration comes from the platform.
void RejectEmbeddedConfiguration(const toml::table& root, SettingErrorList* errors);

}  // namespace jd
