#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/configuration.h"
#include "common/random.h"
#include "policy/attempt_result.h"
#include "policy/call_action.h"
#include "policy/call_request.h"
#include "policy/routing_policy.h"

namespace jd {

/// Owns the calls of one gateway from arrival to answer: admission, queue, attempts, retries,
/// hedges and deadlines. Pure: time and randomness are arguments, effects are returned as actions.
/// @tparam Policy chooses endpoints and accounts for their slots.
template <RoutingPolicy Policy>
class Dispatcher {
 public:
  Dispatcher(ZoneId zone, Policy* policy, uint64_t seed)
      : zone_(std::move(zone)), policy_(policy), random_(seed) {}

  void SetConfiguration(MonoTime now, ConfigurationPtr configuration);
  /// Takes a new call; it ends by exactly one AnswerCall or RefuseCall, unless the caller leaves.
  void OnCall(MonoTime now, const CallRequest& request, CallActions* actions);
  /// The caller closed its connection; the call's attempts are cancelled.
  void OnCallerGone(MonoTime now, CallId call, CallActions* actions);
  void OnAttemptResult(MonoTime now, const AttemptResult& result, CallActions* actions);
  /// Sends waiting calls for which the policy has a slot now; called after grants and view changes.
  void OnCapacity(MonoTime now, CallActions* actions);
  /// Handles deadlines and hedges that are due.
  void OnTimer(MonoTime now, CallActions* actions);
  /// Refuses new calls from now on; calls in flight go on.
  void Stop() { stopping_ = true; }

  /// Returns when OnTimer is due next, or nothing.
  std::optional<MonoTime> next_timer() const;
  size_t calls() const { return calls_.size(); }

 private:
  struct Call {
    CallRequest request;
    const Profile* profile = nullptr;
    MonoTime deadline;
    bool idempotent = false;
    int32_t attempts = 0;
    Verdict verdict = Verdict::kNotRun;
    std::vector<EndpointId> tried;
    std::vector<AttemptId> running;
  };
  struct Attempt {
    CallId call;
    EndpointId endpoint;
  };

  void Refuse(CallId call,
              RefusalReason reason,
              Verdict verdict,
              std::string text,
              CallActions* actions);
  bool TrySend(MonoTime now, Call* call, CallActions* actions);
  void Enqueue(MonoTime now, const Call& call);
  void Dequeue(MonoTime now, const Call& call);
  void EndCall(MonoTime now, CallId id);

