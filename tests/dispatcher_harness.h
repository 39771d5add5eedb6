#pragma once

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "policy/dispatcher.h"
#include "policy/local_slots.h"

namespace jd {

/// LocalSlots that also counts the slots in use, to detect leaked and doubly released slots.
class CountingSlots : public LocalSlots {
 public:
  std::optional<EndpointId> Acquire(MonoTime now,
                                    const AcquireRequest& request,
                                    RandomEngine& random);
  void Release(MonoTime now, const EndpointId& endpoint, const AttemptResult& result);
  void SetQueueLength(MonoTime, const ServiceId&, int32_t calls) { waiting = calls; }
  int slots_in_use() const;

  std::map<EndpointId, int> used;
  int32_t waiting = 0;
  bool over_released = false;
  AttemptOutcome last_outcome = AttemptOutcome::kAnswered;  ///< Outcome of the latest release.
};

/// A dispatcher with one service and a simulated event loop. Every action is checked against the
/// guarantees that calls have; a description of the first violation is stored in `violation`.
class DispatcherHarness {
 public:
  /// What the harness expects of a call.
  struct CallModel {
    bool idempotent = false;
    int max_attempts = 0;
    int sends = 0;
    int ended = 0;
    bool caller_gone = false;
    bool answered = false;
    bool may_have_run = false;  ///< According to the results so far.
    std::set<AttemptId> running;
  };

  explicit DispatcherHarness(int endpoints = 3);
  static ServiceId service() { return ServiceId("records"); }

  /// Applies a configuration with the current `profile`.
  void ApplyProfile();
  /// Changes the limits of the profile and the number of usable endpoints.
  void Configure(int max_attempts, bool hedge, int usable);
  /// Makes the first `usable` endpoints usable and the others not.
  void SetUsableEndpoints(int usable);
  /// Sets the number of slots of every endpoint.
  void SetSlotsPerEndpoint(int slots) {
    slots_ = slots;
    SetUsableEndpoints(endpoints_);
  }
  /// Sends a new call to the dispatcher. @param timeout_ms no timeout if 0.
  void StartCall(const std::string& method, int workspace, int timeout_ms, int fingerprint);
  /// Ends the attempt in flight at this index, modulo their number.
  /// @param written whether the request was written to the connection.
  void EndAttempt(int index, AttemptOutcome outcome, bool written, int status = 0);
  void DisconnectCaller(int index);
  /// Advances the time and calls OnTimer for each due timer.
  void AdvanceTime(Duration step);
  /// Calls OnCapacityChanged.
  void NotifyCapacityChanged();
  /// Lets every deadline pass and every result arrive, then checks that no call, attempt or slot is
  /// left.
  void Drain();

  MonoTime now = MonoFromMicros(1000000);
  Profile profile;
  CountingSlots policy;
  Dispatcher<CountingSlots> dispatcher{ZoneId("z"), &policy, 1};
  std::map<CallId, CallModel> calls;
  std::map<AttemptId, SendAttempt> in_flight;
  std::map<AttemptId, MonoTime> sent_at;
  std::set<AttemptId> cancelled;
  std::vector<Refusal> refusals;
  std::vector<Fingerprint> announced;
  std::vector<CrashEvidence> evidence;
  std::vector<CloseConnections> closed_connections;
  int sends = 0;
  /// When the connection of the next result was opened.
  MonoTime connection_opened = MonoFromMicros(0);
  bool new_connection = false;
  std::string violation;

 private:
  void Check(bool holds, const char* text);
  void HandleActions(const CallActions& actions);
  void HandleAction(const SendAttempt& send);
  void HandleAction(const CancelAttempt& cancel);
  void HandleAction(const AnswerCall& answer);
  void HandleAction(const RefuseCall& refuse);
  void HandleAction(const CloseConnections& close) { closed_connections.push_back(close); }
  void HandleAction(const RecordEvent&) {}
  void HandleAction(const SendProbe&) {}
  void HandleAction(const RequestPermit&) {}
  void HandleAction(const AnnounceCrash& crash) { announced.push_back(crash.fingerprint); }
  void HandleAction(const TellCrashEvidence& told) { evidence.push_back(told.evidence); }

