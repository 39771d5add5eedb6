#include "cluster/node_operator.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/config_codec.h"

namespace jd {
namespace {

using Json = nlohmann::json;

// Share of the command's timeout after which a write to the table times out, so that the reply
// arrives before the operator's own timeout.
constexpr double kWriteTimeoutShare = 0.8;

OperatorReply Reply(const OperatorRequest& request, OperatorStatus status, const Json& body) {
  return {request.id, status, body.dump()};
}

OperatorReply Refuse(const OperatorRequest& request, const std::string& error) {
  return Reply(request, OperatorStatus::kRefused, {{"error", error}});
}

Json EntryToJson(const ConfigEntry& entry) {
  return {{"version", entry.version.value},
          {"author", entry.author},
          {"written", Micros(entry.written)},
          {"change", Json::parse(entry.change, nullptr, false)}};
}

std::optional<ObjectKind> KindByName(const std::string& name) {
  static const std::map<std::string, ObjectKind> kinds = {{"profile", ObjectKind::kProfile},
                                                          {"service", ObjectKind::kService},
                                                          {"workspace", ObjectKind::kWorkspace},
                                                          {"zone", ObjectKind::kZone}};
  const auto kind = kinds.find(name);
  return kind == kinds.end() ? std::nullopt : std::optional(kind->second);
}

// Returns the configured objects of one kind, by name.
Json ObjectsOfKind(const Configuration& configuration, const std::string& kind) {
  const Json all = Json::parse(ToJson(configuration));
  Json objects = Json::object();
  for (const Json& object : all.value(kind + "s", Json::array())) {
    objects[object.value("id", "")] = object;
  }
  return objects;
}

// A zone is known if the configuration lists it or if it contains an endpoint. Any other name is
// assumed to be a typing error.
bool IsKnownZone(const Configuration& configuration, const ZoneId& zone) {
  const auto has_zone = [&](const Endpoint& endpoint) { return endpoint.zone == zone; };
  return configuration.zones.contains(zone) ||
         std::any_of(configuration.services.begin(), configuration.services.end(),
                     [&](const auto& entry) {
                       return std::any_of(entry.second.endpoints.begin(),
                                          entry.second.endpoints.end(), has_zone);
                     });
}

// @param object the workspace's fields, or its share alone.
std::optional<ConfigChange> ParseWorkspace(const std::string& name,
                                           Json object,
                                           ConfigErrors* errors) {
  if (!object.is_object()) {
    object = {{"share", object}};
  }
  const Json share = object.value("share", Json(1.0));
  if (!share.is_number() || share.get<double>() <= 0) {
    errors->push_back({"share", "is not a positive number", "a number above 0"});
    return std::nullopt;
  }
  object["id"] = name;
  const Json change = {{"change", "put-workspace"}, {"workspace", object}};
  return ChangeFromJson(change.dump(), errors);
}

std::optional<ConfigChange> ParsePut(const Json& body, ConfigErrors* errors) {
  const std::string kind = body.value("kind", "");
  const std::string name = body.value("name", "");
  Json object = body.value("object", Json());
  if (kind == "workspace") {
    return ParseWorkspace(name, object, errors);
  }
  if (kind == "zone") {
    return jd::Zone{ZoneId(name), ZoneState::kIn};
  }
  if (object.is_object() && !object.contains("id")) {
    object["id"] = name;
  }
  std::optional<ConfigChange> change;
  if (kind == "profile") {
    if (const auto profile = ProfileFromJson(object.dump(), errors)) {
      change = *profile;
    }
  } else if (const auto service = ServiceFromJson(object.dump(), errors)) {
    change = *service;
  }
  if (change && ObjectOf(*change).name != name) {
    errors->push_back({"id", "differs from the name in the command", name});
    return std::nullopt;
  }
  return change;
}

const char* StateName(MemberState state) {
  switch (state) {
    case MemberState::kUnknown:
      return "unknown";
    case MemberState::kOneWay:
      return "one-way";
    case MemberState::kLive:
      return "live";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      break;
  }
  return "dead";
}

const char* ZoneStateName(const ZoneUse& use) {
  switch (use.state) {
    case ZoneState::kIn:
      return "in";
    case ZoneState::kOut:
      return "out";
    case ZoneState::kReturning:
      break;
  }
  return "returning";
}

Json ZonesToJson(const NodeConfig& config) {
  Json zones = Json::object();
  for (const auto& [id, zone] : config.configuration()->zones) {
    const ZoneUse use = config.zones().use(id);
    zones[id.value] = {{"state", ZoneStateName(use)},
                       {"usable", use.usable},
                       {"share", use.share},
                       {"unrecorded", use.unrecorded}};
  }
  return zones;
}

Json LogToJson(const ConfigKeeper& keeper, size_t limit) {
  Json entries = Json::array();
  const auto& history = keeper.history();
  for (size_t i = history.size() - std::min(limit, history.size()); i < history.size(); ++i) {
    entries.push_back(EntryToJson(history[i]));
  }
  return entries;
}

// Returns the sums over the endpoints of an owned pool. The bound is below the number of slots if
// endpoints are cold, limited, ejected or in a zone that is returning to service.
Json PoolStatus(const PoolView& pool, const SlotOwner& owner) {
  int32_t slots = 0;
  int32_t bound = 0;
  int32_t lent = 0;
  for (const EndpointView& endpoint : pool.endpoints) {
    slots += endpoint.slots;
    bound += owner.bound(endpoint.id);
    lent += owner.lent(endpoint.id);
  }
  return {{"pool", pool.id.value}, {"slots", slots}, {"bound", bound}, {"lent", lent}};
}

}  // namespace

Json NodeOperator::StatusBody(bool ready, size_t calls) const {
  const NodeConfig& config = *components_.config;
  Json members = Json::array();
  Json notes = Json::array();
  const NodeSettings& self = *components_.settings;
  members.push_back({{"id", self.id.value},
                     {"address", self.address},
                     {"port", self.peer_port},
                     {"state", "live"},
                     {"version", config.version().value}});
  for (const auto& [id, member] : components_.membership->members()) {
    members.push_back({{"id", id.value},
                       {"address", member.address},
                       {"port", member.port},
                       {"state", StateName(member.state)},
                       {"version", member.version.value}});
    if (member.state != MemberState::kLive) {
      notes.push_back("member " + id.value + " is " + StateName(member.state));
    } else if (member.version != config.version()) {
      notes.push_back("member " + id.value + " uses version " +
                      std::to_string(member.version.value));
    }
  }
  if (config.has_platform() && !config.keeper().store_up()) {
    notes.push_back("the platform's table does not answer; the configuration comes from " +
                    std::string(config.keeper().source() == ConfigSource::kPeers
                                    ? "peers"
                                    : "an earlier read"));
  }
  for (const UnrecordedZone& zone : config.zones().unrecorded()) {
    notes.push_back("zone " + zone.zone.value + " is out by an unrecorded decision of " +
                    zone.author);
  }
  Json pools = Json::array();
  for (const PoolId& id : components_.slots->owned_pools()) {
    pools.push_back(PoolStatus(components_.slots->pools().at(id), components_.slots->owner()));
  }
  return {{"gateway", self.id.value}, {"zone", self.zone.value},
          {"ready", ready},           {"version", config.version().value},
          {"members", members},       {"owned_pools", pools},
          {"calls", calls},           {"notes", notes}};
}

std::optional<OperatorReply> NodeOperator::OnRequest(Now now,
                                                     const OperatorRequest& request,
                                                     bool ready,
                                                     size_t calls,
                                                     NodeConfig::Output* output) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return Refuse(request, "the command's arguments are not a JSON object");
  }
  const std::string& command = request.command;
  if (command == "status") {
    return Reply(request, OperatorStatus::kDone, StatusBody(ready, calls));
  }
  if (command == "timeline") {
    return Reply(request, OperatorStatus::kDone, components_.timeline->Query(body));
  }
  const ConfigurationPtr configuration = components_.config->configuration();
  if (configuration == nullptr) {
    return Refuse(request, "the gateway has no configuration yet");
  }
  if (const std::string zone = body.value("zone", "");
      command == "zone" && !IsKnownZone(*configuration, ZoneId(zone))) {
    return Refuse(request, "no endpoint is in a zone named '" + zone + "'");
  }
  if (command == "put" || command == "zone" || command == "rollback") {
    return StartChange(now, request, body, output);
  }
  if (command == "config-show") {
    return Reply(request, OperatorStatus::kDone, Json::parse(ToJson(*configuration)));
  }
  if (command == "config-log") {
    return Reply(request, OperatorStatus::kDone,
                 LogToJson(components_.config->keeper(), body.value("limit", size_t{20})));
  }
  if (command == "config-diff") {
    const auto from = components_.config->keeper().ConfigurationAt(
        ConfigVersion(body.value("from", uint64_t{0})));
    const auto to =
        components_.config->keeper().ConfigurationAt(ConfigVersion(body.value("to", uint64_t{0})));
    return from && to
               ? Reply(request, OperatorStatus::kDone, Diff(*from, *to))
               : Refuse(request, "'from' or 'to' is not a version in this gateway's history");
  }
  if (command != "list" && command != "show") {
    return Refuse(request, "unknown command '" + command + "'");
  }
  const std::string kind = body.value("kind", "");
  if (command == "list") {
    return Reply(
        request, OperatorStatus::kDone,
        kind == "zone" ? ZonesToJson(*components_.config) : ObjectsOfKind(*configuration, kind));
  }
  const Json objects = ObjectsOfKind(*configuration, kind);
  const std::string name = body.value("name", "");
  return objects.contains(name) ? Reply(request, OperatorStatus::kDone, objects[name])
                                : Refuse(request, "no " + kind + " named '" + name + "'");
}