  ZoneId zone_;
  Policy* policy_;
  RandomEngine random_;
  ConfigurationPtr configuration_;
  bool stopping_ = false;
  uint64_t next_attempt_ = 1;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::map<ServiceId, std::deque<CallId>> queues_;
  std::map<std::pair<MonoTime, CallId>, bool> deadlines_;
};

template <RoutingPolicy Policy>
void Dispatcher<Policy>::SetConfiguration(MonoTime, ConfigurationPtr configuration) {
  configuration_ = std::move(configuration);
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnCall(MonoTime now, const CallRequest& request, CallActions* actions) {
  if (stopping_) {
    Refuse(request.id, RefusalReason::kShuttingDown, Verdict::kNotRun, "The gateway is stopping.",
           actions);
    return;
  }
  if (configuration_ == nullptr) {
    Refuse(request.id, RefusalReason::kNotReady, Verdict::kNotRun,
           "The gateway has no configuration yet.", actions);
    return;
  }
  const auto service = configuration_->services.find(request.service);
  if (service == configuration_->services.end() ||
      !configuration_->profiles.contains(service->second.profile)) {
    Refuse(request.id, RefusalReason::kUnknownService, Verdict::kNotRun, "No such service.",
           actions);
    return;
  }
  Call call;
  call.request = request;
  // The profile is copied, because a configuration change must not alter a call under way.
  const Profile& profile = configuration_->profiles.at(service->second.profile);
  call.deadline = now + std::min(profile.deadline, request.timeout.value_or(profile.deadline));
  call.idempotent = IsIdempotent(profile, request.method, request.path);
  Call& stored = calls_.emplace(request.id, std::move(call)).first->second;
  deadlines_.emplace(std::pair(stored.deadline, request.id), true);
  if (!TrySend(now, &stored, actions)) {
    Enqueue(now, stored);
  }
}

template <RoutingPolicy Policy>
bool Dispatcher<Policy>::TrySend(MonoTime now, Call* call, CallActions* actions) {
  const AcquireRequest request{call->request.service, zone_, call->deadline, call->tried};
  const std::optional<EndpointId> endpoint = policy_->Acquire(now, request, random_);
  if (!endpoint) {
    return false;
  }
  const AttemptId attempt(next_attempt_++);
  attempts_[attempt] = {call->request.id, *endpoint};
  call->running.push_back(attempt);
  call->tried.push_back(*endpoint);
  ++call->attempts;
  actions->push_back(SendAttempt{call->request.id, attempt, *endpoint, call->deadline - now});
  return true;
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnAttemptResult(MonoTime now,
                                         const AttemptResult& result,
                                         CallActions* actions) {
  const auto found = attempts_.find(result.attempt);
  if (found == attempts_.end()) {
    return;
  }
  const Attempt attempt = found->second;
  attempts_.erase(found);
  policy_->Release(now, attempt.endpoint, result);
  if (result.report) {
    policy_->OnLoadReport(now, attempt.endpoint, *result.report);
  }
  const auto in_calls = calls_.find(attempt.call);
  if (in_calls != calls_.end()) {
    Call& call = in_calls->second;
    std::erase(call.running, result.attempt);
    call.verdict = Combine(call.verdict, VerdictOf(result));
    if (result.outcome == AttemptOutcome::kAnswered) {
      actions->push_back(AnswerCall{attempt.call, result.attempt});
      EndCall(now, attempt.call);
    } else if (call.attempts < 3 && (call.idempotent || call.verdict == Verdict::kNotRun)) {
      if (!TrySend(now, &call, actions)) {
        Enqueue(now, call);
      }
    } else {
      const Verdict verdict = call.verdict;
      EndCall(now, attempt.call);
      Refuse(attempt.call, RefusalReason::kUpstreamFailed, verdict, "Every attempt failed.",
             actions);
    }
  }
  OnCapacity(now, actions);
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnCallerGone(MonoTime now, CallId id, CallActions* actions) {
  const auto call = calls_.find(id);
  if (call == calls_.end()) {
    return;
  }
  for (const AttemptId attempt : call->second.running) {
    actions->push_back(CancelAttempt{attempt});
  }
  EndCall(now, id);
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnCapacity(MonoTime now, CallActions* actions) {
  for (auto& [service, queue] : queues_) {
    while (!queue.empty() && TrySend(now, &calls_.at(queue.front()), actions)) {
      queue.pop_front();
      policy_->SetWaiting(now, service, static_cast<int32_t>(queue.size()));
    }
  }
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::OnTimer(MonoTime now, CallActions* actions) {
  while (!deadlines_.empty() && deadlines_.begin()->first.first <= now) {
    const CallId id = deadlines_.begin()->first.second;
    const Call& call = calls_.at(id);
    const Verdict verdict = call.running.empty() ? call.verdict : Verdict::kMayHaveRun;
    for (const AttemptId attempt : call.running) {
      actions->push_back(CancelAttempt{attempt});
    }
    EndCall(now, id);
    Refuse(id, RefusalReason::kDeadline, verdict, "The deadline passed.", actions);
  }
}

template <RoutingPolicy Policy>
std::optional<MonoTime> Dispatcher<Policy>::next_timer() const {
  if (deadlines_.empty()) {
    return std::nullopt;
  }
  return deadlines_.begin()->first.first;
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::Refuse(CallId call,
                                RefusalReason reason,
                                Verdict verdict,
                                std::string text,
                                CallActions* actions) {
  Refusal refusal;
  refusal.reason = reason;
  refusal.verdict = verdict;
  refusal.text = std::move(text);
  actions->push_back(RefuseCall{call, std::move(refusal)});
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::Enqueue(MonoTime now, const Call& call) {
  auto& queue = queues_[call.request.service];
  queue.push_back(call.request.id);
  policy_->SetWaiting(now, call.request.service, static_cast<int32_t>(queue.size()));
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::Dequeue(MonoTime now, const Call& call) {
  auto& queue = queues_[call.request.service];
  if (std::erase(queue, call.request.id) > 0) {
    policy_->SetWaiting(now, call.request.service, static_cast<int32_t>(queue.size()));
  }
}

template <RoutingPolicy Policy>
void Dispatcher<Policy>::EndCall(MonoTime now, CallId id) {
  const auto call = calls_.find(id);
  Dequeue(now, call->second);
  deadlines_.erase(std::pair(call->second.deadline, id));
  calls_.erase(call);
}

}  // namespace jd
