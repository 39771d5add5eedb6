#include "gateway/embedded_configuration.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

#include "gateway/setting_table.h"

namespace jd {
namespace {

constexpr const char* kSections[] = {"zones", "workspaces", "profiles", "services"};

// Returns `what` followed by the ids of the objects, for messages.
std::string Listed(const std::string& what, const auto& objects) {
  std::string list;
  for (const auto& [id, object] : objects) {
    list += (list.empty() ? "" : ", ") + id.value;
  }
  return what + (list.empty() ? " (none is given)" : " " + list);
}

// Adds an object under its id, and reports an error if the id is already used by an object of the
// same kind.
template <typename Map, typename Value>
void Insert(const toml::table& table,
            const std::string& kind,
            Map* objects,
            const typename Map::key_type& id,
            Value value,
            SettingFaults* faults) {
  if (!id.empty() && !objects->emplace(id, std::move(value)).second) {
    faults->Add(table.source(), kind + " '" + id.value + "' is given more than once");
  }
}

class ConfigurationReader {
 public:
  ConfigurationReader(const toml::table& root, SettingFaults* faults)
      : root_(root), faults_(faults) {}

  Configuration Read() {
    for (const toml::table* table : TablesOf(root_, "zones", "zones", faults_)) {
      Zone zone;
      ReadObject(*table, "zones", ZoneFields(), {}, &zone, faults_);
      Insert(*table, "zone", &result_.zones, zone.id, zone, faults_);
    }
    for (const toml::table* table : TablesOf(root_, "workspaces", "workspaces", faults_)) {
      WorkspaceSetting workspace;
      ReadObject(*table, "workspaces", WorkspaceFields(), {}, &workspace, faults_);
      Insert(*table, "workspace", &result_.workspaces, workspace.id, workspace.share, faults_);
    }
    for (const toml::table* table : TablesOf(root_, "profiles", "profiles", faults_)) {
      Profile profile;
      ReadObject(*table, "profiles", ProfileFields(), {}, &profile, faults_);
      Insert(*table, "profile", &result_.profiles, profile.id, profile, faults_);
    }
    for (const toml::table* table : TablesOf(root_, "services", "services", faults_)) {
      ReadService(*table);
    }
    result_.version = ConfigVersion(1);
    return std::move(result_);
  }

 private:
  void ReadService(const toml::table& table) {
    Service service;
    ReadObject(table, "services", ServiceFields(), {"shares", "endpoints"}, &service, faults_);
    if (!service.profile.empty() && !result_.profiles.contains(service.profile)) {
      faults_->Add(table.source(), "service '" + service.id.value + "' has the unknown profile '" +
                                       service.profile.value +
                                       "'; accepted: " + Listed("one of", result_.profiles));
    }
    if (!service.health_path.empty() && service.health_path[0] != '/') {
      faults_->Add(table.source(), "'services.health_path' must start with '/'");
    }
    for (const toml::table* share : TablesOf(table, "shares", "services.shares", faults_)) {
      ReadShare(*share, &service);
    }
    for (const toml::table* endpoint :
         TablesOf(table, "endpoints", "services.endpoints", faults_)) {
      ReadEndpoint(*endpoint, &service);
    }
    const ServiceId id = service.id;
    Insert(table, "service", &result_.services, id, std::move(service), faults_);
  }

  void ReadShare(const toml::table& table, Service* service) {
    WorkspaceShare share;
    ReadObject(table, "services.shares", ShareFields(), {}, &share, faults_);
    if (!share.workspace.empty() && !result_.workspaces.contains(share.workspace)) {
      faults_->Add(table.source(), "unknown workspace '" + share.workspace.value +
                                       "'; accepted: " + Listed("one of", result_.workspaces));
    }
    service->shares.push_back(std::move(share));
  }

  void ReadEndpoint(const toml::table& table, Service* service) {
    Endpoint endpoint;
    ReadObject(table, "services.endpoints", EndpointFields(), {}, &endpoint, faults_);
    if (!endpoint.zone.empty() && !result_.zones.contains(endpoint.zone)) {
      faults_->Add(table.source(), "unknown zone '" + endpoint.zone.value +
                                       "'; accepted: " + Listed("one of", result_.zones));
    }
    if (!endpoint.id.empty() && !endpoints_.insert(endpoint.id).second) {
      faults_->Add(table.source(), "endpoint '" + endpoint.id.value + "' is given more than once");
    }
    if (endpoint.max_connections < endpoint.slots) {
      faults_->Add(table.source(), "endpoint '" + endpoint.id.value +
                                       "' has fewer connections than slots; accepted: "
                                       "max_connections of at least the number of slots");
    }
    service->endpoints.push_back(std::move(endpoint));
  }

  const toml::table& root_;
  SettingFaults* faults_;
  Configuration result_;
  std::set<EndpointId> endpoints_;
};

}  // namespace

std::vector<const toml::table*> TablesOf(const toml::table& parent,
                                         const char* key,
                                         const std::string& scope,
                                         SettingFaults* faults) {
  std::vector<const toml::table*> tables;
  const toml::node* node = parent.get(key);
  if (node == nullptr) {
    return tables;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    faults->Add(node->source(), "'" + scope + "' must be an array of tables");
    return tables;
  }
  for (const toml::node& element : *array) {
    if (const toml::table* table = element.as_table()) {
      tables.push_back(table);
    } else {
      faults->Add(element.source(), "each element of '" + scope + "' must be a table");
    }
  }
  return tables;
}

ConfigurationPtr ReadConfiguration(const toml::table& root, SettingFaults* faults) {
  return std::make_shared<const Configuration>(ConfigurationReader(root, faults).Read());
}

void RejectConfiguration(const toml::table& root, SettingFaults* faults) {
  for (const char* section : kSections) {
    if (const toml::node* node = root.get(section)) {
      faults->Add(node->source(), std::string("'") + section +
                                      "' is accepted only without 'platform'; with a platform, "
                                      "the platform holds the configuration");
    }
  }
}

}  // namespace jd
