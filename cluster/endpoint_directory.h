#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "common/configuration.h"
#include "policy/routing_policy.h"

namespace jd {

/// Which endpoints may get new work: those of the configuration whose zone is not out and that are
/// not leaving.
class EndpointDirectory {
 public:
  /// What changed since the last TakeChanges.
  struct Changes {
    std::vector<ServiceView> services;
    std::vector<ServiceId> removed;
  };

  void SetConfiguration(ConfigurationPtr configuration);
  /// Sets the zones that get no new work.
  void SetZonesOut(std::set<ZoneId> zones);
  /// Marks an endpoint as leaving, or as serving again. @return whether that is a change.
  bool SetLeaving(const EndpointId& endpoint, bool leaving);

  bool is_leaving(const EndpointId& endpoint) const { return leaving_.contains(endpoint); }
  const std::set<EndpointId>& leaving() const { return leaving_; }
  /// Returns null if the configuration has no such endpoint.
  const Endpoint* Find(const EndpointId& endpoint) const;
  /// Returns the service of an endpoint, or null.
  const Service* ServiceOf(const EndpointId& endpoint) const;
  Changes TakeChanges();

 private:
  struct Entry {
    const Service* service = nullptr;
    const Endpoint* endpoint = nullptr;
  };

  ServiceView View(const Service& service) const;

  ConfigurationPtr configuration_;
  std::unordered_map<EndpointId, Entry> entries_;  ///< Point into configuration_.
  std::set<ZoneId> zones_out_;
  std::set<EndpointId> leaving_;
  std::map<ServiceId, ServiceView> taken_;
};

}  // namespace jd
