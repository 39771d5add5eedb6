#pragma once

// Members of Dispatcher for calls that wait until a probed endpoint has room. Included by
// policy/dispatcher.h.

#include "policy/dispatcher.h"

namespace jd {

template <RoutingPolicy Policy>
void Dispatcher<Policy>::HandleNewProbedCall(MonoTime now, Call* call, CallActions* actions) {
  DrawSide(call);
  // The waiting calls lack room at the other versions.
  if (!call_manager_.HasWaitingCalls(call->request.service) || call->side == VersionSide::kNew) {
    TrySend(now, call, actions);
    return;
  }
  const ServiceId service = call->request.service;
  HandleNoRoom(now, call, actions);
  SendProbedWaitingCalls(now, service, actions);
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::HandleNoRoom(MonoTime now, Call* call, CallActions* actions) {
  const ServiceId service = call->request.service;
  // A slot that gets free does not help a call that lacks a permit.
  if (call->permit_refused || !call_manager_.WaitForRoom(now, call)) {
    call_manager_.HandleNoProbedCapacity(now, call, random_, actions);
    return;
  }
  waiting_probe_times_.try_emplace(service, now + kWaitingProbeInterval);
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::SendWaitingCallsDue(MonoTime now, CallActions* actions) {
  std::vector<ServiceId> due_services;
  std::erase_if(waiting_probe_times_, [&](const auto& entry) {
    if (entry.second > now) {
      return false;
    }
    due_services.push_back(entry.first);
    return true;
  });
  for (const ServiceId& service : due_services) {
    SendProbedWaitingCalls(now, service, actions);
  }
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::SendProbedWaitingCalls(MonoTime now,
                                                const ServiceId& service,
                                                CallActions* actions) {
  while (Call* call = call_manager_.NextWaitingCall(service, {})) {
    if (call_manager_.CheckBeforeAttempt(now, call, actions) &&
        !SendToProbedEndpoint(now, call, false, actions)) {
      break;
    }
  }
  Call* next = call_manager_.NextWaitingCall(service, {});
  if (next != nullptr && !waiting_probe_times_.contains(service)) {
    waiting_probe_times_[service] = now + kWaitingProbeInterval;
    TrySend(now, next, actions);
  }
}

}  // namespace jd
