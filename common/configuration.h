#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// One upstream server process of a service.
struct Endpoint {
  EndpointId id;
  ZoneId zone;
  std::string address;  ///< IP address.
  uint16_t port = 0;
  int32_t slots = 1;            ///< Number of requests that the endpoint can process concurrently.
  int32_t max_connections = 0;  ///< Limit of connections from one gateway; 0: no limit.
  /// The run of the upstream process that may serve the requests; empty if any run may. Needed
  /// because the address may be reassigned to another upstream process.
  InstanceId instance = {};
  SoftwareVersion version = {};  ///< Empty if it is not known.
  /// The run of the upstream process: its start time in milliseconds of wall time; 0: not known.
  Incarnation run = {};
  bool operator==(const Endpoint&) const = default;
};

/// Priority of a call: waiting calls of a higher priority are dispatched first.
enum class Priority : uint8_t { kLow = 0, kNormal = 1, kHigh = 2 };

/// A workspace, as operators write it.
struct Workspace {
  WorkspaceId id;
  /// Default share, which applies to each service that lists no share for the workspace.
  double share = 1.0;
  /// Keys by which the workspace's callers identify themselves. If any workspace has a key, every
  /// call needs one.
  std::vector<std::string> keys = {};
  Priority priority = Priority::kNormal;  ///< Goes before the priority of the profile.
  double quota_per_second = 0;  ///< Calls per second, by all gateways together; 0: no limit.
  double quota_burst = 0;       ///< Calls beyond the rate that may be sent at once.
  bool operator==(const Workspace&) const = default;
};

/// The share of a service's capacity that a workspace may use while the service is overloaded.
struct WorkspaceShare {
  WorkspaceId workspace;
  double share = 1.0;  ///< Weight relative to the other workspaces.
  bool operator==(const WorkspaceShare&) const = default;
};

/// A named group of endpoints that serve the same requests.
struct Service {
  ServiceId id;
  ProfileId profile;
  std::vector<Endpoint> endpoints;
  std::vector<WorkspaceShare> shares;
  double probe_share = 0.005;   ///< Probing budget as a share of slot time, from 0 to 0.1.
  Duration probe_cost = 1ms;    ///< Slot time that one probe takes.
  Duration connect_cost = 1ms;  ///< Slot time that opening a connection takes.
  std::string health_path = "/health";
  /// Limit of connections from one gateway to one endpoint; 0: no limit.
  int32_t max_connections_per_endpoint = 0;
  /// Calls per second that a cold endpoint can process, from all gateways together; 0 if unknown.
  double cold_calls_per_second = 0;
  bool operator==(const Service&) const = default;
};

/// Retry, hedging, deadline and queueing rules for the calls of a service. Operators write
/// profiles, and each service refers to one by name.
struct Profile {
  ProfileId id;
  /// Methods of requests that may be executed more than once.
  std::vector<std::string> idempotent_methods = {"GET", "HEAD", "OPTIONS"};
  /// Path prefixes of requests that may be executed more than once, whatever their method.
  std::vector<std::string> idempotent_paths;
  Duration deadline = 2s;
  /// Latency within which a response is most valuable to its caller; 0 if unknown.
  Duration target_latency{0};
  int32_t max_attempts = 3;
  bool hedge = false;
  Duration hedge_after = 50ms;
  /// Limit of retries and hedges as a share of recent calls.
  double retry_budget = 0.1;
  /// Name of the request header that holds the idempotency key; empty if requests carry no key.
  std::string request_key_header;
  Priority priority = Priority::kNormal;
  int32_t max_queue = 256;  ///< Limit of calls that wait in the queue of one gateway.
  /// Responses may be large, and are passed on to the caller while they arrive.
  bool large_responses = false;
  bool operator==(const Profile&) const = default;
};

/// One of the services among which the calls of a route are divided.
struct RouteTarget {
  ServiceId service;
  double weight = 1.0;  ///< Relative to the weights of the route's other targets.
  bool operator==(const RouteTarget&) const = default;
};

/// A rule for the calls to one host whose path starts with a prefix.
struct Route {
  RouteId id;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  Profile profile;     ///< Profile of these calls; replaces the profile of the target service.
  std::vector<RouteTarget> targets;  ///< Never empty.
  bool is_public = false;            ///< Callers need no key, even if workspaces have keys.
  bool operator==(const Route&) const = default;
};

/// Size and time limits for requests from callers, if operators set them in the configuration.
struct CallerLimits {
  int64_t header_bytes = 0;
  int64_t body_bytes = 0;
  Duration header_timeout{0};
  Duration idle_timeout{0};
  bool operator==(const CallerLimits&) const = default;
};

class RouteTable;
class WorkspaceTable;

enum class ZoneState : uint8_t {
  kIn,         ///< The zone receives traffic.
  kOut,        ///< The zone receives no traffic.
  kReturning,  ///< Traffic to the zone is increased gradually.
};

/// An availability zone and its state as set by operators.
struct Zone {
  ZoneId id;
  ZoneState state = ZoneState::kIn;
  bool operator==(const Zone&) const = default;
};

/// All settings that operators change at run time, at one version.
struct Configuration {
  ConfigVersion version;
  std::map<WorkspaceId, Workspace> workspaces;
  std::map<ProfileId, Profile> profiles;
  std::map<ServiceId, Service> services;
  std::map<ZoneId, Zone> zones;
  /// Maps host and path of a call to a service; null if each call names its service.
  std::shared_ptr<const RouteTable> routes;
  /// Maps the key of a call to its workspace; null if callers are not identified by keys.
  std::shared_ptr<const WorkspaceTable> workspace_table;
  std::optional<CallerLimits> caller_limits;
  /// Version of the last change to each object, by "kind/name".
  std::map<std::string, ConfigVersion> object_versions;
  bool operator==(const Configuration&) const = default;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Returns whether the profile allows the request to be executed more than once.
bool IsIdempotent(const Profile& profile, const std::string& method, const std::string& path);

}  // namespace jd
