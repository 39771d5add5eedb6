#include "common/config_entry.h"

#include <limits>
#include <map>
#include <utility>

#include "common/config_codec.h"
#include "common/json_fields.h"

namespace jd {
namespace {

using nlohmann::json;

constexpr std::pair<const char*, const char*> kObjectLists[] = {{"profiles", "profile/"},
                                                                {"services", "service/"},
                                                                {"workspaces", "workspace/"},
                                                                {"zones", "zone/"}};

using ValuesByPath = std::map<std::pair<std::string, std::string>, std::string>;

/// Returns the name of a list item in a path: its id or workspace, because an index tells an
/// operator little, or its index if it has neither.
std::string ItemName(const json& item, size_t index) {
  for (const char* name : {"id", "workspace"}) {
    if (item.is_object() && item.contains(name)) {
      return item[name].get<std::string>();
    }
  }
  return std::to_string(index);
}

void Flatten(const std::string& object,
             const std::string& path,
             const json& value,
             ValuesByPath* values) {
  if (value.is_object()) {
    for (const auto& [name, field] : value.items()) {
      Flatten(object, path.empty() ? name : path + "." + name, field, values);
    }
  } else if (value.is_array()) {
    for (size_t i = 0; i < value.size(); ++i) {
      Flatten(object, path + "[" + ItemName(value[i], i) + "]", value[i], values);
    }
  } else {
    (*values)[{object, path}] = value.dump();
  }
}

/// Returns each scalar value of the configuration by its object and its path within the object.
ValuesByPath Flatten(const Configuration& configuration) {
  const json document = json::parse(ToJson(configuration));
  ValuesByPath values;
  for (const auto& [list, prefix] : kObjectLists) {
    for (const json& object : document.at(list)) {
      Flatten(prefix + object.at("id").get<std::string>(), "", object, &values);
    }
  }
  return values;
}

std::string LinePrefix(char sign, const std::pair<std::string, std::string>& location) {
  return std::string(1, sign) + " " + location.first + " " + location.second + ": ";
}

}  // namespace

Configuration ApplyEntry(const Configuration& configuration, const ConfigEntry& entry) {
  if (entry.version.value != configuration.version.value + 1) {
    throw ConfigException("entry " + std::to_string(entry.version.value) +
                          " does not follow version " +
                          std::to_string(configuration.version.value));
  }
  ConfigErrors errors;
  const std::optional<ConfigChange> change = ChangeFromJson(entry.change, &errors);
  if (!change) {
    throw ConfigException("entry " + std::to_string(entry.version.value) +
                          " is not valid: " + ErrorText(errors));
  }
  return WithChange(configuration, *change);
}

std::string ToLogRow(const ConfigEntry& entry, ConfigVersion base) {
  json value;
  value["change"] = entry.change;
  value["nonce"] = entry.nonce;
  value["author"] = entry.author;
  value["written_us"] = Micros(entry.written);
  value["base"] = base.value;
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ConfigEntry> EntryFromLogRow(ConfigVersion version,
                                           std::string_view text,
                                           ConfigErrors* errors) {
  const size_t before = errors->size();
  const json value = ParseJson(text, errors);
  if (errors->size() > before) {
    return std::nullopt;
  }
  JsonReader reader(value, "", errors);
  ConfigEntry entry;
  entry.version = version;
  reader.String("change", entry.change, Need::kRequired);
  reader.String("nonce", entry.nonce, Need::kRequired);
  reader.String("author", entry.author, Need::kRequired, true);
  int64_t written = 0;
  reader.Int64("written_us", written, 0, std::numeric_limits<int64_t>::max(), Need::kRequired);
  entry.written = WallFromMicros(written);
  int64_t base = 0;
  reader.Int64("base", base, 0, std::numeric_limits<int64_t>::max(), Need::kRequired);
  reader.ReportUnknownFields();
  return errors->size() > before ? std::nullopt : std::optional(std::move(entry));
}

ConfigVersion BaseOfLogRow(std::string_view text) {
  ConfigErrors errors;
  const json value = ParseJson(text, &errors);
  const bool valid =
      value.is_object() && value.contains("base") && value["base"].is_number_unsigned();
  return valid ? ConfigVersion(value["base"].get<uint64_t>()) : ConfigVersion();
}

std::vector<std::string> Diff(const Configuration& from, const Configuration& to) {
  const ValuesByPath old_values = Flatten(from);
  const ValuesByPath new_values = Flatten(to);
  std::vector<std::string> result;
  for (const auto& [location, value] : old_values) {
    const auto new_value = new_values.find(location);
    if (new_value == new_values.end()) {
      result.push_back(LinePrefix('-', location) + value);
    } else if (new_value->second != value) {
      result.push_back(LinePrefix('~', location) + value + " -> " + new_value->second);
    }
  }
  for (const auto& [location, value] : new_values) {
    if (!old_values.contains(location)) {
      result.push_back(LinePrefix('+', location) + value);
    }
  }
  return result;
}

}  // namespace jd
