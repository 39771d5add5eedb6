#include "cluster/table_call.h"

#include <charconv>
#include <string_view>

#include "common/json_fields.h"

namespace jd {
namespace {

constexpr size_t kDigits = 20;  // Enough for every uint64_t.

}  // namespace

std::string LogKey(ConfigVersion version) {
  const std::string number = std::to_string(version.value);
  return kLogPrefix + std::string(kDigits - number.size(), '0') + number;
}

ConfigVersion VersionOfLogKey(const std::string& key) {
  const std::string_view prefix = kLogPrefix;
  uint64_t version = 0;
  if (key.starts_with(prefix)) {
    std::from_chars(key.data() + prefix.size(), key.data() + key.size(), version);
  }
  return ConfigVersion(version);
}

std::string HeadValue(ConfigVersion version) {
  return nlohmann::json{{"version", version.value}}.dump();
}

ConfigVersion VersionOfHead(const std::string& value) {
  ConfigErrors errors;
  const nlohmann::json json = ParseJson(value, &errors);
  if (!json.is_object() || !json.contains("version") || !json["version"].is_number_unsigned()) {
    return ConfigVersion();
  }
  return ConfigVersion(json["version"].get<uint64_t>());
}

}  // namespace jd
