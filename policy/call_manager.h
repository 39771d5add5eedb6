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
#include "policy/attempt_tracker.h"
#include "policy/call.h"
#include "policy/call_action.h"
#include "policy/call_history.h"
#include "policy/routing_policy.h"
#include "policy/service_state.h"

namespace jd {

/// Keeps the calls in progress on one gateway and makes the decisions about them that do not depend
/// on free slots: admission, queueing, retries, hedging and deadlines. Dispatcher combines it with
/// the routing policy. A Call pointer stays valid until that call ends.
class CallManager {
 public:
  void SetConfiguration(MonoTime now, ConfigurationPtr configuration);
  void SetService(MonoTime now, const ServiceView& view);
  void SetDegraded(const ServiceId& service, bool degraded);
  void StopAdmission() { stopping_ = true; }
  /// Moves the deadlines of all calls, also of those that arrive later, to `latest` or earlier.
  void LimitDeadlines(MonoTime latest);

  /// Admits a new call. @return the call, or null if it was refused.
  Call* Admit(MonoTime now, const CallRequest& request, CallActions* actions);
  /// Puts an admitted call into its service's queue. Refuses the call if the queue will not reach
  /// it before its deadline. If the queue is full, refuses either this call or one already queued.
  void Enqueue(MonoTime now, Call* call, CallActions* actions);
  /// Puts a call back into the queue for its next attempt. The queue's size limit does not apply,
  /// because the call was already admitted.
  void Requeue(Call* call);
  /// Removes a call from its queue, if it is queued, while endpoints are probed for it.
  void DequeueForProbing(MonoTime now, Call* call);
  /// Returns whether a call may wait for a free slot: its turn is expected to come while it can
  /// still be answered by its target time.
  bool MayWaitForRoom(MonoTime now, const Call& call) const;
  /// Lets a call for which no endpoint has room wait for a free slot, if it may. It is refused once
  /// it can no longer be answered by its target time.
  /// @return false if the call doesn't wait; it hasn't ended then.
  bool WaitForRoom(MonoTime now, Call* call);
  /// Returns whether calls of a more urgent rank have lacked room recently, so that this call must
  /// leave room for them.
  bool MustYield(MonoTime now, const Call& call) const;
  /// Handles a call for which no probed endpoint has room: abandons the hedge if another attempt is
  /// still running, otherwise refuses the call.
  void HandleNoProbedCapacity(MonoTime now, Call* call, RandomEngine& random, CallActions* actions);
  /// Returns how long an upstream at its usual speed takes to serve such a call, without queueing.
  Duration UsualServiceTime(const Call& call) const;
  /// Returns the call with this id, or null if it has ended.
  Call* Find(CallId id);
  /// Returns the next call in a service's queue that is not among `skipped`, or null.
  Call* NextWaitingCall(const ServiceId& service, const std::vector<CallId>& skipped);
  bool HasWaitingCalls(const ServiceId& service) const;
  std::vector<ServiceId> ServicesWithWaitingCalls() const;

  /// Checks just before an attempt that the call may still be sent, and refuses it if not: its
  /// deadline has passed or is too near, or the same request has crashed upstreams.
  /// @return false if the call was refused.
  bool CheckBeforeAttempt(MonoTime now, Call* call, CallActions* actions);
  /// Returns whether attempts of the call may be sent to the endpoint.
  bool IsUsable(const Call& call, const EndpointId& endpoint) const;
  /// Returns the endpoints that the call's next attempt must avoid.
  std::vector<EndpointId> ExcludedEndpoints(const Call& call) const;
  /// Starts an attempt at an endpoint whose slot was acquired.
  /// @param basis load data that the choice of the endpoint is based on, for the timeline.
  void StartAttempt(MonoTime now,
                    Call* call,
                    const EndpointId& endpoint,
                    std::string basis,
                    CallActions* actions);
  /// Records the result of an attempt and updates the load statistics with it.
  /// @return the ended attempt, or nothing if the attempt is unknown.
  std::optional<EndedAttempt> EndAttempt(MonoTime now,
                                         const AttemptResult& result,
                                         CallActions* actions);
  void SetRetryLimits(const RetryBudget::Limits& limits);
  /// Decides how the call of an ended attempt continues: relays the answer, refuses the call, waits
  /// for its other attempt or retries. @return the call if it must be sent again, otherwise null.
  Call* HandleEndedAttempt(MonoTime now, const EndedAttempt& ended, CallActions* actions);
  /// Ends a call whose caller closed its connection, and cancels the call's attempts.
  void OnCallerGone(CallId id, CallActions* actions);

  /// Handles due timers until one starts a hedge.
  /// @return a call to be hedged now, already charged to the retry budget, or null once no timer is
  /// due.
  Call* HandleDueTimers(MonoTime now, RandomEngine& random, CallActions* actions);
  /// Refunds the retry budget charged for a hedge that found no free endpoint; the call continues
  /// without it.
  void AbandonHedge(Call* call);
  std::optional<MonoTime> next_timer() const;