std::optional<OperatorReply> NodeOperator::StartChange(Now now,
                                                       const OperatorRequest& request,
                                                       const Json& body,
                                                       NodeConfig::Output* output) {
  if (!components_.config->has_platform()) {
    return Refuse(request, "this gateway takes its configuration from its settings file");
  }
  if (request.command == "zone" && body.value("unrecorded", false)) {
    return TakeZoneOut(now, request, body, output);
  }
  WriteRequest write;
  write.author = body.value("author", "operator");
  if (body.contains("base")) {
    write.base = ConfigVersion(body.value("base", uint64_t{0}));
  }
  ConfigErrors errors;
  if (request.command == "zone") {
    // A zone returns to service with a ramp. Each gateway treats the zone as in service when its
    // own ramp has ended, without a further write to the table.
    write.change = jd::Zone{ZoneId(body.value("zone", "")),
                            body.value("out", false) ? ZoneState::kOut : ZoneState::kReturning};
  } else if (request.command == "rollback") {
    const auto kind = KindByName(body.value("kind", ""));
    if (!kind) {
      return Refuse(request, "unknown kind; expected profile, service, workspace or zone");
    }
    write.change = Removal{{*kind, body.value("name", "")}};
    write.rollback_to = ConfigVersion(body.value("version", uint64_t{0}));
  } else {
    const auto change = ParsePut(body, &errors);
    if (!change) {
      return Refuse(request, ErrorText(errors));
    }
    write.change = *change;
  }
  pending_requests_[components_.config->next_operation()] = request.id;
  components_.config->StartWrite(now, std::move(write), Scale(request.timeout, kWriteTimeoutShare),
                                 output);
  return std::nullopt;
}

