#include "gateway/setting_table.h"

#include <array>

#include "common/text_rules.h"

namespace jd {
namespace {

Priority ParsePriority(const std::string& text) {
  if (text == "low") {
    return Priority::kLow;
  }
  return text == "high" ? Priority::kHigh : Priority::kNormal;
}

// Parses "IP:PORT" into an address. An empty string leaves the address unchanged.
void SetSocket(const std::string& text, ListenAddress* address) {
  if (const std::optional<SocketAddress> parsed = ParseSocketAddress(text)) {
    *address = {parsed->address, parsed->port};
  }
}

// The columns are those of SettingRule: name, kind, unit, minimum, maximum, choices, default, and
// the description that documents the setting.

constexpr SettingField<Settings> kGatewayFields[] = {
    {{"id", SettingKind::kName, "", 0, 0, "", nullptr,
      "Name of this gateway, unique among all gateways."},
     [](Settings& object, const SettingValue& value) { object.id.value = value.string; }},
    {{"zone", SettingKind::kName, "", 0, 0, "", nullptr,
      "Availability zone of the VM that the gateway runs on."},
     [](Settings& object, const SettingValue& value) { object.zone.value = value.string; }},
    {{"policy", SettingKind::kString, "", 0, 0,
      "slots|pooled|round_robin|least_request|reported_load|fresh_load", "\"slots\"",
      "Routing policy: with slots, gateways lend each other the endpoints' slots; fresh_load "
      "probes endpoints for their load before each call; the others are baselines for comparison."},
     [](Settings& object, const SettingValue& value) { object.policy = value.string; }},
    {{"log_level", SettingKind::kString, "", 0, 0, "debug|info|warn|error", "\"info\"",
      "Lowest severity that is logged."},
     [](Settings& object, const SettingValue& value) { object.log_level = value.string; }},
    {{"event_ring", SettingKind::kInteger, "events", 0, 1000000, "", "4096",
      "Number of recent events kept for the timeline."},
     [](Settings& object, const SettingValue& value) { object.event_capacity = value.integer; }},
    {{"grace_ms", SettingKind::kInteger, "ms", 0, 600000, "", "5000",
      "Time after SIGTERM during which new calls are still accepted, so that the balancer in "
      "front of the gateways can detect that the gateway is not ready."},
     [](Settings& object, const SettingValue& value) {
       object.grace_period = std::chrono::milliseconds(value.integer);
     }},
    {{"stop_limit_s", SettingKind::kNumber, "s", 0, 3600, "", "0",
      "Time after SIGTERM after which the platform kills the process. New calls are accepted in "
      "its first half at most, and every call is answered before its end. 0: no limit."},
     [](Settings& object, const SettingValue& value) {
       object.stop_limit = Scale(1s, value.number);
     }},
    {{"seed", SettingKind::kInteger, "", 0, 9007199254740992, "", "0",
      "Seed of the random number generator; 0 uses a random seed from the system."},
     [](Settings& object, const SettingValue& value) { object.random_seed = value.integer; }},
};

// Returns the settings of a section that defines the address and port of a listening socket.
// @param description documents the address. @param port default port.
constexpr std::array<SettingField<ListenAddress>, 3> ListenFields(const char* description,
                                                                  const char* port) {
  return {{
      {{"address", SettingKind::kAddress, "", 0, 0, "", "\"127.0.0.1\"", description},
       [](ListenAddress& object, const SettingValue& value) { object.address = value.string; }},
      {{"port", SettingKind::kInteger, "", 0, 65535, "", port,
        "Port to listen on; 0 lets the system choose."},
       [](ListenAddress& object, const SettingValue& value) {
         object.port = static_cast<uint16_t>(value.integer);
       }},
      {{"listen", SettingKind::kSocket, "", 0, 0, "", "\"\"",
        "Address and port in one setting, as \"IP:PORT\"; if given, it replaces both."},
       [](ListenAddress& object, const SettingValue& value) { SetSocket(value.string, &object); }},
  }};
}

constexpr auto kCallersFields = ListenFields("IP address to listen on for callers.", "7001");
constexpr auto kStatusFields =
    ListenFields("IP address to listen on for /ready, /live and /metrics.", "7002");

constexpr SettingField<Settings> kPeersFields[] = {
    {{"address", SettingKind::kAddress, "", 0, 0, "", "\"127.0.0.1\"",
      "IP address to listen on for other gateways and operators, and which is announced to them."},
     [](Settings& object, const SettingValue& value) { object.peers.address = value.string; }},
    {{"port", SettingKind::kInteger, "", 0, 65535, "", "7003",
      "Port to listen on; 0 lets the system choose."},
     [](Settings& object, const SettingValue& value) {
       object.peers.port = static_cast<uint16_t>(value.integer);
     }},
    {{"shared_key", SettingKind::kString, "", 16, 0, "", nullptr,
      "Secret key that all gateways and operators share and authenticate with."},
     [](Settings& object, const SettingValue& value) { object.shared_key = value.string; }},
    {{"accepted_key", SettingKind::kString, "", 16, 0, "", "\"\"",
      "Another key that is accepted from gateways and operators while the shared key is replaced."},
     [](Settings& object, const SettingValue& value) { object.accepted_key = value.string; }},
    {{"added_delay_us", SettingKind::kInteger, "us", 0, 1000000, "", "0",
      "Delay added to each message to a peer, to simulate the latency between zones on one "
      "machine."},
     [](Settings& object, const SettingValue& value) {
       object.added_peer_delay = Duration(value.integer);
     }},
};

constexpr SettingField<PeerSeed> kSeedFields[] = {
    {{"id", SettingKind::kName, "", 0, 0, "", nullptr, "Name of another gateway."},
     [](PeerSeed& object, const SettingValue& value) { object.id.value = value.string; }},
    {{"zone", SettingKind::kName, "", 0, 0, "", nullptr, "Availability zone of that gateway."},
     [](PeerSeed& object, const SettingValue& value) { object.zone.value = value.string; }},
    {{"address", SettingKind::kAddress, "", 0, 0, "", nullptr, "IP address of that gateway."},
     [](PeerSeed& object, const SettingValue& value) { object.address = value.string; }},
    {{"port", SettingKind::kInteger, "", 1, 65535, "", nullptr, "Port of that gateway for peers."},
     [](PeerSeed& object, const SettingValue& value) {
       object.port = static_cast<uint16_t>(value.integer);
     }},
};

constexpr SettingField<Settings> kPlatformFields[] = {
    {{"address", SettingKind::kAddress, "", 0, 0, "", "\"\"",
      "IP address of the platform's server for its table and VM list."},
     [](Settings& object, const SettingValue& value) { object.platform.address = value.string; }},
    {{"port", SettingKind::kInteger, "", 1, 65535, "", "0", "Port of that server."},
     [](Settings& object, const SettingValue& value) {
       object.platform.port = static_cast<uint16_t>(value.integer);
     }},
    {{"server", SettingKind::kSocket, "", 0, 0, "", "\"\"",
      "Address and port in one setting, as \"IP:PORT\"; if given, it replaces both."},
     [](Settings& object, const SettingValue& value) {
       SetSocket(value.string, &object.platform);
     }},
    {{"source", SettingKind::kString, "", 0, 0, "log|discovery", "\"log\"",
      "Source of the configuration and the endpoints: log is the configuration log that the "
      "gateways keep themselves; with discovery, operators and upstreams write both to the "
      "platform's store."},
     [](Settings& object, const SettingValue& value) {
       object.uses_discovery = value.string == "discovery";
     }},
    {{"new_deployment", SettingKind::kBool, "", 0, 0, "", "false",
      "Whether all gateways of the deployment start for the first time. They then spread their "
      "first reads over a few seconds and pass on what they have read. Applies to the source "
      "discovery."},
     [](Settings& object, const SettingValue& value) { object.new_deployment = value.boolean; }},
};

constexpr SettingField<Settings> kRetriesFields[] = {
    {{"share", SettingKind::kNumber, "", 0, 1, "", "0",
      "Largest share of a service's calls that all gateways together may retry or hedge in any "
      "window; with 0 only the retry_budget of each profile applies."},
     [](Settings& object, const SettingValue& value) { object.retry_share = value.number; }},
    {{"window_s", SettingKind::kInteger, "s", 1, 3600, "", "10",
      "Length of the window that share refers to."},
     [](Settings& object, const SettingValue& value) {
       object.retry_window = std::chrono::seconds(value.integer);
     }},
};

constexpr SettingField<Settings> kProbesFields[] = {
    {{"per_second", SettingKind::kNumber, "probes", 0, 100000, "", "0",
      "Largest number of probes that all gateways together send to an endpoint per second, on "
      "average over the endpoints of a service; 0 sets no limit. Only the policy fresh_load "
      "applies this limit."},
     [](Settings& object, const SettingValue& value) { object.probe_rate = value.number; }},
};

constexpr SettingField<Limits> kLimitsFields[] = {
    {{"header_bytes", SettingKind::kInteger, "bytes", 1024, 1048576, "", "65536",
      "Largest header of a request or response."},
     [](Limits& object, const SettingValue& value) { object.header_bytes = value.integer; }},
    {{"body_bytes", SettingKind::kInteger, "bytes", 0, 1073741824, "", "4194304",
      "Largest body of a request."},
     [](Limits& object, const SettingValue& value) { object.body_bytes = value.integer; }},
    {{"response_bytes", SettingKind::kInteger, "bytes", 1024, 1073741824, "", "16777216",
      "Largest body of a response."},
     [](Limits& object, const SettingValue& value) { object.response_bytes = value.integer; }},
    {{"memory_mb", SettingKind::kNumber, "MB", 16, 1048576, "", "256",
      "Memory of the VM that the process may use. An eighth of it is for incomplete responses of "
      "upstreams; beyond that the large ones among them fail."},
     [](Limits& object, const SettingValue& value) { object.memory_mb = value.number; }},
    {{"idle_connections", SettingKind::kInteger, "connections", 0, 1000000, "", "10000",
      "Idle connections of callers that are kept open; above this number, the connections that "
      "have been idle longest are closed first."},
     [](Limits& object, const SettingValue& value) { object.idle_connections = value.integer; }},
    {{"idle_timeout_ms", SettingKind::kInteger, "ms", 10, 86400000, "", "60000",
      "Time after which an idle connection of a caller is closed; also the longest time for "
      "which a caller may read no byte of an answer before its connection is closed."},
     [](Limits& object, const SettingValue& value) {
       object.idle_timeout = std::chrono::milliseconds(value.integer);
     }},
    {{"header_timeout_ms", SettingKind::kInteger, "ms", 10, 86400000, "", "10000",
      "Time within which the whole header of a request must arrive."},
     [](Limits& object, const SettingValue& value) {
       object.header_timeout = std::chrono::milliseconds(value.integer);
     }},
    {{"body_timeout_ms", SettingKind::kInteger, "ms", 10, 86400000, "", "30000",
      "Time within which the whole body of a request must arrive."},
     [](Limits& object, const SettingValue& value) {
       object.body_timeout = std::chrono::milliseconds(value.integer);
     }},
};

constexpr SettingField<Workspace> kWorkspaceFields[] = {
    {{"id", SettingKind::kName, "", 0, 0, "", nullptr,
      "Name of the workspace, as callers send it in x-workspace."},
     [](Workspace& object, const SettingValue& value) { object.id.value = value.string; }},
    {{"share", SettingKind::kNumber, "", 0.001, 1000, "", "1.0",
      "Default weight of the workspace in each service."},
     [](Workspace& object, const SettingValue& value) { object.share = value.number; }},
    {{"keys", SettingKind::kStringList, "", 0, 0, "", "[]",
      "Keys that the workspace's callers send as 'Authorization: Bearer KEY'. If any workspace has "
      "a key, every call needs one and x-workspace is ignored."},
     [](Workspace& object, const SettingValue& value) { object.keys = value.string_list; }},
    {{"priority", SettingKind::kString, "", 0, 0, "low|normal|high", "\"normal\"",
      "Priority of the workspace's calls; goes before that of the profile."},
     [](Workspace& object, const SettingValue& value) {
       object.priority = ParsePriority(value.string);
     }},
    {{"quota_per_second", SettingKind::kNumber, "calls/s", 0, 1e9, "", "0",
      "Calls per second of the workspace, by all gateways together; 0: no limit."},
     [](Workspace& object, const SettingValue& value) { object.quota_per_second = value.number; }},
    {{"quota_burst", SettingKind::kNumber, "calls", 0, 1e9, "", "0",
      "Calls beyond the quota that may be sent at once."},
     [](Workspace& object, const SettingValue& value) { object.quota_burst = value.number; }},
};

constexpr SettingField<Profile> kProfileFields[] = {
    {{"id", SettingKind::kName, "", 0, 0, "", nullptr,
      "Name of the profile, which services refer to."},
     [](Profile& object, const SettingValue& value) { object.id.value = value.string; }},
    {{"idempotent_methods", SettingKind::kStringList, "", 0, 0, "",
      "[\"GET\", \"HEAD\", \"OPTIONS\"]", "Methods whose requests may run more than once."},
     [](Profile& object, const SettingValue& value) {
       object.idempotent_methods = value.string_list;
     }},
    {{"idempotent_paths", SettingKind::kStringList, "", 0, 0, "", "[]",
      "Path prefixes whose requests may run more than once, whatever the method."},
     [](Profile& object, const SettingValue& value) {
       object.idempotent_paths = value.string_list;
     }},
    {{"deadline_ms", SettingKind::kInteger, "ms", 1, 86400000, "", "2000",
      "Time within which a call must be answered."},
     [](Profile& object, const SettingValue& value) {
       object.deadline = std::chrono::milliseconds(value.integer);
     }},
    {{"max_attempts", SettingKind::kInteger, "attempts", 1, 10, "", "3",
      "Largest number of attempts for one call."},
     [](Profile& object, const SettingValue& value) {
       object.max_attempts = static_cast<int32_t>(value.integer);
     }},
    {{"hedge", SettingKind::kBool, "", 0, 0, "", "false",
      "Whether a second attempt is sent for an idempotent call whose first attempt takes long."},
     [](Profile& object, const SettingValue& value) { object.hedge = value.boolean; }},
    {{"hedge_after_ms", SettingKind::kInteger, "ms", 1, 86400000, "", "50",
      "Time after which the second attempt of a hedged call is sent."},
     [](Profile& object, const SettingValue& value) {
       object.hedge_after = std::chrono::milliseconds(value.integer);
     }},
    {{"retry_budget", SettingKind::kNumber, "", 0, 1, "", "0.1",
      "Largest number of retries and hedges, as a share of recent calls."},
     [](Profile& object, const SettingValue& value) { object.retry_budget = value.number; }},
    {{"request_key_header", SettingKind::kString, "", 0, 0, "", "\"\"",
      "Request header that carries the request key; if empty, requests have no key."},
     [](Profile& object, const SettingValue& value) { object.request_key_header = value.string; }},
    {{"priority", SettingKind::kString, "", 0, 0, "low|normal|high", "\"normal\"",
      "Priority of calls that wait in the queue."},
     [](Profile& object, const SettingValue& value) {
       object.priority = ParsePriority(value.string);
     }},
    {{"max_queue", SettingKind::kInteger, "calls", 0, 100000, "", "256",
      "Largest number of calls of a service that may wait at one gateway."},
     [](Profile& object, const SettingValue& value) {
       object.max_queue = static_cast<int32_t>(value.integer);
     }},
};

constexpr SettingField<Zone> kZoneFields[] = {
    {{"id", SettingKind::kName, "", 0, 0, "", nullptr, "Name of the availability zone."},
     [](Zone& object, const SettingValue& value) { object.id.value = value.string; }},
    {{"state", SettingKind::kString, "", 0, 0, "in|out", "\"in\"",
      "Whether the endpoints in the zone receive new calls."},
     [](Zone& object, const SettingValue& value) {
       object.state = value.string == "out" ? ZoneState::kOut : ZoneState::kIn;
     }},
};

constexpr SettingField<Service> kServiceFields[] = {
    {{"id", SettingKind::kName, "", 0, 0, "", nullptr,
      "Name of the service, as callers send it in x-service."},
     [](Service& object, const SettingValue& value) { object.id.value = value.string; }},
    {{"profile", SettingKind::kName, "", 0, 0, "", nullptr,
      "Profile that defines how its traffic is handled."},
     [](Service& object, const SettingValue& value) { object.profile.value = value.string; }},
    {{"probe_share", SettingKind::kNumber, "", 0, 0.1, "", "0.005",
      "Largest share of slot time that probes may take."},
     [](Service& object, const SettingValue& value) { object.probe_share = value.number; }},
    {{"probe_cost_us", SettingKind::kInteger, "microseconds", 0, 10000000, "", "1000",
      "Slot time that one probe takes."},
     [](Service& object, const SettingValue& value) {
       object.probe_cost = Duration(value.integer);
     }},
    {{"connect_cost_us", SettingKind::kInteger, "microseconds", 0, 10000000, "", "1000",
      "Slot time that a new connection takes."},
     [](Service& object, const SettingValue& value) {
       object.connect_cost = Duration(value.integer);
     }},
    {{"health_path", SettingKind::kString, "", 1, 0, "", "\"/health\"",
      "Path of the endpoints' health page."},
     [](Service& object, const SettingValue& value) { object.health_path = value.string; }},
};

constexpr SettingField<WorkspaceShare> kShareFields[] = {
    {{"workspace", SettingKind::kName, "", 0, 0, "", nullptr,
      "Workspace that the weight applies to."},
     [](WorkspaceShare& object, const SettingValue& value) {
       object.workspace.value = value.string;
     }},
    {{"share", SettingKind::kNumber, "", 0.001, 1000, "", nullptr,
      "Weight of the workspace in this service."},
     [](WorkspaceShare& object, const SettingValue& value) { object.share = value.number; }},
};

constexpr SettingField<Endpoint> kEndpointFields[] = {
    {{"id", SettingKind::kName, "", 0, 0, "", nullptr,
      "Name of the endpoint, unique among the endpoints of all services."},
     [](Endpoint& object, const SettingValue& value) { object.id.value = value.string; }},
    {{"zone", SettingKind::kName, "", 0, 0, "", nullptr,
      "Availability zone that the endpoint runs in."},
     [](Endpoint& object, const SettingValue& value) { object.zone.value = value.string; }},
    {{"address", SettingKind::kAddress, "", 0, 0, "", nullptr, "IP address of the endpoint."},
     [](Endpoint& object, const SettingValue& value) { object.address = value.string; }},
    {{"port", SettingKind::kInteger, "", 1, 65535, "", nullptr, "Port of the endpoint."},
     [](Endpoint& object, const SettingValue& value) {
       object.port = static_cast<uint16_t>(value.integer);
     }},
    {{"slots", SettingKind::kInteger, "requests", 1, 100000, "", "1",
      "Number of requests that the endpoint serves at the same time."},
     [](Endpoint& object, const SettingValue& value) {
       object.slots = static_cast<int32_t>(value.integer);
     }},
    {{"max_connections", SettingKind::kInteger, "connections", 1, 100000, "", "64",
      "Largest number of connections that each gateway may hold to the endpoint."},
     [](Endpoint& object, const SettingValue& value) {
       object.max_connections = static_cast<int32_t>(value.integer);
     }},
};

}  // namespace

std::span<const SettingField<Settings>> GatewayFields() {
  return kGatewayFields;
}

std::span<const SettingField<ListenAddress>> CallersFields() {
  return kCallersFields;
}

std::span<const SettingField<ListenAddress>> StatusFields() {
  return kStatusFields;
}

std::span<const SettingField<Settings>> PeersFields() {
  return kPeersFields;
}

std::span<const SettingField<PeerSeed>> SeedFields() {
  return kSeedFields;
}

std::span<const SettingField<Settings>> PlatformFields() {
  return kPlatformFields;
}

std::span<const SettingField<Settings>> RetriesFields() {
  return kRetriesFields;
}

std::span<const SettingField<Settings>> ProbesFields() {
  return kProbesFields;
}

std::span<const SettingField<Limits>> LimitsFields() {
  return kLimitsFields;
}

std::span<const SettingField<Workspace>> WorkspaceFields() {
  return kWorkspaceFields;
}

std::span<const SettingField<Profile>> ProfileFields() {
  return kProfileFields;
}

std::span<const SettingField<Zone>> ZoneFields() {
  return kZoneFields;
}

std::span<const SettingField<Service>> ServiceFields() {
  return kServiceFields;
}

std::span<const SettingField<WorkspaceShare>> ShareFields() {
  return kShareFields;
}

std::span<const SettingField<Endpoint>> EndpointFields() {
  return kEndpointFields;
}

}  // namespace jd
