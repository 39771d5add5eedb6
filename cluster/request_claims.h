#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/claim_row.h"
#include "cluster/table_call.h"
#include "common/ids.h"
#include "common/now.h"
#include "common/random.h"
#include "common/units.h"
#include "common/verdict.h"

namespace jd {

/// What happens to a call with a request key.
enum class ClaimDecision : uint8_t {
  kRun,           ///< The key is claimed for this call; it may be sent.
  kReplay,        ///< The key's request has run; respond with the stored response.
  kUnresolved,    ///< The key's request may have run; respond with status 409.
  kBodyNotKept,   ///< It has run, but its response was too large to store; respond with 409.
  kOtherRequest,  ///< A different request claimed the key; refuse the call as not run.
  kStoreDown,     ///< The key could not be claimed in time; refuse the call as not run.
};

/// The result of RequestClaims::Claim.
struct ClaimAnswer {
  CallId call;
  ClaimDecision decision = ClaimDecision::kStoreDown;
  ClaimRow stored;  ///< The stored row, set for kReplay and kBodyNotKept.
};

/// Table calls that a RequestClaims function asks its caller to send, and results of claims.
struct ClaimOutput {
  TableCalls calls;
  std::vector<ClaimAnswer> answers;
};

/// The outcome of a call whose request key was claimed.
struct ClaimOutcome {
  Verdict verdict = Verdict::kMayHaveRun;
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Claims request keys (idempotency keys) in the platform's table, so that a request with a key
/// runs at most once even if it is sent to several gateways, design section 3.4.
class RequestClaims {
 public:
  /// Maximum time for which a claim may delay its call. The limit is half of the time until the
  /// call's deadline if that is shorter.
  static constexpr Duration kClaimTimeout = 500ms;
  /// Largest response body in bytes that is stored.
  static constexpr size_t kMaxBody = size_t{16} * 1024;
  /// How long storing an outcome or removing a claim is retried.
  static constexpr Duration kFinishTimeout = 60s;
  static constexpr Duration kRetryDelay = 250ms;

  /// @param self id of this gateway; together with the incarnation it makes a nonce prefix that is
  /// unique to this process.
  RequestClaims(const GatewayId& self, Incarnation incarnation);

  /// Claims a request key for a call before its first attempt. The result is added to the output of
  /// this or a later function within the time limit, see kClaimTimeout.
  /// @param key key of the claim's row, see RowKey.
  /// @param deadline deadline of the call.
  void Claim(Now now,
             CallId call,
             const std::string& key,
             Fingerprint fingerprint,
             MonoTime deadline,
             ClaimOutput* output);
  /// Handles the end of a call whose claim returned kRun. Stores the outcome if the call ran,
  /// removes the claim if it did not run, and leaves the claim unresolved if it may have run.
  void Finish(Now now, CallId call, const ClaimOutcome& outcome, ClaimOutput* output);
  /// Removes the claim of a call whose caller disconnected before the result of the claim was
  /// known. Does nothing if the call is already running.
  void Cancel(Now now, CallId call, ClaimOutput* output);
  void OnTimer(Now now, ClaimOutput* output);
  void OnTableReply(Now now, uint64_t token, const TableReply& reply, ClaimOutput* output);

  std::optional<MonoTime> next_timer() const;
  size_t pending() const { return claims_.size(); }

  /// Returns the key of the row that stores a request key. The same request key of another service
  /// or workspace has a different row.
  static std::string RowKey(const ServiceId& service,
                            const WorkspaceId& workspace,
                            const std::string& request_key);

 private:
  enum class Step : uint8_t {
    kInsert,       ///< Inserts the row if it does not exist.
    kInspect,      ///< Reads the row after the insert conflicted or its reply was lost.
    kRunning,      ///< The claim succeeded and the call is running.
    kReadVersion,  ///< Reads the row's version before storing the outcome or removing the claim.
    kFinish,       ///< Stores the outcome or removes the claim.
  };

  struct PendingClaim {
    CallId call;
    std::string key;
    ClaimRow row;
    Step step = Step::kInsert;
    MonoTime time_limit;               ///< Time limit of the claim or of its completion.
    std::optional<MonoTime> retry_at;  ///< When to retry the step; set while waiting for that.
    uint64_t token = 0;                ///< Token of the latest table call.
    bool remove = false;               ///< Remove the claim instead of storing an outcome.
  };

  void SendCall(uint64_t id,
                PendingClaim* claim,
                Step step,
                TableRequest request,
                ClaimOutput* output);
  void Insert(uint64_t id, PendingClaim* claim, ClaimOutput* output);
  void OnInsert(Now now, uint64_t id, const TableReply& reply, ClaimOutput* output);
  void OnInspect(Now now, uint64_t id, const TableReply& reply, ClaimOutput* output);
  void OnVersionRead(Now now, uint64_t id, const TableReply& reply, ClaimOutput* output);
  void AllowCall(PendingClaim* claim, ClaimOutput* output);
  void StartRemoval(Now now, uint64_t id, ClaimOutput* output);
  void OnTimeLimit(Now now, uint64_t id, ClaimOutput* output);
  void ScheduleRetry(Now now, PendingClaim* claim);
  std::optional<uint64_t> FindClaim(CallId call) const;

  std::string nonce_prefix_;
  uint64_t next_id_ = 1;
  uint64_t next_token_ = 1;
  std::map<uint64_t, PendingClaim> claims_;  ///< By id, which is part of the nonce.
  std::map<CallId, uint64_t> by_call_;       ///< Claim id of each waiting or running call.
  std::map<uint64_t, uint64_t> tokens_;      ///< Claim id by the token of its latest table call.
};

}  // namespace jd
