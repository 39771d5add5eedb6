#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cluster/version_rule.h"
#include "common/configuration.h"
#include "policy/endpoint_statements.h"
#include "policy/routing_policy.h"

namespace jd {

/// Determines which endpoints new calls may be sent to: the configured ones that are not leaving
/// and whose zone is not out of service.
class EndpointDirectory {
 public:
  /// The difference between two successive calls of TakeChanges.
  struct Changes {
    std::vector<ServiceView> services;  ///< New services and those whose endpoints changed.
    std::vector<ServiceId> removed;
  };

  void SetConfiguration(ConfigurationPtr configuration);
  /// Sets the zones that are out of service, whose endpoints get no new calls.
  void SetZonesOut(std::set<ZoneId> zones);
  /// Sets which software versions may get calls, for the services with a rule.
  /// @return false if the rules are the ones that were set before.
  bool SetVersionRules(std::map<ServiceId, VersionRule> rules);
  /// Marks an endpoint as leaving or as serving again.
  /// @return false if the endpoint was in that state already or is not configured.
  bool SetLeaving(const EndpointId& endpoint, bool leaving);

  /// Sets the endpoints that are held back because of what they said in responses.
  void SetHeld(std::map<EndpointId, HeldEndpoint> held) { held_ = std::move(held); }
  const std::map<EndpointId, HeldEndpoint>& held() const { return held_; }
  /// Returns whether the endpoint has asked this gateway to send nothing for a time.
  bool WantsNothing(const EndpointId& endpoint) const;

  bool is_leaving(const EndpointId& endpoint) const { return leaving_.contains(endpoint); }
  const std::set<EndpointId>& leaving() const { return leaving_; }
  /// Returns null if the configuration has no such endpoint.
  const Endpoint* FindEndpoint(const EndpointId& endpoint) const;
  /// Returns the service of an endpoint, or null if the configuration has no such endpoint.
  const Service* ServiceOf(const EndpointId& endpoint) const;
  /// Returns the changes since the previous call.
  Changes TakeChanges();

 private:
  struct Entry {
    const Service* service = nullptr;
    const Endpoint* endpoint = nullptr;
  };

  ServiceView MakeView(const Service& service) const;
  EndpointView MakeView(const Endpoint& endpoint) const;

  ConfigurationPtr configuration_;
  std::unordered_map<EndpointId, Entry> entries_;  ///< The pointers refer to configuration_.
  std::set<ZoneId> zones_out_;
  std::set<EndpointId> leaving_;
  std::map<ServiceId, VersionRule> version_rules_;
  std::map<EndpointId, HeldEndpoint> held_;
  std::map<ServiceId, ServiceView> reported_views_;  ///< As of the latest TakeChanges.
};

}  // namespace jd
