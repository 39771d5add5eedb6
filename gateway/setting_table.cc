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

// An empty text leaves the address as it is.
void SetSocket(const std::string& text, ListenAddress* address) {
  if (const std::optional<SocketAddress> parsed = ParseSocketAddress(text)) {
    *address = {parsed->address, parsed->port};
  }
}

// Columns: name, kind, unit, least, greatest, choices, default, sentence.

constexpr SettingField<Settings> kGatewayFields[] = {
    {{"id", SettingKind::kName, "", 0, 0, "", nullptr,
      "Name of this gateway, unique among all gateways."},
     [](Settings& object, const SettingValue& value) { object.id.value = value.text; }},
    {{"zone", SettingKind::kName, "", 0, 0, "", nullptr, "Availability zone that the VM is in."},
     [](Settings& object, const SettingValue& value) { object.zone.value = value.text; }},
    {{"policy", SettingKind::kText, "", 0, 0,
      "slots|pooled|round_robin|least_request|reported_load|fresh_load", "\"slots\"",
      "Routing policy: slots lends slots among gateways, fresh_load probes before each call; the "
      "others are baselines for comparison."},
     [](Settings& object, const SettingValue& value) { object.policy = value.text; }},
    {{"log_level", SettingKind::kText, "", 0, 0, "debug|info|warn|error", "\"info\"",
      "Least severe level that is logged."},
     [](Settings& object, const SettingValue& value) { object.log_level = value.text; }},
    {{"event_ring", SettingKind::kInteger, "events", 0, 1000000, "", "4096",
      "Events kept for the time line."},
     [](Settings& object, const SettingValue& value) { object.event_ring = value.integer; }},
    {{"grace_ms", SettingKind::kInteger, "ms", 0, 600000, "", "5000",
      "Time after SIGTERM during which calls are still accepted, so that the balancer can notice "
      "that the gateway is not ready."},
     [](Settings& object, const SettingValue& value) {
       object.grace = std::chrono::milliseconds(value.integer);
     }},
    {{"seed", SettingKind::kInteger, "", 0, 9007199254740992, "", "0",
      "Seed of random decisions; 0 takes one from the system."},
     [](Settings& object, const SettingValue& value) { object.seed = value.integer; }},
};

// The fields of a server's section. @param sentence for the address. @param port by default.
constexpr std::array<SettingField<ListenAddress>, 3> ListenFields(const char* sentence,
                                                                  const char* port) {
  return {{
      {{"address", SettingKind::kAddress, "", 0, 0, "", "\"127.0.0.1\"", sentence},
       [](ListenAddress& object, const SettingValue& value) { object.address = value.text; }},
      {{"port", SettingKind::kInteger, "", 0, 65535, "", port,
        "Port to listen on; 0 lets the system choose."},
       [](ListenAddress& object, const SettingValue& value) {
         object.port = static_cast<uint16_t>(value.integer);
       }},
      {{"listen", SettingKind::kSocket, "", 0, 0, "", "\"\"",
        "Both of the above in one, as \"IP:PORT\"; if given, it replaces them."},
       [](ListenAddress& object, const SettingValue& value) { SetSocket(value.text, &object); }},
  }};
}

constexpr auto kCallersFields = ListenFields("IP number to listen on for callers.", "7001");
constexpr auto kStatusFields =
    ListenFields("IP number to listen on for /ready, /live and /metrics.", "7002");

constexpr SettingField<Settings> kPeersFields[] = {
    {{"address", SettingKind::kAddress, "", 0, 0, "", "\"127.0.0.1\"",
      "IP number to listen on for other gateways and operators, and that they are told."},
     [](Settings& object, const SettingValue& value) { object.peers.address = value.text; }},
    {{"port", SettingKind::kInteger, "", 0, 65535, "", "7003",
      "Port to listen on; 0 lets the system choose."},
     [](Settings& object, const SettingValue& value) {
       object.peers.port = static_cast<uint16_t>(value.integer);
     }},
    {{"shared_key", SettingKind::kText, "", 16, 0, "", nullptr,
      "Secret that all gateways and operators share."},
     [](Settings& object, const SettingValue& value) { object.shared_key = value.text; }},
    {{"added_delay_us", SettingKind::kInteger, "us", 0, 1000000, "", "0",
      "Delay added to each message to a peer, to rehearse the distance between zones on one "
      "machine."},
     [](Settings& object, const SettingValue& value) {
       object.peer_delay = Duration(value.integer);
     }},
};

