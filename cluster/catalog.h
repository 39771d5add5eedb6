#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "cluster/discovery.h"
#include "common/configuration.h"

namespace jd {

/// Puts the configuration in use together from what operators decide and what discovery lists.
class Catalog {
 public:
  /// Takes in a change. A version of the operators' configuration older than the one in use is
  /// ignored, so that nothing ever goes back.
  /// @return whether configuration() has changed.
  bool Apply(const DiscoveryUpdate& update);

  /// Returns the configuration in use, or null until operators have written one.
  ConfigurationPtr configuration() const { return configuration_; }
  /// Operators' configuration and endpoints are both known.
  bool complete() const { return configuration_ != nullptr && endpoints_known_; }

 private:
  bool TakeConfiguration(const OperatorConfiguration& configuration);
  ConfigurationPtr Build() const;

  std::optional<OperatorConfiguration> operators_;
  std::shared_ptr<const RouteTable> routes_;
  std::set<ZoneId> zones_out_;
  std::map<EndpointId, EndpointRecord> endpoints_;
  bool endpoints_known_ = false;
  ConfigurationPtr configuration_;
};

}  // namespace jd
