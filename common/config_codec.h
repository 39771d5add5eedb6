#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/config_change.h"
#include "common/configuration.h"
#include "common/json_fields.h"

namespace jd {

/// Encodes as JSON. Intervals are in milliseconds, in fields named "..._ms".
std::string ToJson(const Profile& profile);
std::string ToJson(const Service& service);
std::string ToJson(const ConfigChange& change);
std::string ToJson(const Configuration& configuration);

/// Decodes JSON strictly: unknown fields, wrong types and values out of range are errors.
/// @return nothing if `errors` grew; every error of the document is reported.
std::optional<Profile> ProfileFromJson(std::string_view text, ConfigErrors* errors);
std::optional<Service> ServiceFromJson(std::string_view text, ConfigErrors* errors);
std::optional<ConfigChange> ChangeFromJson(std::string_view text, ConfigErrors* errors);
/// Also checks the references between objects.
std::optional<Configuration> ConfigurationFromJson(std::string_view text, ConfigErrors* errors);

/// Returns the fields of every configuration object, from the lists that the codec itself uses.
std::vector<ConfigField> AllConfigFields();

}  // namespace jd