constexpr SettingField<PeerSeed> kSeedFields[] = {
    {{"id", SettingKind::kName, "", 0, 0, "", nullptr, "Name of another gateway."},
     [](PeerSeed& object, const SettingValue& value) { object.id.value = value.text; }},
    {{"zone", SettingKind::kName, "", 0, 0, "", nullptr, "Its availability zone."},
     [](PeerSeed& object, const SettingValue& value) { object.zone.value = value.text; }},
    {{"address", SettingKind::kAddress, "", 0, 0, "", nullptr, "Its IP number."},
     [](PeerSeed& object, const SettingValue& value) { object.address = value.text; }},
    {{"port", SettingKind::kInteger, "", 1, 65535, "", nullptr, "Its port for peers."},
     [](PeerSeed& object, const SettingValue& value) {
       object.port = static_cast<uint16_t>(value.integer);
     }},
};

constexpr SettingField<Settings> kPlatformFields[] = {
    {{"address", SettingKind::kAddress, "", 0, 0, "", "\"\"",
      "IP number of the platform's table and VM list."},
     [](Settings& object, const SettingValue& value) { object.platform.address = value.text; }},
    {{"port", SettingKind::kInteger, "", 1, 65535, "", "0", "Its port."},
     [](Settings& object, const SettingValue& value) {
       object.platform.port = static_cast<uint16_t>(value.integer);
     }},
    {{"server", SettingKind::kSocket, "", 0, 0, "", "\"\"",
      "Both of the above in one, as \"IP:PORT\"; if given, it replaces them."},
     [](Settings& object, const SettingValue& value) { SetSocket(value.text, &object.platform); }},
    {{"source", SettingKind::kText, "", 0, 0, "log|discovery", "\"log\"",
      "Where configuration and endpoints come from: the gateways' own configuration log, or what "
      "operators and upstreams write to the platform's store."},
     [](Settings& object, const SettingValue& value) {
       object.discovery = value.text == "discovery";
     }},
};

constexpr SettingField<Settings> kRetriesFields[] = {
    {{"share", SettingKind::kNumber, "", 0, 1, "", "0",
      "Greatest share of a service's calls that all gateways together send again in any window; 0 "
      "leaves it to each profile's retry_budget."},
     [](Settings& object, const SettingValue& value) { object.retry_share = value.number; }},
    {{"window_s", SettingKind::kInteger, "s", 1, 3600, "", "10", "Length of that window."},
     [](Settings& object, const SettingValue& value) {
       object.retry_window = std::chrono::seconds(value.integer);
     }},
};

constexpr SettingField<Settings> kProbesFields[] = {
    {{"per_second", SettingKind::kNumber, "probes", 0, 100000, "", "0",
      "Health pages that all gateways together ask an endpoint for in a second, on average over "
      "the "
      "endpoints of a service; 0 sets no bound. Only the policy fresh_load keeps it."},
     [](Settings& object, const SettingValue& value) { object.probe_rate = value.number; }},
};

