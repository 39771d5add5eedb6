#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "cluster/discovery.h"
#include "common/configuration.h"

namespace jd {

/// Builds the active configuration from the operators' configuration and the endpoints that service
/// discovery lists.
class Catalog {
 public:
  /// Applies a discovery update. An operators' configuration that is older than the active one
  /// is ignored, so that the active version never decreases. A record of an endpoint is ignored if
  /// it belongs to an earlier run, or to the time before the endpoint announced that it leaves: a
  /// store that was restored from a copy shows such states.
  /// @return whether configuration() has changed.
  bool Apply(const DiscoveryUpdate& update);

  /// Returns the active configuration, or null until the operators' configuration is known.
  ConfigurationPtr configuration() const { return configuration_; }
  /// Whether both the operators' configuration and the list of endpoints are known.
  bool complete() const { return configuration_ != nullptr && endpoints_known_; }

 private:
  bool UpdateOperatorConfiguration(const OperatorConfiguration& configuration);
  ConfigurationPtr BuildConfiguration() const;

  std::optional<OperatorConfiguration> operator_configuration_;
  std::shared_ptr<const RouteTable> routes_;
  std::set<ZoneId> zones_out_;
  std::map<EndpointId, EndpointRecord> endpoints_;
  bool endpoints_known_ = false;
  ConfigurationPtr configuration_;
};

}  // namespace jd
