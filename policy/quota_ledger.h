#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "common/units.h"
#include "policy/quota_message.h"

namespace jd {

/// Whether a call may be sent under the quota of its workspace.
enum class QuotaAdmission : uint8_t {
  kAdmitted,
  kWaiting,  ///< A token has been requested; the decision follows within about 100 ms.
  kRefused,
};

/// How the calls of workspaces with a quota have ended, and the tokens of one gateway, since its
/// start.
struct QuotaCounts {
  uint64_t calls_refused = 0;
  uint64_t tokens_requested = 0;
  uint64_t tokens_granted = 0;
  uint64_t unanswered = 0;  ///< Requests for a token without a reply in time.
};

/// The tokens that one gateway holds for the calls of workspaces with a quota.
///
/// A call without a token waits for the reply of the issuer. A gateway that sees many calls of a
/// workspace also requests tokens ahead. Tokens expire by the clock of this gateway, counted from
/// the time when they were requested, so that a process that was paused does not send on old ones.
class QuotaLedger {
 public:
  /// Time from the request of a token until it may no longer be used.
  static constexpr Duration kLeaseLifetime = 300ms;
  /// Longest wait for a reply of an issuer; a call waits for at most kMaxRounds replies.
  static constexpr Duration kReplyTimeout = 50ms;
  static constexpr int kMaxRounds = 2;
  /// A call that is refused for at most this time waits here and its token is requested again.
  static constexpr Duration kMaxHold = 15ms;
  /// Calls of a workspace are refused without a request for at most this time after a refusal.
  static constexpr Duration kMaxLocalRefusal = 50ms;
  static constexpr Duration kMaxRetryAfter = 2s;
  /// Retry-after time of a call for which no issuer has replied.
  static constexpr Duration kUnansweredRetryAfter = 300ms;

  /// The decision about a call that waited.
  struct Decision {
    CallId call;
    bool admitted = false;
    Duration retry_after{0};  ///< If not admitted.
  };

  /// Decides about a new call.
  /// @param retry_after is set if the call is refused.
  QuotaAdmission Admit(MonoTime now,
                       const WorkspaceId& workspace,
                       CallId call,
                       Duration* retry_after);
  /// Removes a call that waits, if it does.
  void Cancel(const WorkspaceId& workspace, CallId call);
  /// Gives back the token of a call that was not sent, or was not run by the upstream.
  void Refund(MonoTime now, const WorkspaceId& workspace);
  /// Accounts for an attempt that was sent without a token: a retry or a hedge.
  void Charge(MonoTime now, const WorkspaceId& workspace);
  /// Returns the demands that are due to be sent to the issuers, at most one for each workspace.
  std::vector<QuotaDemand> TakeDemands(MonoTime now);
  /// Applies the reply to a demand.
  /// @param request_sent when the demand was sent.
  void OnLease(MonoTime now,
               MonoTime request_sent,
               const QuotaLease& lease,
               std::vector<Decision>* decisions);
  /// Ends the waits that have taken too long and drops what is no longer needed.
  /// @return the workspaces whose issuer has not replied.
  std::vector<WorkspaceId> OnTimer(MonoTime now, std::vector<Decision>* decisions);
  std::optional<MonoTime> next_timer() const;
  const QuotaCounts& counts() const { return counts_; }

 private:
  struct WaitingCall {
    CallId call;
    int rounds = 0;       ///< Demands that included the call.
    bool asked = false;   ///< A demand that includes the call has not been replied to.
    MonoTime next_event;  ///< If asked, when the wait ends; otherwise when to ask.
  };
  struct Lease {
    MonoTime expires;
    int32_t tokens = 0;
  };
  struct Account {
    std::deque<Lease> leases;
    std::deque<WaitingCall> waiting;
    int32_t returned = 0;    ///< Tokens to give back; negative: attempts sent without a token.
    MonoTime return_at;      ///< When `returned` is sent, if it is not 0.
    MonoTime refused_until;  ///< Calls are refused without a request until then.
    MonoTime next_token;     ///< When the issuer expects to have a token again.
    MonoTime next_ahead;     ///< No tokens are requested ahead before this time.
    double calls_per_s = 0;  ///< Moving average.
    MonoTime averaged;       ///< When the average was updated.
  };

  static void DropExpired(MonoTime now, Account* account);
  static int32_t Stock(const Account& account);
  static bool TakeToken(MonoTime now, Account* account);
  static void AddReturned(MonoTime now, int32_t tokens, Account* account);
  /// Returns the tokens to request ahead of the calls that are expected.
  static int32_t AheadDemand(MonoTime now, int32_t needed, Account* account);
  /// Decides about a call that got no token in a reply. @return whether the call has ended.
  bool RefuseWaiting(MonoTime now,
                     Duration retry_after,
                     WaitingCall* waiting,
                     std::vector<Decision>* decisions);

  std::map<WorkspaceId, Account> accounts_;  ///< Workspaces with recent calls.
  QuotaCounts counts_;
};

}  // namespace jd
