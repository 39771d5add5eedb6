#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/configuration.h"
#include "common/random.h"
#include "policy/attempt_book.h"
#include "policy/call.h"
#include "policy/call_action.h"
#include "policy/call_history.h"
#include "policy/routing_policy.h"
#include "policy/service_state.h"

namespace jd {

/// The calls of one gateway and every decision about them that needs no slot; Dispatcher adds the
/// routing policy. A Call pointer is valid until that call ends.
class CallBook {
 public:
  void SetConfiguration(MonoTime now, ConfigurationPtr configuration);
  void SetService(MonoTime now, const ServiceView& view);
  void SetDegraded(const ServiceId& service, bool degraded);
  void Stop() { stopping_ = true; }

  /// Takes a new call. @return null if it was refused.
  Call* Admit(MonoTime now, const CallRequest& request, CallActions* actions);
  /// Lets an admitted call wait, if need be in place of another; refuses it if it cannot be served
  /// in time.
  void Enqueue(MonoTime now, Call* call, CallActions* actions);
  /// Lets a call wait for its next attempt. It was admitted before, so the queue's limit does not
  /// apply.
  void Requeue(Call* call);
  /// Takes a call out of its queue while endpoints are measured for it.
  void BeginMeasuring(MonoTime now, Call* call);
  /// Takes in that no measured endpoint has room for a call: a hedge is abandoned, a call without
  /// an attempt under way is refused.
  void GiveUpMeasuring(MonoTime now, Call* call, RandomEngine& random, CallActions* actions);
  /// Returns the time that an upstream at its usual speed needs for such a call.
  Duration WorkOf(const Call& call) const;
  /// Returns the call, or null if it has ended.
  Call* Find(CallId id);
  /// Returns the next waiting call of a service that is not skipped, or null.
  Call* NextWaiting(const ServiceId& service, const std::vector<CallId>& skipped);
  bool HasWaiting(const ServiceId& service) const;
  std::vector<ServiceId> ServicesWaiting() const;

  /// Checks a call just before an attempt. @return false if it was refused instead.
  bool MaySend(MonoTime now, Call* call, CallActions* actions);
  std::vector<EndpointId> Excluded(const Call& call) const;
  /// Sends an attempt to an endpoint whose slot was acquired.
  /// @param basis what the choice rests on, for the log.
  void Send(MonoTime now,
            Call* call,
            const EndpointId& endpoint,
            std::string basis,
            CallActions* actions);
  /// Takes in a result. @return nothing if the attempt is unknown.
  std::optional<EndedAttempt> EndAttempt(MonoTime now,
                                         const AttemptResult& result,
                                         CallActions* actions);
  void SetRetryLimits(const RetryBudget::Limits& limits);
  /// Draws the consequences for the attempt's call. @return the call if it is to be sent again.
  Call* Resolve(MonoTime now, const EndedAttempt& ended, CallActions* actions);
  void CallerGone(CallId id, CallActions* actions);

  /// Handles due timers. @return a call to be hedged now, whose budget is taken, or null once no
  /// timer is due.
  Call* TakeDue(MonoTime now, CallActions* actions);
  /// No endpoint is free for the hedge; the call goes on without it.
  void AbandonHedge(Call* call);
  std::optional<MonoTime> next_timer() const;

  /// Returns the queue lengths that changed since the last call.
  std::vector<std::pair<ServiceId, int32_t>> TakeWaitingChanges();
  CrashGuard& guard() { return attempts_.guard(); }
  size_t calls() const { return calls_.size(); }
  size_t attempts() const { return attempts_.size(); }

 private:
  enum class TimerKind : uint8_t { kDeadline, kHedge };
  using Timer = std::tuple<MonoTime, CallId, TimerKind>;

  /// Drops what is known of endpoints that the present configuration no longer has.
  void ForgetEndpoints(const Configuration& previous);
  /// Finds the service and the profile of a new call.
  /// @param request its service and profile are set.
  /// @return null if the call was refused.
  const Profile* FindProfile(CallRequest* request, CallActions* actions);
  ServiceState& StateOf(const Call& call) { return services_.at(call.request.service); }
  const ServiceState& StateOf(const Call& call) const { return services_.at(call.request.service); }
  /// Returns when a caller that is refused for load should come back.
  Duration ReturnAfter(MonoTime now, const Call& call, RandomEngine& random) const;
  void Push(Call* call);
  void Dequeue(Call* call);
  void ClearHedge(Call* call);
  void ScheduleHedge(MonoTime now, Call* call);
  /// Returns when a call that is sent now is hedged if it has no answer by then.
  MonoTime HedgeTime(MonoTime now, const Call& call) const;
  bool MayHedge(MonoTime now, Call* call);
  /// Ends a call whose deadline passed.
  void Expire(Call* call, CallActions* actions);
  void RefuseNew(const CallRequest& request,
                 RefusalReason reason,
                 Duration retry_after,
                 std::string text,
                 CallActions* actions);
  /// Cancels the call's attempts, refuses it and forgets it.
  void Refuse(Call* call,
              RefusalReason reason,
              Duration retry_after,
              std::string text,
              CallActions* actions);
  /// Relays the answer of an attempt and ends the call.
  void Answer(Call* call, AttemptId attempt, const EndpointId& endpoint, CallActions* actions);
  /// Returns whether a call whose upstream answered with an error is sent to another one.
  bool RetriesError(MonoTime now, Call* call, int status);
  void CancelRunning(Call* call, bool expired, CallActions* actions);
  void Forget(Call* call);

  ConfigurationPtr configuration_;
  bool stopping_ = false;
  RetryBudget::Limits retry_limits_;
  uint64_t next_sequence_ = 1;
  std::unordered_map<CallId, Call> calls_;
  std::map<ServiceId, ServiceState> services_;
  std::set<Timer> timers_;
  std::set<ServiceId> queue_changed_;
  CallHistory history_;
  AttemptBook attempts_;
};

}  // namespace jd
