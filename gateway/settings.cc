#include "gateway/settings.h"

#include <toml++/toml.h>

#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "gateway/embedded_configuration.h"
#include "gateway/setting_field.h"
#include "gateway/setting_table.h"

namespace jd {
namespace {

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) {
    text += (text.empty() ? "" : "\n") + line;
  }
  return text;
}

// Reads a top-level table. If the table is absent, every setting in it gets its default value, and
// missing required settings are reported at line 1.
template <typename T>
void ReadSection(const toml::table& root,
                 const char* name,
                 std::span<const SettingField<T>> fields,
                 const std::vector<std::string>& nested,
                 T* object,
                 SettingErrorList* errors) {
  static const toml::table empty;
  const toml::node* node = root.get(name);
  if (node != nullptr && !node->is_table()) {
    errors->Add(node->source(), std::string("'") + name + "' must be a table");
    return;
  }
  ReadObject(node == nullptr ? empty : *node->as_table(), name, fields, nested, object, errors);
}

void ReadSeeds(const toml::table& root, Settings* settings, SettingErrorList* errors) {
  const toml::table* peers = root["peers"].as_table();
  if (peers == nullptr || !peers->contains("seeds")) {
    return;
  }
  std::set<GatewayId> ids;
  for (const toml::table* table : TablesInArray(*peers, "seeds", "peers.seeds", errors)) {
    PeerSeed seed;
    ReadObject(*table, "peers.seeds", SeedFields(), {}, &seed, errors);
    if (!seed.id.empty() && !ids.insert(seed.id).second) {
      errors->Add(table->source(), "peer '" + seed.id.value + "' is given more than once");
    }
    settings->seeds.push_back(std::move(seed));
  }
}

template <typename T>
void AppendSettingInfos(const std::string& scope,
                        std::span<const SettingField<T>> fields,
                        std::vector<SettingInfo>* infos) {
  for (const SettingField<T>& field : fields) {
    infos->push_back({scope + "." + field.rule.name, DescribeAccepted(field.rule),
                      field.rule.default_value == nullptr ? "" : field.rule.default_value,
                      field.rule.description});
  }
}

void ReportSharedPorts(const toml::table& root,
                       const Settings& settings,
                       SettingErrorList* errors) {
  const ListenAddress* listeners[] = {&settings.callers, &settings.status, &settings.peers};
  for (size_t i = 0; i < std::size(listeners); ++i) {
    for (size_t j = 0; j < i; ++j) {
      if (listeners[i]->port != 0 && listeners[i]->port == listeners[j]->port &&
          listeners[i]->address == listeners[j]->address) {
        errors->Add(root.source(),
                    "port " + std::to_string(listeners[i]->port) +
                        " is used twice; callers, status and peers need different ports");
      }
    }
  }
}

}  // namespace

SettingsError::SettingsError(std::vector<std::string> errors)
    : std::runtime_error(JoinLines(errors)), errors_(std::move(errors)) {}

std::vector<SettingInfo> AllSettings() {
  std::vector<SettingInfo> infos;
  AppendSettingInfos("gateway", GatewayFields(), &infos);
  AppendSettingInfos("callers", CallersFields(), &infos);
  AppendSettingInfos("status", StatusFields(), &infos);
  AppendSettingInfos("peers", PeersFields(), &infos);
  AppendSettingInfos("peers.seeds[]", SeedFields(), &infos);
  AppendSettingInfos("platform", PlatformFields(), &infos);
  AppendSettingInfos("retries", RetriesFields(), &infos);
  AppendSettingInfos("probes", ProbesFields(), &infos);
  AppendSettingInfos("rollouts", RolloutsFields(), &infos);
  AppendSettingInfos("limits", LimitsFields(), &infos);
  AppendSettingInfos("zones[]", ZoneFields(), &infos);
  AppendSettingInfos("workspaces[]", WorkspaceFields(), &infos);
  AppendSettingInfos("profiles[]", ProfileFields(), &infos);
  AppendSettingInfos("services[]", ServiceFields(), &infos);
  AppendSettingInfos("services[].shares[]", ShareFields(), &infos);
  AppendSettingInfos("services[].endpoints[]", EndpointFields(), &infos);
  return infos;
}

Settings ParseSettings(const std::string& text, const std::string& file) {
  toml::table root;
  try {
    root = toml::parse(text);
  } catch (const toml::parse_error& error) {
    throw SettingsError({file + ":" + std::to_string(error.source().begin.line) +
                         ": not valid TOML: " + std::string(error.description())});
  }
  Settings settings;
  SettingErrorList errors(file);
  ReadSection(root, "gateway", GatewayFields(), {}, &settings, &errors);
  ReadSection(root, "callers", CallersFields(), {}, &settings.callers, &errors);
  ReadSection(root, "status", StatusFields(), {}, &settings.status, &errors);
  ReadSection(root, "peers", PeersFields(), {"seeds"}, &settings, &errors);
  ReadSection(root, "retries", RetriesFields(), {}, &settings, &errors);
  ReadSection(root, "probes", ProbesFields(), {}, &settings, &errors);
  ReadSection(root, "rollouts", RolloutsFields(), {}, &settings, &errors);
  ReadSection(root, "limits", LimitsFields(), {}, &settings.limits, &errors);
  ReadSeeds(root, &settings, &errors);
  ReportSharedPorts(root, settings, &errors);
  if (root.contains("platform")) {
    ReadSection(root, "platform", PlatformFields(), {}, &settings, &errors);
    if (settings.platform.address.empty() || settings.platform.port == 0) {
      errors.Add(root.get("platform")->source(),
                 "'platform' has no server address; accepted: 'address' and 'port', or 'server'");
    }
    RejectEmbeddedConfiguration(root, &errors);
  } else {
    settings.configuration = ReadEmbeddedConfiguration(root, &errors);
  }
  ReportUnknownKeys(root, "",
                    {"gateway", "callers", "status", "peers", "platform", "retries", "probes",
                     "rollouts", "limits", "zones", "workspaces", "profiles", "services"},
                    &errors);
  if (!errors.empty()) {
    throw SettingsError(errors.SortedByLine());
  }
  return settings;
}

Settings LoadSettings(const std::string& file) {
  std::ifstream in(file);
  std::stringstream text;
  text << in.rdbuf();
  if (!in || text.fail()) {
    throw SettingsError({file + ":1: cannot be read; accepted: a TOML file"});
  }
  return ParseSettings(text.str(), file);
}

}  // namespace jd
