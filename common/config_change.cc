#include "common/config_change.h"

#include <algorithm>
#include <set>

#include "common/workspace_table.h"

namespace jd {
namespace {

template <typename Map, typename Id>
ConfigChange PutOrRemove(const Map& objects, const Id& id, const ObjectRef& object) {
  const auto found = objects.find(id);
  return found == objects.end() ? ConfigChange(Removal{object}) : ConfigChange(found->second);
}

void CheckRemoval(const Configuration& configuration,
                  const Removal& removal,
                  ConfigErrors* errors) {
  if (std::holds_alternative<Removal>(ChangeToRestore(configuration, removal.object))) {
    errors->push_back({"object", "there is no " + removal.object.key(), "an existing object"});
    return;
  }
  for (const auto& [id, service] : configuration.services) {
    const bool by_profile =
        removal.object.kind == ObjectKind::kProfile && service.profile.value == removal.object.name;
    const bool by_share =
        removal.object.kind == ObjectKind::kWorkspace &&
        std::any_of(service.shares.begin(), service.shares.end(), [&](const WorkspaceShare& share) {
          return share.workspace.value == removal.object.name;
        });
    if (by_profile || by_share) {
      errors->push_back({"object", removal.object.key() + " is used by service/" + id.value,
                         "an object that no service uses"});
    }
  }
}

void EraseObject(const ObjectRef& object, Configuration* configuration) {
  switch (object.kind) {
    case ObjectKind::kProfile:
      configuration->profiles.erase(ProfileId(object.name));
      break;
    case ObjectKind::kService:
      configuration->services.erase(ServiceId(object.name));
      break;
    case ObjectKind::kWorkspace:
      configuration->workspaces.erase(WorkspaceId(object.name));
      break;
    case ObjectKind::kZone:
      configuration->zones.erase(ZoneId(object.name));
      break;
  }
}

}  // namespace

std::string ObjectRef::key() const {
  switch (kind) {
    case ObjectKind::kProfile:
      return "profile/" + name;
    case ObjectKind::kService:
      return "service/" + name;
    case ObjectKind::kWorkspace:
      return "workspace/" + name;
    case ObjectKind::kZone:
      return "zone/" + name;
  }
  return name;
}

ObjectRef ObjectOf(const ConfigChange& change) {
  if (const auto* profile = std::get_if<Profile>(&change)) {
    return {ObjectKind::kProfile, profile->id.value};
  }
  if (const auto* service = std::get_if<Service>(&change)) {
    return {ObjectKind::kService, service->id.value};
  }
  if (const auto* workspace = std::get_if<Workspace>(&change)) {
    return {ObjectKind::kWorkspace, workspace->id.value};
  }
  if (const auto* zone = std::get_if<Zone>(&change)) {
    return {ObjectKind::kZone, zone->id.value};
  }
  return std::get<Removal>(change).object;
}

ConfigChange ChangeToRestore(const Configuration& configuration, const ObjectRef& object) {
  switch (object.kind) {
    case ObjectKind::kProfile:
      return PutOrRemove(configuration.profiles, ProfileId(object.name), object);
    case ObjectKind::kService:
      return PutOrRemove(configuration.services, ServiceId(object.name), object);
    case ObjectKind::kZone:
      return PutOrRemove(configuration.zones, ZoneId(object.name), object);
    case ObjectKind::kWorkspace:
      break;
  }
  const auto workspace = configuration.workspaces.find(WorkspaceId(object.name));
  if (workspace == configuration.workspaces.end()) {
    return Removal{object};
  }
  return workspace->second;
}

void CheckReferences(const Configuration& configuration,
                     const Service& service,
                     const std::string& path,
                     ConfigErrors* errors) {
  if (!configuration.profiles.contains(service.profile)) {
    errors->push_back({path + "profile", "there is no profile \"" + service.profile.value + "\"",
                       "the id of an existing profile"});
  }
  for (size_t i = 0; i < service.shares.size(); ++i) {
    if (!configuration.workspaces.contains(service.shares[i].workspace)) {
      errors->push_back({path + "shares[" + std::to_string(i) + "].workspace",
                         "there is no workspace \"" + service.shares[i].workspace.value + "\"",
                         "the id of an existing workspace"});
    }
  }
  std::set<EndpointId> other_endpoint_ids;
  for (const auto& [id, other] : configuration.services) {
    for (const Endpoint& endpoint : other.endpoints) {
      if (id != service.id) {
        other_endpoint_ids.insert(endpoint.id);
      }
    }
  }
  for (size_t i = 0; i < service.endpoints.size(); ++i) {
    if (other_endpoint_ids.contains(service.endpoints[i].id)) {
      errors->push_back(
          {path + "endpoints[" + std::to_string(i) + "].id",
           "\"" + service.endpoints[i].id.value + "\" is already an endpoint of another service",
           "an id that no other endpoint has"});
    }
  }
}

void CheckKeys(const Configuration& configuration,
               const Workspace& workspace,
               const std::string& path,
               ConfigErrors* errors) {
  for (size_t i = 0; i < workspace.keys.size(); ++i) {
    const std::string& key = workspace.keys[i];
    const std::string key_path = path + "keys[" + std::to_string(i) + "]";
    if (key.empty() || key.find_first_of(" \t,") != std::string::npos) {
      errors->push_back(
          {key_path, "is empty or has a space, tab or comma", "a key without these characters"});
    }
    for (const auto& [id, other] : configuration.workspaces) {
      const bool shared = id != workspace.id &&
                          std::find(other.keys.begin(), other.keys.end(), key) != other.keys.end();
      if (shared) {
        errors->push_back({key_path, "is also a key of the workspace \"" + id.value + "\"",
                           "a key that no other workspace has"});
      }
    }
  }
}

ConfigErrors CheckChange(const Configuration& configuration, const ConfigChange& change) {
  ConfigErrors errors;
  if (const auto* service = std::get_if<Service>(&change)) {
    CheckReferences(configuration, *service, "service.", &errors);
  } else if (const auto* workspace = std::get_if<Workspace>(&change)) {
    CheckKeys(configuration, *workspace, "workspace.", &errors);
  } else if (const auto* removal = std::get_if<Removal>(&change)) {
    CheckRemoval(configuration, *removal, &errors);
  }
  return errors;
}

Configuration WithChange(const Configuration& configuration, const ConfigChange& change) {
  Configuration next = configuration;
  next.version = ConfigVersion(configuration.version.value + 1);
  if (const auto* profile = std::get_if<Profile>(&change)) {
    next.profiles[profile->id] = *profile;
  } else if (const auto* service = std::get_if<Service>(&change)) {
    next.services[service->id] = *service;
  } else if (const auto* workspace = std::get_if<Workspace>(&change)) {
    next.workspaces[workspace->id] = *workspace;
  } else if (const auto* zone = std::get_if<Zone>(&change)) {
    next.zones[zone->id] = *zone;
  } else {
    EraseObject(std::get<Removal>(change).object, &next);
  }
  next.workspace_table = MakeWorkspaceTable(next.workspaces);
  next.object_versions[ObjectOf(change).key()] = next.version;
  return next;
}

}  // namespace jd
