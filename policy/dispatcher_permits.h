#pragma once

#include "policy/dispatcher.h"

namespace jd {

// The members of Dispatcher for endpoints that name a limit: which calls need a permit, and how
// they continue when it is granted, refused or not answered. policy/dispatcher.h includes this
// file.

template <RoutingPolicy Policy>
bool Dispatcher<Policy>::NeedsPermit(const EndpointId& endpoint) const {
  const std::optional<CallRate> limit = KnownLimit(endpoint);
  return limit && *limit < kUnreachableLimit;
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnPermitDecision(MonoTime now,
                                          CallId id,
                                          const EndpointId& endpoint,
                                          const PermitDecision& decision,
                                          CallActions* actions) {
  // After a pause of the process a reply may be handled before the timer of its wait.
  HandleExpiredPermitWaits(now, actions);
  const std::optional<PermitWaits::Wait> wait = permit_waits_.Take(id, endpoint);
  if (!wait) {
    return;
  }
  if (!decision.granted) {
    ++permit_counts_.refused;
    HandleRefusedPermit(now, *wait, decision.retry_after, "limit", actions);
    return;
  }
  ++permit_counts_.granted;
  Call* call = call_manager_.Find(id);
  if (call == nullptr || !call_manager_.CheckBeforeAttempt(now, call, actions)) {
    ReleaseUnused(now, *wait);
    return;
  }
  if (!call_manager_.IsUsable(*call, endpoint)) {
    HandleRefusedPermit(now, *wait, Duration(0), "endpoint-held", actions);
    return;
  }
  call_manager_.StartAttempt(now, call, endpoint, DescribeChoice(now, endpoint), actions);
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::HandleExpiredPermitWaits(MonoTime now, CallActions* actions) {
  while (const std::optional<PermitWaits::Wait> wait = permit_waits_.TakeExpired(now)) {
    ++permit_counts_.unanswered;
    if (Call* call = call_manager_.Find(wait->call)) {
      // The load reports of the endpoints that were probed are too old by now.
      call->probe_stage = 0;
    }
    HandleRefusedPermit(now, *wait, kRetryAfterNoReply, "no-reply", actions);
  }
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::HandleRefusedPermit(MonoTime now,
                                             const PermitWaits::Wait& wait,
                                             Duration retry_after,
                                             std::string_view reason,
                                             CallActions* actions) {
  ReleaseUnused(now, wait);
  if constexpr (ProbingPolicy<Policy>) {
    policy_->OnPermitRefused(wait.endpoint, now + retry_after);
  }
  Call* call = call_manager_.Find(wait.call);
  if (call == nullptr) {
    return;
  }
  call->permit_refused = true;
  Event event;
  event.kind = EventKind::kPermitRefused;
  event.request = call->request.request_id;
  event.endpoint = wait.endpoint;
  event.detail =
      "reason=" + std::string(reason) + " retry_after_us=" + std::to_string(retry_after.count());
  actions->push_back(RecordEvent{std::move(event)});
  FinishProbeRound(now, wait.call, actions);
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::ReleaseUnused(MonoTime now, const PermitWaits::Wait& wait) {
  AttemptResult unused;
  unused.outcome = AttemptOutcome::kCancelled;
  unused.latency = now - wait.started;
  policy_->Release(now, wait.endpoint, unused);
}

template <RoutingPolicy Policy>
std::optional<CallRate> Dispatcher<Policy>::KnownLimit(const EndpointId& endpoint) const {
  if constexpr (ProbingPolicy<Policy>) {
    return policy_->KnownLimit(endpoint);
  } else {
    return std::nullopt;
  }
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::RecordLimitChange(const EndpointId& endpoint,
                                           std::optional<CallRate> before,
                                           std::string_view source,
                                           CallActions* actions) const {
  const std::optional<CallRate> limit = KnownLimit(endpoint);
  if (limit == before) {
    return;
  }
  const auto describe = [](std::optional<CallRate> rate) {
    return rate ? std::to_string(rate->per_second) : "none";
  };
  Event event;
  event.kind = EventKind::kEndpointLimit;
  event.endpoint = endpoint;
  event.detail =
      "per_s=" + describe(limit) + " before=" + describe(before) + " source=" + std::string(source);
  actions->push_back(RecordEvent{std::move(event)});
}

}  // namespace jd
