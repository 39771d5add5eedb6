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

/// LocalSlots that also counts the slots in use, to notice leaks and double releases.
class CountedSlots : public LocalSlots {
 public:
  std::optional<EndpointId> Acquire(MonoTime now, const AcquireRequest& request, RandomEngine& rng);
  void Release(MonoTime now, const EndpointId& endpoint, const AttemptResult& result);
  void SetQueueLength(MonoTime, const ServiceId&, int32_t calls) { waiting = calls; }
  int total() const;

  std::map<EndpointId, int> used;
  int32_t waiting = 0;
  bool over_released = false;
  AttemptOutcome last = AttemptOutcome::kAnswered;  ///< As the policy saw it.
};

/// A dispatcher with one service and a model of its event loop; every action is checked against
/// what the calls were promised, and the first violation is kept in `fault`.
class CallWorld {
 public:
  struct CallModel {
    bool idempotent = false;
    int max_attempts = 0;
    int sends = 0;
    int ended = 0;
    bool gone = false;
    bool answered = false;
    bool may_have_run = false;  ///< By the results so far.
    std::set<AttemptId> running;
  };

  explicit CallWorld(int endpoints = 3);
  static ServiceId service() { return ServiceId("records"); }

  void Apply();
  void Configure(int max_attempts, bool hedge, int usable);
  void UseEndpoints(int usable);
  /// Gives every endpoint this many slots.
  void UseSlots(int slots) {
    slots_ = slots;
    UseEndpoints(endpoints_);
  }
  void Arrive(const std::string& method, int workspace, int timeout_ms, int fingerprint);
  /// Ends the attempt in flight at this position.
  void Finish(int index, AttemptOutcome outcome, bool written, int status = 0);
  void CallerLeaves(int index);
  void Advance(Duration step);
  void Capacity();
  /// Lets every deadline pass and every result arrive, and checks that nothing is left.
  void Drain();

  MonoTime now = MonoFromMicros(1000000);
  Profile profile;
  CountedSlots policy;
  Dispatcher<CountedSlots> dispatcher{ZoneId("z"), &policy, 1};
  std::map<CallId, CallModel> calls;
  std::map<AttemptId, SendAttempt> in_flight;
  std::map<AttemptId, MonoTime> sent;
  std::set<AttemptId> cancelled;
  std::vector<Refusal> refusals;
  std::vector<Fingerprint> announced;
  std::vector<CloseConnections> closed;
  int sends = 0;
  MonoTime opened = MonoFromMicros(0);  ///< Connection of the next result.
  bool new_connection = false;
  std::string fault;

 private:
  void Check(bool holds, const char* text);
  void Handle(const CallActions& actions);
  void Take(const SendAttempt& send);
  void Take(const CancelAttempt& cancel);
  void Take(const AnswerCall& answer);
  void Take(const RefuseCall& refuse);
  void Take(const CloseConnections& close) { closed.push_back(close); }
  void Take(const RecordEvent&) {}
  void Take(const SendProbe&) {}
  void Take(const AnnounceCrash& crash) { announced.push_back(crash.fingerprint); }

  int endpoints_;
  int slots_ = 1;
  uint64_t next_call_ = 1;
};

inline std::optional<EndpointId> CountedSlots::Acquire(MonoTime now,
                                                       const AcquireRequest& request,
                                                       RandomEngine& rng) {
  const auto endpoint = LocalSlots::Acquire(now, request, rng);
  if (endpoint) {
    ++used[*endpoint];
  }
  return endpoint;
}

inline void CountedSlots::Release(MonoTime now,
                                  const EndpointId& endpoint,
                                  const AttemptResult& result) {
  last = result.outcome;
  if (--used[endpoint] < 0) {
    over_released = true;
    return;
  }
  LocalSlots::Release(now, endpoint, result);
}

inline int CountedSlots::total() const {
  int total = 0;
  for (const auto& [endpoint, count] : used) {
    total += count;
  }
  return total;
}

inline CallWorld::CallWorld(int endpoints) : endpoints_(endpoints) {
  profile.id = ProfileId("p");
  Apply();
  UseEndpoints(endpoints);
}

inline void CallWorld::Apply() {
  auto configuration = std::make_shared<Configuration>();
  configuration->profiles[profile.id] = profile;
  Service& service = configuration->services[CallWorld::service()];
  service.id = CallWorld::service();
  service.profile = profile.id;
  service.shares = {{WorkspaceId("w0"), 1.0}, {WorkspaceId("w1"), 2.0}};
  for (int i = 0; i < endpoints_; ++i) {
    Endpoint endpoint;
    endpoint.id = EndpointId("e" + std::to_string(i));
    service.endpoints.push_back(endpoint);
  }
  dispatcher.SetConfiguration(now, configuration);
}

inline void CallWorld::Configure(int max_attempts, bool hedge, int usable) {
  profile.max_attempts = max_attempts;
  profile.hedge = hedge;
  profile.hedge_after = 10ms;
  profile.max_queue = 3 + usable;
  Apply();
  UseEndpoints(usable);
}