constexpr SettingField<Limits> kLimitsFields[] = {
    {{"header_bytes", SettingKind::kInteger, "bytes", 1024, 1048576, "", "65536",
      "Longest header of a request or response."},
     [](Limits& object, const SettingValue& value) { object.header_bytes = value.integer; }},
    {{"body_bytes", SettingKind::kInteger, "bytes", 0, 1073741824, "", "4194304",
      "Longest body of a request."},
     [](Limits& object, const SettingValue& value) { object.body_bytes = value.integer; }},
    {{"response_bytes", SettingKind::kInteger, "bytes", 1024, 1073741824, "", "16777216",
      "Longest body of a response."},
     [](Limits& object, const SettingValue& value) { object.response_bytes = value.integer; }},
    {{"idle_connections", SettingKind::kInteger, "connections", 0, 1000000, "", "10000",
      "Idle connections of callers that are kept; the longest idle are closed first."},
     [](Limits& object, const SettingValue& value) { object.idle_connections = value.integer; }},
    {{"idle_timeout_ms", SettingKind::kInteger, "ms", 10, 86400000, "", "60000",
      "Time after which an idle connection of a caller is closed; also the longest time that a "
      "caller may take no byte of an answer."},
     [](Limits& object, const SettingValue& value) {
       object.idle_timeout = std::chrono::milliseconds(value.integer);
     }},
    {{"header_timeout_ms", SettingKind::kInteger, "ms", 10, 86400000, "", "10000",
      "Time for the header of a request to arrive whole."},
     [](Limits& object, const SettingValue& value) {
       object.header_timeout = std::chrono::milliseconds(value.integer);
     }},
    {{"body_timeout_ms", SettingKind::kInteger, "ms", 10, 86400000, "", "30000",
      "Time for the body of a request to arrive whole."},
     [](Limits& object, const SettingValue& value) {
       object.body_timeout = std::chrono::milliseconds(value.integer);
     }},
};

constexpr SettingField<WorkspaceSetting> kWorkspaceFields[] = {
    {{"id", SettingKind::kName, "", 0, 0, "", nullptr,
      "Name of the workspace, as callers send it in x-workspace."},
     [](WorkspaceSetting& object, const SettingValue& value) { object.id.value = value.text; }},
    {{"share", SettingKind::kNumber, "", 0.001, 1000, "", "1.0",
      "Default weight of the workspace in each service."},
     [](WorkspaceSetting& object, const SettingValue& value) { object.share = value.number; }},
};

constexpr SettingField<Profile> kProfileFields[] = {
    {{"id", SettingKind::kName, "", 0, 0, "", nullptr,
      "Name of the profile, by which services choose it."},
     [](Profile& object, const SettingValue& value) { object.id.value = value.text; }},
    {{"idempotent_methods", SettingKind::kTexts, "", 0, 0, "", "[\"GET\", \"HEAD\", \"OPTIONS\"]",
      "Methods whose requests may run more than once."},
     [](Profile& object, const SettingValue& value) { object.idempotent_methods = value.texts; }},
    {{"idempotent_paths", SettingKind::kTexts, "", 0, 0, "", "[]",
      "Path prefixes whose requests may run more than once, whatever the method."},
     [](Profile& object, const SettingValue& value) { object.idempotent_paths = value.texts; }},
    {{"deadline_ms", SettingKind::kInteger, "ms", 1, 86400000, "", "2000",
      "Longest time of a call."},
     [](Profile& object, const SettingValue& value) {
       object.deadline = std::chrono::milliseconds(value.integer);
     }},
    {{"max_attempts", SettingKind::kInteger, "attempts", 1, 10, "", "3",
      "Attempts that a call may take."},
     [](Profile& object, const SettingValue& value) {
       object.max_attempts = static_cast<int32_t>(value.integer);
     }},
    {{"hedge", SettingKind::kFlag, "", 0, 0, "", "false",
      "Sends a second attempt of an idempotent call that takes long."},
     [](Profile& object, const SettingValue& value) { object.hedge = value.flag; }},
    {{"hedge_after_ms", SettingKind::kInteger, "ms", 1, 86400000, "", "50",
      "Time after which the second attempt is sent."},
     [](Profile& object, const SettingValue& value) {
       object.hedge_after = std::chrono::milliseconds(value.integer);
     }},
    {{"retry_budget", SettingKind::kNumber, "", 0, 1, "", "0.1",
      "Retries and hedges as a share of recent calls."},
     [](Profile& object, const SettingValue& value) { object.retry_budget = value.number; }},
    {{"request_key_header", SettingKind::kText, "", 0, 0, "", "\"\"",
      "Header that carries a request key; empty: none."},
     [](Profile& object, const SettingValue& value) { object.request_key_header = value.text; }},
    {{"priority", SettingKind::kText, "", 0, 0, "low|normal|high", "\"normal\"",
      "Order of waiting calls."},
     [](Profile& object, const SettingValue& value) {
       object.priority = ParsePriority(value.text);
     }},
    {{"max_queue", SettingKind::kInteger, "calls", 0, 100000, "", "256",
      "Calls of a service that may wait at one gateway."},
     [](Profile& object, const SettingValue& value) {
       object.max_queue = static_cast<int32_t>(value.integer);
     }},
};

