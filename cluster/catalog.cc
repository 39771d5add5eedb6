#include "cluster/catalog.h"

#include "common/route_table.h"

namespace jd {
namespace {

// An endpoint that leaves does not serve again in the same run.
bool IsEarlierState(const EndpointRecord& record, const EndpointRecord& known) {
  if (record.incarnation == Incarnation() || known.incarnation == Incarnation()) {
    return false;
  }
  const bool serves_again = known.leaving && !record.leaving;
  return record.incarnation < known.incarnation ||
         (record.incarnation == known.incarnation && serves_again);
}

// The store may lose a configuration and give its version to another one.
bool Supersedes(const OperatorConfiguration& configuration, const OperatorConfiguration& known) {
  return configuration.version > known.version ||
         (configuration.version == known.version && configuration.content != known.content);
}

}  // namespace

bool Catalog::Apply(const DiscoveryUpdate& update) {
  bool changed = false;
  if (update.configuration) {
    changed = UpdateOperatorConfiguration(*update.configuration);
  }
  if (update.zones_out && *update.zones_out != zones_out_) {
    zones_out_ = *update.zones_out;
    changed = true;
  }
  for (const EndpointRecord& record : update.endpoints) {
    const auto [known, added] = endpoints_.emplace(record.endpoint.id, record);
    if (IsEarlierState(record, known->second)) {
      continue;
    }
    if (added || known->second != record) {
      known->second = record;
      changed = true;
    }
  }
  for (const EndpointId& id : update.removed) {
    changed = endpoints_.erase(id) > 0 || changed;
  }
  endpoints_known_ = endpoints_known_ || update.endpoints_known;
  if (changed && operator_configuration_) {
    configuration_ = BuildConfiguration();
  }
  return changed && operator_configuration_;
}

bool Catalog::UpdateOperatorConfiguration(const OperatorConfiguration& configuration) {
  if (operator_configuration_ && !Supersedes(configuration, *operator_configuration_)) {
    return false;
  }
  operator_configuration_ = configuration;
  routes_ = std::make_shared<const RouteTable>(std::move(operator_configuration_->routes));
  operator_configuration_->routes.clear();
  return true;
}

ConfigurationPtr Catalog::BuildConfiguration() const {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = operator_configuration_->version;
  configuration->routes = routes_;
  configuration->caller_limits = operator_configuration_->limits;
  configuration->workspace_table = operator_configuration_->workspace_table;
  for (const Service& service : operator_configuration_->services) {
    configuration->services.emplace(service.id, service);
  }
  for (const ZoneId& zone : zones_out_) {
    configuration->zones[zone] = {zone, ZoneState::kOut};
  }
  for (const auto& [id, record] : endpoints_) {
    const auto service = configuration->services.find(record.service);
    if (record.leaving || service == configuration->services.end()) {
      continue;
    }
    Endpoint endpoint = record.endpoint;
    endpoint.run = record.incarnation;
    endpoint.max_connections = service->second.max_connections_per_endpoint;
    service->second.endpoints.push_back(std::move(endpoint));
    // Zone control handles only the zones that are listed in the configuration.
    configuration->zones.try_emplace(record.endpoint.zone,
                                     Zone{record.endpoint.zone, ZoneState::kIn});
  }
  return configuration;
}

}  // namespace jd
