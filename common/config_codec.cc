#include "common/config_codec.h"

#include <limits>
#include <utility>

#include "common/text_rules.h"
#include "common/workspace_table.h"

namespace jd {
namespace {

using nlohmann::json;

constexpr int64_t kMaxVersion = std::numeric_limits<int64_t>::max();
constexpr double kMaxShare = 1000.0;
constexpr double kMaxQuota = 1e9;

constexpr std::initializer_list<const char*> kPriorityNames = {"low", "normal", "high"};
constexpr std::initializer_list<const char*> kZoneStateNames = {"in", "out", "returning"};
constexpr std::initializer_list<const char*> kObjectKindNames = {"profile", "service", "workspace",
                                                                 "zone"};
// Names of the changes and of the fields that hold their objects, in the order of the alternatives
// of ConfigChange.
constexpr std::initializer_list<const char*> kChangeNames = {"put-profile", "put-service",
                                                             "put-workspace", "set-zone", "remove"};
constexpr const char* kChangeFields[] = {"profile", "service", "workspace", "zone", "object"};

template <typename Archive, typename T>
void ProfileFields(Archive& archive, T& profile) {
  archive.Name("id", profile.id);
  archive.Strings("idempotent_methods", profile.idempotent_methods);
  archive.Strings("idempotent_paths", profile.idempotent_paths);
  archive.Millis("deadline_ms", profile.deadline, 1ms, 10min);
  archive.Integer("max_attempts", profile.max_attempts, 1, 10, Need::kOptional);
  archive.Bool("hedge", profile.hedge);
  archive.Millis("hedge_after_ms", profile.hedge_after, 100us, 10min);
  archive.Number("retry_budget", profile.retry_budget, 0.0, 1.0, Need::kOptional);
  archive.String("request_key_header", profile.request_key_header, Need::kOptional, true);
  archive.Enum("priority", profile.priority, kPriorityNames, Need::kOptional);
  archive.Integer("max_queue", profile.max_queue, 0, 1000000, Need::kOptional);
}

template <typename Archive, typename T>
void EndpointFields(Archive& archive, T& endpoint) {
  archive.Name("id", endpoint.id);
  archive.Name("zone", endpoint.zone);
  archive.String("address", endpoint.address, Need::kRequired);
  archive.Integer("port", endpoint.port, 1, 65535, Need::kRequired);
  archive.Integer("slots", endpoint.slots, 1, 10000, Need::kOptional);
  archive.Integer("max_connections", endpoint.max_connections, 0, 100000, Need::kOptional);
}

template <typename Archive, typename T>
void ShareFields(Archive& archive, T& share) {
  archive.Name("workspace", share.workspace);
  archive.Number("share", share.share, 0.0, kMaxShare, Need::kRequired);
}

template <typename Archive, typename T>
void ServiceFields(Archive& archive, T& service) {
  archive.Name("id", service.id);
  archive.Name("profile", service.profile);
  archive.Objects("endpoints", service.endpoints, [](auto& a, auto& e) { EndpointFields(a, e); });
  archive.Objects("shares", service.shares, [](auto& a, auto& s) { ShareFields(a, s); });
  archive.Number("probe_share", service.probe_share, 0.0, 0.1, Need::kOptional);
  archive.Millis("probe_cost_ms", service.probe_cost, 0ms, 10s);
  archive.Millis("connect_cost_ms", service.connect_cost, 0ms, 10s);
  archive.String("health_path", service.health_path, Need::kOptional);
}

template <typename Archive, typename T>
void WorkspaceFields(Archive& archive, T& workspace) {
  archive.Name("id", workspace.id);
  archive.Number("share", workspace.share, 0.0, kMaxShare, Need::kOptional);
  if constexpr (std::is_same_v<Archive, JsonWriter>) {
    // A gateway of a version without keys reads a workspace that has none.
    if (workspace == Workspace{workspace.id, workspace.share}) {
      return;
    }
  }
  archive.Strings("keys", workspace.keys);
  archive.Enum("priority", workspace.priority, kPriorityNames, Need::kOptional);
  archive.Number("quota_per_second", workspace.quota_per_second, 0.0, kMaxQuota, Need::kOptional);
  archive.Number("quota_burst", workspace.quota_burst, 0.0, kMaxQuota, Need::kOptional);
}

template <typename Archive, typename T>
void ZoneFields(Archive& archive, T& zone) {
  archive.Name("id", zone.id);
  archive.Enum("state", zone.state, kZoneStateNames, Need::kRequired);
}

template <typename Archive, typename T>
void RemovalFields(Archive& archive, T& removal) {
  archive.Enum("kind", removal.object.kind, kObjectKindNames, Need::kRequired);
  archive.String("name", removal.object.name, Need::kRequired);
}

template <typename Archive, typename T>
void Fields(Archive& archive, T& item) {
  using Item = std::remove_const_t<T>;
  if constexpr (std::is_same_v<Item, Profile>) {
    ProfileFields(archive, item);
  } else if constexpr (std::is_same_v<Item, Service>) {
    ServiceFields(archive, item);
  } else if constexpr (std::is_same_v<Item, Workspace>) {
    WorkspaceFields(archive, item);
  } else if constexpr (std::is_same_v<Item, Zone>) {
    ZoneFields(archive, item);
  } else {
    RemovalFields(archive, item);
  }
}

template <typename T>
json Encode(const T& item) {
  JsonWriter writer;
  Fields(writer, item);
  return std::move(writer).TakeJson();
}

template <typename T>
void AppendFields(const char* path, std::vector<ConfigField>* fields) {
  JsonDescriber describer(path, fields);
  const T item;
  Fields(describer, item);
}

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Checks the rules of an object that the declarations of its fields cannot express.
void CheckItem(const Profile& profile, const std::string& path, ConfigErrors* errors) {
  for (size_t i = 0; i < profile.idempotent_paths.size(); ++i) {
    if (!profile.idempotent_paths[i].starts_with('/')) {
      errors->push_back({path + "idempotent_paths[" + std::to_string(i) + "]",
                         "is \"" + profile.idempotent_paths[i] + "\"",
                         "a path prefix that starts with '/'"});
    }
  }
}

void CheckItem(const Service& service, const std::string& path, ConfigErrors* errors) {
  std::set<EndpointId> ids;
  for (size_t i = 0; i < service.endpoints.size(); ++i) {
    const Endpoint& endpoint = service.endpoints[i];
    const std::string endpoint_path = path + "endpoints[" + std::to_string(i) + "].";
    if (!endpoint.id.empty() && !ids.insert(endpoint.id).second) {
      errors->push_back({endpoint_path + "id", "\"" + endpoint.id.value + "\" is listed twice",
                         "an id that no other endpoint has"});
    }
    if (!endpoint.address.empty() && !IsIpAddress(endpoint.address)) {
      errors->push_back({endpoint_path + "address", "is \"" + endpoint.address + "\"",
                         "an IPv4 or IPv6 address"});
    }
  }
  std::set<WorkspaceId> workspaces;
  for (size_t i = 0; i < service.shares.size(); ++i) {
    if (!workspaces.insert(service.shares[i].workspace).second) {
      errors->push_back({path + "shares[" + std::to_string(i) + "].workspace",
                         "\"" + service.shares[i].workspace.value + "\" is listed twice",
                         "each workspace once"});
    }
  }
  if (!service.health_path.starts_with('/')) {
    errors->push_back({path + "health_path", "is \"" + service.health_path + "\"",
                       "a path that starts with '/'"});
  }
}

template <typename T>
void CheckItem(const T& /*item*/, const std::string& /*path*/, ConfigErrors* /*errors*/) {}

template <typename T>
T Decode(const json& value, const std::string& path, ConfigErrors* errors) {
  JsonReader reader(value, path, errors);
  T item;
  Fields(reader, item);
  reader.ReportUnknownFields();
  CheckItem(item, path.empty() ? "" : path + ".", errors);
  return item;
}

template <typename T>
std::optional<T> DecodeDocument(std::string_view text, ConfigErrors* errors) {
  const size_t before = errors->size();
  const json value = ParseJson(text, errors);
  if (errors->size() > before) {
    return std::nullopt;
  }
  T item = Decode<T>(value, "", errors);
  return errors->size() > before ? std::nullopt : std::optional<T>(std::move(item));
}

template <typename Map>
json EncodeList(const Map& objects) {
  json list = json::array();
  for (const auto& [id, object] : objects) {
    list.push_back(Encode(object));
  }
  return list;
}

/// Decodes a list of objects and passes each object to `insert`, which returns false if the
/// object's id is already present.
template <typename T, typename Insert>
void DecodeList(JsonReader* reader, const char* name, Insert insert) {
  const json* list = reader->FindField(name, Need::kOptional);
  if (list == nullptr) {
    return;
  }
  if (!list->is_array()) {
    reader->AddError(name, "is not a list", "a list of objects");
    return;
  }
  for (size_t i = 0; i < list->size(); ++i) {
    const std::string path = reader->PathOf(name) + "[" + std::to_string(i) + "]";
    T item = Decode<T>((*list)[i], path, reader->errors());
    if (!insert(std::move(item))) {
      reader->errors()->push_back({path + ".id", "is listed twice", "each id once"});
    }
  }
}

void DecodeObjectVersions(JsonReader* reader, Configuration* configuration) {
  const json* versions = reader->FindField("object_versions", Need::kOptional);
  if (versions == nullptr) {
    return;
  }
  if (!versions->is_object()) {
    reader->AddError("object_versions", "is not an object",
                     "an object that maps \"kind/name\" to a version");
    return;
  }
  for (const auto& [key, version] : versions->items()) {
    if (!version.is_number_unsigned()) {
      reader->AddError("object_versions." + key, "is not a version",
                       "a whole number of at least 0");
      continue;
    }
    configuration->object_versions[key] = ConfigVersion(version.get<uint64_t>());
  }
}

}  // namespace

std::string ToJson(const Profile& profile) {
  return Dump(Encode(profile));
}

std::string ToJson(const Service& service) {
  return Dump(Encode(service));
}

std::string ToJson(const ConfigChange& change) {
  json value;
  value["change"] = kChangeNames.begin()[change.index()];
  value[kChangeFields[change.index()]] =
      std::visit([](const auto& item) { return Encode(item); }, change);
  return Dump(value);
}

std::string ToJson(const Configuration& configuration) {
  json value;
  value["version"] = configuration.version.value;
  value["workspaces"] = EncodeList(configuration.workspaces);
  value["profiles"] = EncodeList(configuration.profiles);
  value["services"] = EncodeList(configuration.services);
  value["zones"] = EncodeList(configuration.zones);
  value["object_versions"] = json::object();
  for (const auto& [key, version] : configuration.object_versions) {
    value["object_versions"][key] = version.value;
  }
  return Dump(value);
}

std::optional<Profile> ProfileFromJson(std::string_view text, ConfigErrors* errors) {
  return DecodeDocument<Profile>(text, errors);
}

std::optional<Service> ServiceFromJson(std::string_view text, ConfigErrors* errors) {
  return DecodeDocument<Service>(text, errors);
}

std::optional<ConfigChange> ChangeFromJson(std::string_view text, ConfigErrors* errors) {
  const size_t before = errors->size();
  const json value = ParseJson(text, errors);
  if (errors->size() > before) {
    return std::nullopt;
  }
  JsonReader reader(value, "", errors);
  enum class Kind : uint8_t { kProfile, kService, kWorkspace, kZone, kRemoval };
  Kind kind = Kind::kProfile;
  reader.Enum("change", kind, kChangeNames, Need::kRequired);
  if (errors->size() > before) {
    return std::nullopt;
  }
  const char* field = kChangeFields[static_cast<size_t>(kind)];
  const json* item = reader.FindField(field, Need::kRequired);
  reader.ReportUnknownFields();
  ConfigChange change;
  if (item != nullptr) {
    switch (kind) {
      case Kind::kProfile:
        change = Decode<Profile>(*item, field, errors);
        break;
      case Kind::kService:
        change = Decode<Service>(*item, field, errors);
        break;
      case Kind::kWorkspace:
        change = Decode<Workspace>(*item, field, errors);
        break;
      case Kind::kZone:
        change = Decode<Zone>(*item, field, errors);
        break;
      case Kind::kRemoval:
        change = Decode<Removal>(*item, field, errors);
        break;
    }
  }
  return errors->size() > before ? std::nullopt : std::optional(std::move(change));
}

std::optional<Configuration> ConfigurationFromJson(std::string_view text, ConfigErrors* errors) {
  const size_t before = errors->size();
  const json value = ParseJson(text, errors);
  if (errors->size() > before) {
    return std::nullopt;
  }
  JsonReader reader(value, "", errors);
  Configuration result;
  reader.Integer("version", result.version.value, 0, kMaxVersion, Need::kRequired);
  DecodeList<Workspace>(&reader, "workspaces", [&](Workspace item) {
    return result.workspaces.emplace(item.id, std::move(item)).second;
  });
  DecodeList<Profile>(&reader, "profiles", [&](Profile item) {
    return result.profiles.emplace(item.id, std::move(item)).second;
  });
  DecodeList<Service>(&reader, "services", [&](Service item) {
    return result.services.emplace(item.id, std::move(item)).second;
  });
  DecodeList<Zone>(&reader, "zones",
                   [&](Zone item) { return result.zones.emplace(item.id, item).second; });
  DecodeObjectVersions(&reader, &result);
  reader.ReportUnknownFields();
  for (const auto& [id, service] : result.services) {
    CheckReferences(result, service, "service/" + id.value + ".", errors);
  }
  for (const auto& [id, workspace] : result.workspaces) {
    CheckKeys(result, workspace, "workspace/" + id.value + ".", errors);
  }
  if (errors->size() == before) {
    result.workspace_table = MakeWorkspaceTable(result.workspaces);
  }
  return errors->size() > before ? std::nullopt : std::optional(std::move(result));
}

std::vector<ConfigField> AllConfigFields() {
  std::vector<ConfigField> fields;
  AppendFields<Workspace>("workspaces[]", &fields);
  AppendFields<Profile>("profiles[]", &fields);
  AppendFields<Service>("services[]", &fields);
  AppendFields<Zone>("zones[]", &fields);
  return fields;
}

}  // namespace jd
