#include "cluster/endpoint_directory.h"

#include <utility>

namespace jd {

void EndpointDirectory::SetConfiguration(ConfigurationPtr configuration) {
  configuration_ = std::move(configuration);
  entries_.clear();
  for (const auto& [id, service] : configuration_->services) {
    for (const Endpoint& endpoint : service.endpoints) {
      entries_[endpoint.id] = {&service, &endpoint};
    }
  }
  std::erase_if(leaving_, [this](const EndpointId& id) { return !entries_.contains(id); });
}

void EndpointDirectory::SetZonesOut(std::set<ZoneId> zones) {
  zones_out_ = std::move(zones);
}

bool EndpointDirectory::SetVersionRules(std::map<ServiceId, VersionRule> rules) {
  const bool changed = rules != version_rules_;
  version_rules_ = std::move(rules);
  return changed;
}

bool EndpointDirectory::SetLeaving(const EndpointId& endpoint, bool leaving) {
  if (!entries_.contains(endpoint)) {
    return false;
  }
  return leaving ? leaving_.insert(endpoint).second : leaving_.erase(endpoint) > 0;
}

bool EndpointDirectory::WantsNothing(const EndpointId& endpoint) const {
  const auto held = held_.find(endpoint);
  return held != held_.end() && held->second.reason == EndpointHold::kWantsNothing;
}

const Service* EndpointDirectory::ServiceOf(const EndpointId& endpoint) const {
  const auto entry = entries_.find(endpoint);
  return entry == entries_.end() ? nullptr : entry->second.service;
}

const Endpoint* EndpointDirectory::FindEndpoint(const EndpointId& endpoint) const {
  const auto entry = entries_.find(endpoint);
  return entry == entries_.end() ? nullptr : entry->second.endpoint;
}

ServiceView EndpointDirectory::MakeView(const Service& service) const {
  ServiceView view;
  view.id = service.id;
  view.endpoints.reserve(service.endpoints.size());
  for (const Endpoint& endpoint : service.endpoints) {
    view.endpoints.push_back(MakeView(endpoint));
  }
  const auto rule = version_rules_.find(service.id);
  if (rule != version_rules_.end()) {
    ApplyVersionRule(service, rule->second, &view);
  }
  return view;
}

EndpointView EndpointDirectory::MakeView(const Endpoint& endpoint) const {
  const auto held = held_.find(endpoint.id);
  const HeldEndpoint said = held == held_.end() ? HeldEndpoint() : held->second;
  EndpointFacts facts;
  facts.leaving = leaving_.contains(endpoint.id) || said.reason == EndpointHold::kLeaving;
  facts.wants_nothing = said.reason == EndpointHold::kWantsNothing;
  facts.zone_out = zones_out_.contains(endpoint.zone);
  EndpointView view{endpoint.id, endpoint.zone, endpoint.slots};
  view.hold = HoldOnProbes(MonoTime(), facts);
  view.usable = view.hold == EndpointHold::kNone;
  view.held_until = view.hold == EndpointHold::kWantsNothing ? said.until : MonoTime();
  return view;
}

EndpointDirectory::Changes EndpointDirectory::TakeChanges() {
  Changes changes;
  if (configuration_ == nullptr) {
    return changes;
  }
  std::map<ServiceId, ServiceView> current;
  for (const auto& [id, service] : configuration_->services) {
    ServiceView view = MakeView(service);
    const auto before = reported_views_.find(id);
    if (before == reported_views_.end() || before->second.endpoints != view.endpoints) {
      changes.services.push_back(view);
    }
    current.emplace(id, std::move(view));
  }
  for (const auto& [id, view] : reported_views_) {
    if (!current.contains(id)) {
      changes.removed.push_back(id);
    }
  }
  reported_views_ = std::move(current);
  return changes;
}

}  // namespace jd