  /// Returns the services whose queue length changed since this function was last called, with the
  /// new length.
  std::vector<std::pair<ServiceId, int32_t>> TakeQueueLengthChanges();
  CrashGuard& crash_guard() { return attempts_.crash_guard(); }
  const CrashGuard& crash_guard() const { return attempts_.crash_guard(); }
  size_t calls() const { return calls_.size(); }
  size_t attempts() const { return attempts_.size(); }

 private:
  enum class TimerKind : uint8_t { kDeadline, kHedge, kWait };
  using Timer = std::tuple<MonoTime, CallId, TimerKind>;

  /// Discards the state of endpoints that the current configuration no longer contains.
  void DiscardRemovedEndpoints(const Configuration& previous);
  /// Determines the service and the profile of a new call, from the route table if there is one.
  /// @param request receives the ids of the service and the profile.
  /// @return the profile, or null if the call was refused.
  const Profile* ResolveProfile(CallRequest* request, CallActions* actions);
  /// Determines the workspace of a new call from the key that its caller presents.
  /// @param is_public whether the call needs no key.
  /// @param request receives the id of the workspace.
  /// @return false if the call was refused.
  bool Identify(bool is_public, CallRequest* request, CallActions* actions);
  /// Determines the workspace of a call again if the workspaces or their keys have changed since it
  /// arrived, so that a withdrawn key has no further attempt sent.
  /// @return false if the call was refused.
  bool IdentifyAgain(Call* call, CallActions* actions);
  ServiceState& StateOf(const Call& call) { return services_.at(call.request.service); }
  const ServiceState& StateOf(const Call& call) const { return services_.at(call.request.service); }
  /// Returns after how long a caller refused because of overload should retry.
  Duration RetryAfterOverload(MonoTime now, const Call& call, RandomEngine& random) const;
  /// Refuses a call at once if every endpoint of its service is held back and at least one of them
  /// returns at a known time. A call with a running attempt continues.
  /// @return whether the call was refused.
  bool RefuseIfNothingWanted(MonoTime now, Call* call, CallActions* actions);
  /// Returns after how long the caller of a call whose last attempt failed should retry.
  /// @param refused whether the upstream refused the attempt without running it.
  Duration RetryAfterFailedAttempt(MonoTime now, const Call& call, bool refused) const;
  /// Applies `latest_deadline_` to the deadline and the target time of a call.
  void LimitDeadline(Call* call) const;
  /// Estimates how long a call would wait until the attempts in progress have freed a slot for it.
  Duration ExpectedWait(const Call& call) const;
  /// Returns the latest time at which the call can be sent and still be answered by its target
  /// time.
  MonoTime LatestStart(const Call& call) const;
  void ClearWaitTimer(Call* call);
  void InsertIntoQueue(Call* call);
  void Dequeue(Call* call);
  void ClearHedgeTimer(Call* call);
  void ScheduleHedge(MonoTime now, Call* call);
  /// Returns when a call that is sent now must be hedged if it is still unanswered.
  MonoTime HedgeTime(MonoTime now, const Call& call) const;
  /// Charges the retry budget for a hedge of this call.
  /// @return false if the call must not be hedged.
  bool TryChargeHedge(MonoTime now, Call* call);
  /// Ends a call whose deadline has passed.
  void Expire(Call* call, CallActions* actions);
  void RefuseNew(const CallRequest& request,
                 RefusalReason reason,
                 Duration retry_after,
                 std::string text,
                 CallActions* actions);
  /// Cancels the call's attempts, refuses the call and removes it. If an upstream answered the call
  /// with an error, that answer is relayed instead of the refusal.
  void Refuse(Call* call,
              RefusalReason reason,
              Duration retry_after,
              std::string text,
              CallActions* actions);
  /// Relays the response of an attempt to the caller and ends the call.
  void Answer(Call* call, AttemptId attempt, const EndpointId& endpoint, CallActions* actions);
  /// Charges the retry budget for a call whose upstream answered with a server error.
  /// @return false if the call must not be retried.
  bool TryChargeErrorRetry(MonoTime now, Call* call, int status);
  /// @param expired whether the call's deadline has passed.
  void CancelRunningAttempts(Call* call, bool expired, CallActions* actions);
  /// Removes an ended call from its queue, the timers and the table of calls.
  void RemoveCall(Call* call);

  ConfigurationPtr configuration_;
  bool stopping_ = false;
  std::optional<MonoTime> latest_deadline_;  ///< No call has a later deadline.
  RetryBudget::Limits retry_limits_;
  uint64_t next_sequence_ = 1;
  std::unordered_map<CallId, Call> calls_;
  std::map<ServiceId, ServiceState> services_;
  std::set<Timer> timers_;
  std::set<ServiceId> services_with_changed_queue_;
  CallHistory history_;
  AttemptTracker attempts_;
};

}  // namespace jd
