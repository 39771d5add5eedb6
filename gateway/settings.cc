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
                 SettingFaults* faults) {
  static const toml::table empty;
  const toml::node* node = root.get(name);
  if (node != nullptr && !node->is_table()) {
    faults->Add(node->source(), std::string("'") + name + "' must be a table");
    return;
  }
  ReadObject(node == nullptr ? empty : *node->as_table(), name, fields, nested, object, faults);
}

void ReadSeeds(const toml::table& root, Settings* settings, SettingFaults* faults) {
  const toml::table* peers = root["peers"].as_table();
  if (peers == nullptr || !peers->contains("seeds")) {
    return;
  }
  std::set<GatewayId> ids;
  for (const toml::table* table : TablesOf(*peers, "seeds", "peers.seeds", faults)) {
    PeerSeed seed;
    ReadObject(*table, "peers.seeds", SeedFields(), {}, &seed, faults);
    if (!seed.id.empty() && !ids.insert(seed.id).second) {
      faults->Add(table->source(), "peer '" + seed.id.value + "' is given more than once");
    }
    settings->seeds.push_back(std::move(seed));
  }
}

template <typename T>
void Describe(const std::string& scope,
              std::span<const SettingField<T>> fields,
              std::vector<SettingInfo>* infos) {
  for (const SettingField<T>& field : fields) {
    infos->push_back({scope + "." + field.rule.name, DescribeAccepted(field.rule),
                      field.rule.fallback == nullptr ? "" : field.rule.fallback,
                      field.rule.sentence});
  }
}

void CheckPorts(const toml::table& root, const Settings& settings, SettingFaults* faults) {
  const ListenAddress* listeners[] = {&settings.callers, &settings.status, &settings.peers};
  for (size_t i = 0; i < std::size(listeners); ++i) {
    for (size_t j = 0; j < i; ++j) {
      if (listeners[i]->port != 0 && listeners[i]->port == listeners[j]->port &&
          listeners[i]->address == listeners[j]->address) {
        faults->Add(root.source(),
                    "port " + std::to_string(listeners[i]->port) +
                        " is used twice; callers, status and peers need different ports");
      }
    }
  }
}

}  // namespace

SettingsError::SettingsError(std::vector<std::string> faults)
    : std::runtime_error(JoinLines(faults)), faults_(std::move(faults)) {}

std::vector<SettingInfo> AllSettings() {
  std::vector<SettingInfo> infos;
  Describe("gateway", GatewayFields(), &infos);
  Describe("callers", CallersFields(), &infos);
  Describe("status", StatusFields(), &infos);
  Describe("peers", PeersFields(), &infos);
  Describe("peers.seeds[]", SeedFields(), &infos);
  Describe("platform", PlatformFields(), &infos);
  Describe("retries", RetriesFields(), &infos);
  Describe("probes", ProbesFields(), &infos);
  Describe("limits", LimitsFields(), &infos);
  Describe("zones[]", ZoneFields(), &infos);
  Describe("workspaces[]", WorkspaceFields(), &infos);
  Describe("profiles[]", ProfileFields(), &infos);
  Describe("services[]", ServiceFields(), &infos);
  Describe("services[].shares[]", ShareFields(), &infos);
  Describe("services[].endpoints[]", EndpointFields(), &infos);
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
  SettingFaults faults(file);
  ReadSection(root, "gateway", GatewayFields(), {}, &settings, &faults);
  ReadSection(root, "callers", CallersFields(), {}, &settings.callers, &faults);
  ReadSection(root, "status", StatusFields(), {}, &settings.status, &faults);
  ReadSection(root, "peers", PeersFields(), {"seeds"}, &settings, &faults);
  ReadSection(root, "retries", RetriesFields(), {}, &settings, &faults);
  ReadSection(root, "probes", ProbesFields(), {}, &settings, &faults);
  ReadSection(root, "limits", LimitsFields(), {}, &settings.limits, &faults);
  ReadSeeds(root, &settings, &faults);
  CheckPorts(root, settings, &faults);
  if (root.contains("platform")) {
    ReadSection(root, "platform", PlatformFields(), {}, &settings, &faults);
    if (settings.platform.address.empty() || settings.platform.port == 0) {
      faults.Add(root.get("platform")->source(),
                 "'platform' has no server address; accepted: 'address' and 'port', or 'server'");
    }
    RejectConfiguration(root, &faults);
  } else {
    settings.configuration = ReadConfiguration(root, &faults);
  }
  ReportUnknownKeys(root, "",
                    {"gateway", "callers", "status", "peers", "platform", "retries", "probes",
                     "limits", "zones", "workspaces", "profiles", "services"},
                    &faults);
  if (!faults.empty()) {
    throw SettingsError(faults.Sorted());
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