OperatorReply NodeOperator::TakeZoneOut(Now now,
                                        const OperatorRequest& request,
                                        const Json& body,
                                        NodeConfig::Output* output) {
  if (!body.value("out", false)) {
    return Refuse(request,
                  "an unrecorded decision can take a zone out of service, but not bring it back");
  }
  const HybridTime decided = components_.timeline->clock().Tick(now.wall);
  if (!components_.config->TakeZoneOutUnrecorded(now, ZoneId(body.value("zone", "")), decided,
                                                 body.value("author", "operator"), output)) {
    return Refuse(request, "the zone is out of service already");
  }
  return Reply(
      request, OperatorStatus::kDone,
      {{"unrecorded", true},
       {"note", "in effect through peer messages; recorded when the table answers again"}});
}

std::optional<OperatorReply> NodeOperator::OnWriteFinished(uint64_t operation,
                                                           const WriteResult& result) {
  const auto waiting = pending_requests_.extract(operation);
  if (waiting.empty()) {
    return std::nullopt;
  }
  OperatorRequest request;
  request.id = waiting.mapped();
  switch (result.status) {
    case WriteStatus::kAccepted:
      return Reply(request, OperatorStatus::kDone, {{"version", result.entry->version.value}});
    case WriteStatus::kRefused: {
      Json body = {{"error", ErrorText(result.errors)}};
      if (result.newer) {
        body["newer"] = EntryToJson(*result.newer);
      }
      return Reply(request, OperatorStatus::kRefused, body);
    }
    case WriteStatus::kPending:
    case WriteStatus::kUnknown:
      break;
  }
  return Reply(
      request, OperatorStatus::kUnknown,
      {{"error", "the table did not confirm or reject the change in time; see 'config log'"}});
}

}  // namespace jd