inline void CallWorld::UseEndpoints(int usable) {
  ServiceView view{service(), {}};
  for (int i = 0; i < endpoints_; ++i) {
    view.endpoints.push_back(
        {EndpointId("e" + std::to_string(i)), ZoneId("z"), slots_, i < usable});
  }
  policy.SetService(now, view);
  dispatcher.SetService(now, view);
  Capacity();
}

inline void CallWorld::Arrive(const std::string& method,
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
  Handle(actions);
}

inline void CallWorld::Finish(int index, AttemptOutcome outcome, bool written, int status) {
  if (in_flight.empty()) {
    return;
  }
  const auto ended = std::next(in_flight.begin(), index % static_cast<int>(in_flight.size()));
  AttemptResult result;
  result.attempt = ended->first;
  result.outcome = outcome;
  result.status = status;
  result.request_written = written;
  result.latency = now - sent[ended->first];
  result.connection_opened = opened;
  result.new_connection = new_connection;
  CallModel& call = calls.at(ended->second.call);
  call.running.erase(ended->first);
  call.may_have_run |= VerdictOf(result) != Verdict::kNotRun;
  in_flight.erase(ended);
  CallActions actions;
  dispatcher.OnAttemptResult(now, result, &actions);
  dispatcher.OnAttemptResult(now, result, &actions);  // A repeated result must change nothing.
  Handle(actions);
}

inline void CallWorld::CallerLeaves(int index) {
  const auto call = std::next(calls.begin(), calls.empty() ? 0 : index % calls.size());
  if (call == calls.end() || call->second.ended > 0) {
    return;
  }
  call->second.gone = true;
  call->second.ended = 1;
  CallActions actions;
  dispatcher.OnCallerGone(now, call->first, &actions);
  Handle(actions);
}

inline void CallWorld::Advance(Duration step) {
  const MonoTime until = now + step;
  while (const auto due = dispatcher.next_timer()) {
    if (*due > until) {
      break;
    }
    now = std::max(now, *due);
    CallActions actions;
    dispatcher.OnTimer(now, &actions);
    Handle(actions);
    if (dispatcher.next_timer() && *dispatcher.next_timer() <= now) {
      Check(false, "a due timer was left");
      break;
    }
  }
  now = until;
}

inline void CallWorld::Capacity() {
  CallActions actions;
  dispatcher.OnCapacity(now, &actions);
  Handle(actions);
}

inline void CallWorld::Drain() {
  Advance(1min);
  while (!in_flight.empty()) {
    Finish(0, AttemptOutcome::kAnswered, true);
  }
  for (const auto& [id, call] : calls) {
    Check(call.ended == 1, "a call did not end exactly once");
  }
  Check(policy.total() == 0 && !policy.over_released, "a slot was not released exactly once");
  Check(dispatcher.calls() == 0 && dispatcher.attempts() == 0, "calls or attempts are left");
  Check(policy.waiting == 0, "the policy was left with waiting calls");
}

inline void CallWorld::Check(bool holds, const char* text) {
  if (!holds && fault.empty()) {
    fault = text;
  }
}

inline void CallWorld::Handle(const CallActions& actions) {
  for (const CallAction& action : actions) {
    std::visit([this](const auto& value) { Take(value); }, action);
  }
  Check(policy.total() == static_cast<int>(in_flight.size()), "slots differ from attempts");
}

inline void CallWorld::Take(const SendAttempt& send) {
  CallModel& call = calls.at(send.call);
  Check(call.ended == 0, "an attempt was sent for a call that ended");
  Check(++call.sends <= call.max_attempts, "more attempts than allowed");
  Check(call.idempotent || (call.running.empty() && !call.may_have_run),
        "a non-idempotent request was sent again after it may have run");
  Check(call.running.size() < 2, "more than one hedge");
  call.running.insert(send.attempt);
  in_flight[send.attempt] = send;
  sent[send.attempt] = now;
  ++sends;
}

inline void CallWorld::Take(const CancelAttempt& cancel) {
  Check(in_flight.contains(cancel.attempt), "an attempt was cancelled that is not in flight");
  Check(cancelled.insert(cancel.attempt).second, "an attempt was cancelled twice");
}

inline void CallWorld::Take(const AnswerCall& answer) {
  CallModel& call = calls.at(answer.call);
  Check(++call.ended == 1, "a call ended twice");
  Check(!cancelled.contains(answer.attempt), "a cancelled attempt reached a caller");
  call.answered = true;
}

inline void CallWorld::Take(const RefuseCall& refuse) {
  CallModel& call = calls.at(refuse.call);
  Check(++call.ended == 1, "a call ended twice");
  Check(refuse.refusal.verdict != Verdict::kNotRun || (!call.may_have_run && call.running.empty()),
        "a refusal says not run though an attempt may have run");
  refusals.push_back(refuse.refusal);
}

}  // namespace jd