  int endpoints_;
  int slots_ = 1;
  uint64_t next_call_ = 1;
};

inline std::optional<EndpointId> CountingSlots::Acquire(MonoTime now,
                                                        const AcquireRequest& request,
                                                        RandomEngine& random) {
  const auto endpoint = LocalSlots::Acquire(now, request, random);
  if (endpoint) {
    ++used[*endpoint];
  }
  return endpoint;
}

inline void CountingSlots::Release(MonoTime now,
                                   const EndpointId& endpoint,
                                   const AttemptResult& result) {
  last_outcome = result.outcome;
  if (--used[endpoint] < 0) {
    over_released = true;
    return;
  }
  LocalSlots::Release(now, endpoint, result);
}

inline int CountingSlots::slots_in_use() const {
  int sum = 0;
  for (const auto& [endpoint, count] : used) {
    sum += count;
  }
  return sum;
}

inline DispatcherHarness::DispatcherHarness(int endpoints) : endpoints_(endpoints) {
  profile.id = ProfileId("p");
  ApplyProfile();
  SetUsableEndpoints(endpoints);
}

inline void DispatcherHarness::ApplyProfile() {
  auto configuration = std::make_shared<Configuration>();
  configuration->profiles[profile.id] = profile;
  Service& service = configuration->services[DispatcherHarness::service()];
  service.id = DispatcherHarness::service();
  service.profile = profile.id;
  service.shares = {{WorkspaceId("w0"), 1.0}, {WorkspaceId("w1"), 2.0}};
  for (int i = 0; i < endpoints_; ++i) {
    Endpoint endpoint;
    endpoint.id = EndpointId("e" + std::to_string(i));
    service.endpoints.push_back(endpoint);
  }
  dispatcher.SetConfiguration(now, configuration);
}

inline void DispatcherHarness::Configure(int max_attempts, bool hedge, int usable) {
  profile.max_attempts = max_attempts;
  profile.hedge = hedge;
  profile.hedge_after = 10ms;
  profile.max_queue = 3 + usable;
  ApplyProfile();
  SetUsableEndpoints(usable);
}

inline void DispatcherHarness::SetUsableEndpoints(int usable) {
  ServiceView view{service(), {}};
  for (int i = 0; i < endpoints_; ++i) {
    view.endpoints.push_back(
        {EndpointId("e" + std::to_string(i)), ZoneId("z"), slots_, i < usable});
  }
  policy.SetService(now, view);
  dispatcher.SetService(now, view);
  NotifyCapacityChanged();
}

inline void DispatcherHarness::StartCall(const std::string& method,
                                         int workspace,
                                         int timeout_ms,
                                         int fingerprint) {
  CallRequest request;
  request.id = CallId(next_call_++);
  request.service = service();
  request.workspace = WorkspaceId("w" + std::to_string(workspace));
  request.method = method;
  request.path = "/";
  request.fingerprint = Fingerprint(fingerprint);
  if (timeout_ms > 0) {
    request.timeout = Duration(timeout_ms * 1000);
  }
  CallModel& call = calls[request.id];
  call.idempotent = method == "GET";
  call.max_attempts = std::max(profile.max_attempts, 1);
  CallActions actions;
  dispatcher.OnCall(now, request, &actions);
  HandleActions(actions);
}

inline void DispatcherHarness::EndAttempt(int index,
                                          AttemptOutcome outcome,
                                          bool written,
                                          int status) {
  if (in_flight.empty()) {
    return;
  }
  const auto ended = std::next(in_flight.begin(), index % static_cast<int>(in_flight.size()));
  AttemptResult result;
  result.attempt = ended->first;
  result.outcome = outcome;
  result.status = status;
  result.request_written = written;
  result.latency = now - sent_at[ended->first];
  result.connection_opened = connection_opened;
  result.new_connection = new_connection;
  CallModel& call = calls.at(ended->second.call);
  call.running.erase(ended->first);
  call.may_have_run |= VerdictOf(result) != Verdict::kNotRun;
  in_flight.erase(ended);
  CallActions actions;
  dispatcher.OnAttemptResult(now, result, &actions);
  dispatcher.OnAttemptResult(now, result, &actions);  // A repeated result must change nothing.
  HandleActions(actions);
}

inline void DispatcherHarness::DisconnectCaller(int index) {
  const auto call = std::next(calls.begin(), calls.empty() ? 0 : index % calls.size());
  if (call == calls.end() || call->second.ended > 0) {
    return;
  }
  call->second.caller_gone = true;
  call->second.ended = 1;
  CallActions actions;
  dispatcher.OnCallerGone(now, call->first, &actions);
  HandleActions(actions);
}

inline void DispatcherHarness::AdvanceTime(Duration step) {
  const MonoTime until = now + step;
  while (const auto due = dispatcher.next_timer()) {
    if (*due > until) {
      break;
    }
    now = std::max(now, *due);
    CallActions actions;
    dispatcher.OnTimer(now, &actions);
    HandleActions(actions);
    if (dispatcher.next_timer() && *dispatcher.next_timer() <= now) {
      Check(false, "OnTimer left a due timer");
      break;
    }
  }
  now = until;
}

inline void DispatcherHarness::NotifyCapacityChanged() {
  CallActions actions;
  dispatcher.OnCapacityChanged(now, &actions);
  HandleActions(actions);
}

inline void DispatcherHarness::Drain() {
  AdvanceTime(1min);
  while (!in_flight.empty()) {
    EndAttempt(0, AttemptOutcome::kAnswered, true);
  }
  for (const auto& [id, call] : calls) {
    Check(call.ended == 1, "a call did not end exactly once");
  }
  Check(policy.slots_in_use() == 0 && !policy.over_released,
        "a slot was not released exactly once");
  Check(dispatcher.calls() == 0 && dispatcher.attempts() == 0,
        "calls or attempts are left after the drain");
  Check(policy.waiting == 0, "the policy was not told that the queue is empty");
}

inline void DispatcherHarness::Check(bool holds, const char* text) {
  if (!holds && violation.empty()) {
    violation = text;
  }
}

inline void DispatcherHarness::HandleActions(const CallActions& actions) {
  for (const CallAction& action : actions) {
    std::visit([this](const auto& value) { HandleAction(value); }, action);
  }
  Check(policy.slots_in_use() == static_cast<int>(in_flight.size()),
        "the number of slots in use differs from the number of attempts in flight");
}

inline void DispatcherHarness::HandleAction(const SendAttempt& send) {
  CallModel& call = calls.at(send.call);
  Check(call.ended == 0, "an attempt was sent for a call that had ended");
  Check(++call.sends <= call.max_attempts, "more attempts were sent than allowed");
  Check(call.idempotent || (call.running.empty() && !call.may_have_run),
        "a non-idempotent request was sent again after it may have run");
  Check(call.running.size() < 2, "more than one hedge was sent");
  call.running.insert(send.attempt);
  in_flight[send.attempt] = send;
  sent_at[send.attempt] = now;
  ++sends;
}

inline void DispatcherHarness::HandleAction(const CancelAttempt& cancel) {
  Check(in_flight.contains(cancel.attempt), "an attempt was cancelled that is not in flight");
  Check(cancelled.insert(cancel.attempt).second, "an attempt was cancelled twice");
}

inline void DispatcherHarness::HandleAction(const AnswerCall& answer) {
  CallModel& call = calls.at(answer.call);
  Check(++call.ended == 1, "a call ended twice");
  Check(!cancelled.contains(answer.attempt),
        "the answer of a cancelled attempt was relayed to a caller");
  call.answered = true;
}

inline void DispatcherHarness::HandleAction(const RefuseCall& refuse) {
  CallModel& call = calls.at(refuse.call);
  Check(++call.ended == 1, "a call ended twice");
  Check(refuse.refusal.verdict != Verdict::kNotRun || (!call.may_have_run && call.running.empty()),
        "a refusal says not-run although an attempt may have run");
  refusals.push_back(refuse.refusal);
}

}  // namespace jd
