#include "gateway/embedded_configuration.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

#include "common/config_change.h"
#include "common/workspace_table.h"
#include "gateway/setting_table.h"

namespace jd {
namespace {

constexpr const char* kSections[] = {"zones", "workspaces", "profiles", "services"};

// Returns `what` followed by the ids of the objects, for messages.
std::string FormatIds(const std::string& what, const auto& objects) {
  std::string list;
  for (const auto& [id, object] : objects) {
    list += (list.empty() ? "" : ", ") + id.value;
  }
  return what + (list.empty() ? " (none is given)" : " " + list);
}

// Adds an object under its id, and reports an error if the id is already used by an object of the
// same kind.
template <typename Map, typename Value>
void InsertUnique(const toml::table& table,
                  const std::string& kind,
                  Map* objects,
                  const typename Map::key_type& id,
                  Value value,
                  SettingErrorList* errors) {
  if (!id.empty() && !objects->emplace(id, std::move(value)).second) {
    errors->Add(table.source(), kind + " '" + id.value + "' is given more than once");
  }
}

class ConfigurationReader {
 public:
  ConfigurationReader(const toml::table& root, SettingErrorList* errors)
      : root_(root), errors_(errors) {}

  Configuration Read() {
    for (const toml::table* table : TablesInArray(root_, "zones", "zones", errors_)) {
      Zone zone;
      ReadObject(*table, "zones", ZoneFields(), {}, &zone, errors_);
      InsertUnique(*table, "zone", &result_.zones, zone.id, zone, errors_);
    }
    for (const toml::table* table : TablesInArray(root_, "workspaces", "workspaces", errors_)) {
      Workspace workspace;
      ReadObject(*table, "workspaces", WorkspaceFields(), {}, &workspace, errors_);
      InsertUnique(*table, "workspace", &result_.workspaces, workspace.id, workspace, errors_);
    }
    ReadWorkspaceTable();
    for (const toml::table* table : TablesInArray(root_, "profiles", "profiles", errors_)) {
      Profile profile;
      ReadObject(*table, "profiles", ProfileFields(), {}, &profile, errors_);
      InsertUnique(*table, "profile", &result_.profiles, profile.id, profile, errors_);
    }
    for (const toml::table* table : TablesInArray(root_, "services", "services", errors_)) {
      ReadService(*table);
    }
    result_.version = ConfigVersion(1);
    return std::move(result_);
  }

 private:
  void ReadWorkspaceTable() {
    ConfigErrors errors;
    for (const auto& [id, workspace] : result_.workspaces) {
      CheckKeys(result_, workspace, "workspaces." + id.value + ".", &errors);
    }
    for (const ConfigError& error : errors) {
      errors_->Add(root_.source(),
                   "'" + error.path + "' " + error.problem + "; accepted: " + error.accepted);
    }
    if (errors.empty()) {
      result_.workspace_table = MakeWorkspaceTable(result_.workspaces);
    }
  }

  void ReadService(const toml::table& table) {
    Service service;
    ReadObject(table, "services", ServiceFields(), {"shares", "endpoints"}, &service, errors_);
    if (!service.profile.empty() && !result_.profiles.contains(service.profile)) {
      errors_->Add(table.source(), "service '" + service.id.value + "' has the unknown profile '" +
                                       service.profile.value +
                                       "'; accepted: " + FormatIds("one of", result_.profiles));
    }
    if (!service.health_path.empty() && service.health_path[0] != '/') {
      errors_->Add(table.source(), "'services.health_path' must start with '/'");
    }
    for (const toml::table* share : TablesInArray(table, "shares", "services.shares", errors_)) {
      ReadShare(*share, &service);
    }
    for (const toml::table* endpoint :
         TablesInArray(table, "endpoints", "services.endpoints", errors_)) {
      ReadEndpoint(*endpoint, &service);
    }
    const ServiceId id = service.id;
    InsertUnique(table, "service", &result_.services, id, std::move(service), errors_);
  }

  void ReadShare(const toml::table& table, Service* service) {
    WorkspaceShare share;
    ReadObject(table, "services.shares", ShareFields(), {}, &share, errors_);
    if (!share.workspace.empty() && !result_.workspaces.contains(share.workspace)) {
      errors_->Add(table.source(), "unknown workspace '" + share.workspace.value +
                                       "'; accepted: " + FormatIds("one of", result_.workspaces));
    }
    service->shares.push_back(std::move(share));
  }

  void ReadEndpoint(const toml::table& table, Service* service) {
    Endpoint endpoint;
    ReadObject(table, "services.endpoints", EndpointFields(), {}, &endpoint, errors_);
    if (!endpoint.zone.empty() && !result_.zones.contains(endpoint.zone)) {
      errors_->Add(table.source(), "unknown zone '" + endpoint.zone.value +
                                       "'; accepted: " + FormatIds("one of", result_.zones));
    }
    if (!endpoint.id.empty() && !endpoints_.insert(endpoint.id).second) {
      errors_->Add(table.source(), "endpoint '" + endpoint.id.value + "' is given more than once");
    }
    if (endpoint.max_connections < endpoint.slots) {
      errors_->Add(table.source(), "endpoint '" + endpoint.id.value +
                                       "' has fewer connections than slots; accepted: "
                                       "max_connections of at least the number of slots");
    }
    service->endpoints.push_back(std::move(endpoint));
  }

  const toml::table& root_;
  SettingErrorList* errors_;
  Configuration result_;
  std::set<EndpointId> endpoints_;
};

}  // namespace

std::vector<const toml::table*> TablesInArray(const toml::table& parent,
                                              const char* key,
                                              const std::string& scope,
                                              SettingErrorList* errors) {
  std::vector<const toml::table*> tables;
  const toml::node* node = parent.get(key);
  if (node == nullptr) {
    return tables;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    errors->Add(node->source(), "'" + scope + "' must be an array of tables");
    return tables;
  }
  for (const toml::node& element : *array) {
    if (const toml::table* table = element.as_table()) {
      tables.push_back(table);
    } else {
      errors->Add(element.source(), "each element of '" + scope + "' must be a table");
    }
  }
  return tables;
}

ConfigurationPtr ReadEmbeddedConfiguration(const toml::table& root, SettingErrorList* errors) {
  return std::make_shared<const Configuration>(ConfigurationReader(root, errors).Read());
}

void RejectEmbeddedConfiguration(const toml::table& root, SettingErrorList* errors) {
  for (const char* section : kSections) {
    if (const toml::node* node = root.get(section)) {
      errors->Add(node->source(), std::string("'") + section +
                                      "' is accepted only without 'platform'; with a platform, "
                                      "the platform holds the configuration");
    }
  }
}

}  // namespace jd
