// The part of CallManager that applies changes of the configuration and of the usable endpoints.
#include <algorithm>
#include <utility>

#include "common/workspace_table.h"
#include "policy/call_manager.h"

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

// Returns when the first endpoint that wants nothing may get calls again, or nothing.
std::optional<MonoTime> EarliestReturn(const ServiceView& view) {
  std::optional<MonoTime> earliest;
  for (const EndpointView& endpoint : view.endpoints) {
    if (endpoint.hold == EndpointHold::kWantsNothing) {
      earliest = std::min(earliest.value_or(endpoint.held_until), endpoint.held_until);
    }
  }
  return earliest;
}

}  // namespace

void CallManager::SetConfiguration(MonoTime now, ConfigurationPtr configuration) {
  const ConfigurationPtr previous = std::exchange(configuration_, std::move(configuration));
  if (configuration_ == nullptr) {
    return;
  }
  if (previous != nullptr) {
    DiscardRemovedEndpoints(*previous);
  }
  for (auto state = services_.begin(); state != services_.end();) {
    if (configuration_->services.contains(state->first)) {
      ++state;
    } else if (state->second.calls == 0) {
      services_with_changed_queue_.erase(state->first);
      state = services_.erase(state);
    } else {
      state->second.SetUsable(now, {});
      state->second.returns_at.reset();
      state->second.has_service_view = false;
      ++state;
    }
  }
  for (const auto& [id, service] : configuration_->services) {
    ServiceState& state = services_[id];
    state.budget.SetLimits(retry_limits_);
    if (!state.has_service_view) {
      state.SetUsable(now, UsableOf(service, *configuration_));
    }
  }
}

bool CallManager::Identify(bool is_public, CallRequest* request, CallActions* actions) {
  if (configuration_->workspace_table == nullptr) {
    return true;
  }
  const KeyedWorkspace* workspace =
      request->caller_key ? configuration_->workspace_table->FindByKey(*request->caller_key)
                          : nullptr;
  if (workspace == nullptr && !is_public) {
    RefuseNew(*request, RefusalReason::kUnknownCaller, Duration(0),
              request->caller_key && request->caller_key->empty()
                  ? "The header Authorization is not one 'Bearer KEY'."
                  : "No workspace has this key.",
              actions);
    return false;
  }
  request->workspace = workspace == nullptr ? WorkspaceId() : workspace->id;
  request->is_public = is_public;
  return true;
}

bool CallManager::IdentifyAgain(Call* call, CallActions* actions) {
  if (call->workspace_table == configuration_->workspace_table) {
    return true;
  }
  call->workspace_table = configuration_->workspace_table;
  if (call->workspace_table == nullptr || call->request.workspace.empty()) {
    return true;
  }
  const KeyedWorkspace* workspace =
      call->request.caller_key ? call->workspace_table->FindByKey(*call->request.caller_key)
                               : nullptr;
  if (workspace != nullptr && workspace->id == call->request.workspace) {
    return true;
  }
  if (call->request.is_public) {
    // The queue finds a call by its workspace.
    const bool queued = call->queued;
    Dequeue(call);
    call->request.workspace = WorkspaceId();
    if (queued) {
      Requeue(call);
    }
    return true;
  }
  Refuse(call, RefusalReason::kUnknownCaller, Duration(0),
         "The key has been withdrawn from its workspace.", actions);
  return false;
}

void CallManager::DiscardRemovedEndpoints(const Configuration& previous) {
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

void CallManager::SetService(MonoTime now, const ServiceView& view) {
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
  state->second.has_service_view = true;
  state->second.returns_at = usable.empty() ? EarliestReturn(view) : std::nullopt;
  state->second.SetUsable(now, std::move(usable));
}

void CallManager::SetRetryLimits(const RetryBudget::Limits& limits) {
  retry_limits_ = limits;
  for (auto& [id, state] : services_) {
    state.budget.SetLimits(limits);
  }
}

void CallManager::SetDegraded(const ServiceId& service, bool degraded) {
  const auto state = services_.find(service);
  if (state != services_.end()) {
    state->second.queue.SetDegraded(degraded);
  }
}

}  // namespace jd