constexpr SettingField<Zone> kZoneFields[] = {
    {{"id", SettingKind::kName, "", 0, 0, "", nullptr, "Name of the availability zone."},
     [](Zone& object, const SettingValue& value) { object.id.value = value.text; }},
    {{"state", SettingKind::kText, "", 0, 0, "in|out", "\"in\"",
      "Whether its endpoints receive new work."},
     [](Zone& object, const SettingValue& value) {
       object.state = value.text == "out" ? ZoneState::kOut : ZoneState::kIn;
     }},
};

constexpr SettingField<Service> kServiceFields[] = {
    {{"id", SettingKind::kName, "", 0, 0, "", nullptr,
      "Name of the service, as callers send it in x-service."},
     [](Service& object, const SettingValue& value) { object.id.value = value.text; }},
    {{"profile", SettingKind::kName, "", 0, 0, "", nullptr,
      "Profile that defines how its traffic is handled."},
     [](Service& object, const SettingValue& value) { object.profile.value = value.text; }},
    {{"probe_share", SettingKind::kNumber, "", 0, 0.1, "", "0.005",
      "Measuring budget as a share of slot time."},
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
    {{"health_path", SettingKind::kText, "", 1, 0, "", "\"/health\"", "Path of the health page."},
     [](Service& object, const SettingValue& value) { object.health_path = value.text; }},
};

constexpr SettingField<WorkspaceShare> kShareFields[] = {
    {{"workspace", SettingKind::kName, "", 0, 0, "", nullptr,
      "Workspace that the share belongs to."},
     [](WorkspaceShare& object, const SettingValue& value) {
       object.workspace.value = value.text;
     }},
    {{"share", SettingKind::kNumber, "", 0.001, 1000, "", nullptr, "Its weight in this service."},
     [](WorkspaceShare& object, const SettingValue& value) { object.share = value.number; }},
};

constexpr SettingField<Endpoint> kEndpointFields[] = {
    {{"id", SettingKind::kName, "", 0, 0, "", nullptr,
      "Name of the endpoint, unique over all services."},
     [](Endpoint& object, const SettingValue& value) { object.id.value = value.text; }},
    {{"zone", SettingKind::kName, "", 0, 0, "", nullptr, "Availability zone that it runs in."},
     [](Endpoint& object, const SettingValue& value) { object.zone.value = value.text; }},
    {{"address", SettingKind::kAddress, "", 0, 0, "", nullptr, "Its IP number."},
     [](Endpoint& object, const SettingValue& value) { object.address = value.text; }},
    {{"port", SettingKind::kInteger, "", 1, 65535, "", nullptr, "Its port."},
     [](Endpoint& object, const SettingValue& value) {
       object.port = static_cast<uint16_t>(value.integer);
     }},
    {{"slots", SettingKind::kInteger, "requests", 1, 100000, "", "1",
      "Requests that it serves at the same time."},
     [](Endpoint& object, const SettingValue& value) {
       object.slots = static_cast<int32_t>(value.integer);
     }},
    {{"max_connections", SettingKind::kInteger, "connections", 1, 100000, "", "64",
      "Connections that each gateway may hold to it."},
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

std::span<const SettingField<WorkspaceSetting>> WorkspaceFields() {
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
