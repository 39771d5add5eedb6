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
  std::string address;  ///< IP number.
  uint16_t port = 0;
  int32_t slots = 1;  ///< Requests it serves at the same time.
  int32_t max_connections = 0;
  /// Run of the upstream process that requests are meant for, because its address may be given to
  /// another one; empty if any run will do.
  InstanceId instance = {};
  bool operator==(const Endpoint&) const = default;
};

/// The share of a service that a workspace may use when the service is overloaded.
struct WorkspaceShare {
  WorkspaceId workspace;
  double share = 1.0;  ///< Relative weight.
  bool operator==(const WorkspaceShare&) const = default;
};

struct Service {
  ServiceId id;
  ProfileId profile;
  std::vector<Endpoint> endpoints;
  std::vector<WorkspaceShare> shares;
  double probe_share = 0.005;  ///< Measuring budget as a share of slot time, 0 to 0.1.
  Duration probe_cost = 1ms;
  Duration connect_cost = 1ms;
  std::string health_path = "/health";
  int32_t endpoint_connections = 0;  ///< Of one gateway to one endpoint; 0: no limit.
  /// Calls per second that a cold endpoint bears from all gateways together; 0 if unknown.
  double cold_rate = 0;
  bool operator==(const Service&) const = default;
};

enum class Priority : uint8_t { kLow = 0, kNormal = 1, kHigh = 2 };

/// How the traffic of a service is treated; written by operators, chosen by a service by name.
struct Profile {
  ProfileId id;
  /// Methods whose requests may run more than once.
  std::vector<std::string> idempotent_methods = {"GET", "HEAD", "OPTIONS"};
  /// Path prefixes whose requests may run more than once whatever the method.
  std::vector<std::string> idempotent_paths;
  Duration deadline = 2s;
  /// Time within which an answer is worth most to its caller; 0 if nothing is known of it.
  Duration target_latency{0};
  int32_t max_attempts = 3;
  bool hedge = false;
  Duration hedge_after = 50ms;
  double retry_budget = 0.1;       ///< Retries and hedges as a share of recent calls.
  std::string request_key_header;  ///< Empty: requests carry no key.
  Priority priority = Priority::kNormal;
  int32_t max_queue = 256;  ///< Calls that may wait at one gateway.
  bool operator==(const Profile&) const = default;
};

/// One of the services that the calls of a route are split among.
struct RouteTarget {
  ServiceId service;
  double weight = 1.0;  ///< Relative to the other targets.
  bool operator==(const RouteTarget&) const = default;
};

/// The calls to one host whose path starts with a prefix.
struct Route {
  RouteId id;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  Profile profile;     ///< How these calls are treated, whatever their service's profile says.
  std::vector<RouteTarget> targets;  ///< Never empty.
  bool operator==(const Route&) const = default;
};

/// What callers may send and how long they may take, where operators decide it.
struct CallerLimits {
  int64_t header_bytes = 0;
  int64_t body_bytes = 0;
  Duration header_timeout{0};
  Duration idle_timeout{0};
  bool operator==(const CallerLimits&) const = default;
};

class RouteTable;

enum class ZoneState : uint8_t { kIn, kOut, kReturning };

struct Zone {
  ZoneId id;
  ZoneState state = ZoneState::kIn;
  bool operator==(const Zone&) const = default;
};

/// Everything that operators decide, at one version.
struct Configuration {
  ConfigVersion version;
  std::map<WorkspaceId, double> workspaces;  ///< Default share by workspace.
  std::map<ProfileId, Profile> profiles;
  std::map<ServiceId, Service> services;
  std::map<ZoneId, Zone> zones;
  /// Routes to services by host and path; null if callers name the service themselves.
  std::shared_ptr<const RouteTable> routes;
  std::optional<CallerLimits> caller_limits;
  /// Version that last changed each object, by "kind/name".
  std::map<std::string, ConfigVersion> object_versions;
  bool operator==(const Configuration&) const = default;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Returns whether the profile allows the request to run more than once.
bool IsIdempotent(const Profile& profile, const std::string& method, const std::string& path);

}  // namespace jd
