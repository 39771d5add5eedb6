// The part of CallBook that applies changes of the configuration and of the usable endpoints.
#include <algorithm>
#include <utility>

#include "policy/call_book.h"

namespace jd {
namespace {

std::vector<EndpointId> UsableOf(const Service& service, const Configuration& configuration) {
  std::vector<EndpointId> usable;
  for (const Endpoint& endpoint : service.endpoints) {
    const auto zone = configuration.zones.find(endpoint.zone);
    if (zone == configuration.zones.end() || zone->second.state != ZoneState::kOut) {
      usable.push_back(endpoint.id);
    }
  }
  return usable;
}

}  // namespace

void CallBook::SetConfiguration(MonoTime now, ConfigurationPtr configuration) {
  const ConfigurationPtr previous = std::exchange(configuration_, std::move(configuration));
  if (configuration_ == nullptr) {
    return;
  }
  if (previous != nullptr) {
    ForgetEndpoints(*previous);
  }
  for (auto state = services_.begin(); state != services_.end();) {
    if (configuration_->services.contains(state->first)) {
      ++state;
    } else if (state->second.calls == 0) {
      queue_changed_.erase(state->first);
      state = services_.erase(state);
    } else {
      state->second.SetUsable(now, {});
      state->second.viewed = false;
      ++state;
    }
  }
  for (const auto& [id, service] : configuration_->services) {
    ServiceState& state = services_[id];
    state.budget.SetLimits(retry_limits_);
    if (!state.viewed) {
      state.SetUsable(now, UsableOf(service, *configuration_));
    }
  }
}

void CallBook::ForgetEndpoints(const Configuration& previous) {
  for (const auto& [id, service] : previous.services) {
    const auto present = configuration_->services.find(id);
    const auto stays = [&](const Endpoint& endpoint) {
      return present != configuration_->services.end() &&
             std::any_of(present->second.endpoints.begin(), present->second.endpoints.end(),
                         [&](const Endpoint& other) { return other.id == endpoint.id; });
    };
    if (present != configuration_->services.end() &&
        present->second.endpoints == service.endpoints) {
      continue;
    }
    for (const Endpoint& endpoint : service.endpoints) {
      if (!stays(endpoint)) {
        attempts_.RemoveEndpoint(endpoint.id);
      }
    }
  }
}

void CallBook::SetService(MonoTime now, const ServiceView& view) {
  const auto state = services_.find(view.id);
  if (state == services_.end()) {
    return;
  }
  std::vector<EndpointId> usable;
  for (const EndpointView& endpoint : view.endpoints) {
    if (endpoint.usable) {
      usable.push_back(endpoint.id);
    }
  }
  state->second.viewed = true;
  state->second.SetUsable(now, std::move(usable));
}

void CallBook::SetRetryLimits(const RetryBudget::Limits& limits) {
  retry_limits_ = limits;
  for (auto& [id, state] : services_) {
    state.budget.SetLimits(limits);
  }
}

void CallBook::SetDegraded(const ServiceId& service, bool degraded) {
  const auto state = services_.find(service);
  if (state != services_.end()) {
    state->second.queue.SetDegraded(degraded);
  }
}

}  // namespace jd
