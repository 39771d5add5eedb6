#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/config_change.h"
#include "common/configuration.h"
#include "common/json_fields.h"

namespace jd {

/// Encodes a value as JSON. Durations are in milliseconds, in fields whose names end in "_ms".
std::string ToJson(const Profile& profile);
std::string ToJson(const Service& service);
std::string ToJson(const ConfigChange& change);
std::string ToJson(const Configuration& configuration);

/// Decodes JSON strictly: unknown fields, wrong types and values out of range are errors. Adds
/// every error in the document to `errors`.
/// @return the decoded value, or nothing if an error was added.
std::optional<Profile> ProfileFromJson(std::string_view text, ConfigErrors* errors);
std::optional<Service> ServiceFromJson(std::string_view text, ConfigErrors* errors);
/// If the field "change" is invalid, adds no further errors, because this field determines which
/// other fields are accepted.
std::optional<ConfigChange> ChangeFromJson(std::string_view text, ConfigErrors* errors);
/// Also checks that the objects which the services refer to exist.
std::optional<Configuration> ConfigurationFromJson(std::string_view text, ConfigErrors* errors);

/// Describes the fields of all configuration objects. The descriptions are generated from the same
/// field lists that the codec encodes and decodes.
std::vector<ConfigField> AllConfigFields();

}  // namespace jd
