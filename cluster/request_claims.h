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

enum class ClaimDecision : uint8_t {
  kRun,           ///< The key is claimed for this call; it may be sent.
  kReplay,        ///< The key's request is done; answer with the stored response.
  kUnresolved,    ///< The key's request may have run: 409.
  kBodyNotKept,   ///< It ran, but its response was too large to store: 409.
  kOtherRequest,  ///< The key belongs to a different request: refused as not run.
  kStoreDown,     ///< The key could not be claimed in time: refused as not run.
};

struct ClaimAnswer {
  CallId call;
  ClaimDecision decision = ClaimDecision::kStoreDown;
  ClaimRow stored;  ///< For kReplay and kBodyNotKept.
};

/// What a step of RequestClaims asks of its caller.
struct ClaimOutput {
  TableCalls calls;
  std::vector<ClaimAnswer> answers;
};

/// How a call with a claimed key ended.
struct ClaimOutcome {
  Verdict verdict = Verdict::kMayHaveRun;
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Claims request keys in the platform's table, so that a keyed request runs at most once whichever
/// gateways it is sent to, design section 3.4.
class RequestClaims {
 public:
  /// A slow table may hold up a call for this long, and never beyond half of its time left.
  static constexpr Duration kClaimLimit = 500ms;
  static constexpr size_t kMaxBody = size_t{16} * 1024;
  /// Storing an outcome or removing a claim is tried for this long.
  static constexpr Duration kFinishLimit = 60s;
  static constexpr Duration kRetryAfter = 250ms;

  /// @param self prefix of the nonces; with the incarnation it is unique to this process.
  RequestClaims(const GatewayId& self, Incarnation incarnation);

  /// Claims a key for a call before its first attempt. The answer comes through the output, within
  /// the limit.
  /// @param key full name of the key, see KeyOf.
  /// @param deadline of the call.
  void Claim(Now now,
             CallId call,
             const std::string& key,
             Fingerprint fingerprint,
             MonoTime deadline,
             ClaimOutput* output);
  /// Ends a call that was answered with kRun: stores the outcome if it ran, removes the claim if it
  /// did not, and leaves the claim unresolved otherwise.
  void Finish(Now now, CallId call, const ClaimOutcome& outcome, ClaimOutput* output);
  /// The caller is gone before the claim was answered; the claim is taken back.
  void Cancel(Now now, CallId call, ClaimOutput* output);
  void OnTimer(Now now, ClaimOutput* output);
  void OnTableReply(Now now, uint64_t token, const TableReply& reply, ClaimOutput* output);

  std::optional<MonoTime> next_timer() const;
  size_t pending() const { return claims_.size(); }

  /// Returns the row key of a request key; keys of different services and workspaces are distinct.
  static std::string KeyOf(const ServiceId& service,
                           const WorkspaceId& workspace,
                           const std::string& request_key);

 private:
  enum class Step : uint8_t {
    kInsert,   ///< The conditional insert is under way.
    kInspect,  ///< Reads the row, as the insert conflicted or its answer was lost.
    kHeld,     ///< The call runs.
    kLookup,   ///< Reads the row's version, to store the outcome or remove the claim.
    kFinish,   ///< The write of the outcome or the removal is under way.
  };

  struct Entry {
    CallId call;
    std::string key;
    ClaimRow row;
    Step step = Step::kInsert;
    MonoTime limit;                    ///< The step must be over by then.
    std::optional<MonoTime> retry_at;  ///< Set while waiting to repeat a step.
    uint64_t token = 0;                ///< Of the latest table call.
    bool remove = false;               ///< Finish by removing the claim.
  };

  void Call(uint64_t id, Entry* entry, Step step, TableRequest request, ClaimOutput* output);
  void Insert(uint64_t id, Entry* entry, ClaimOutput* output);
  void OnInsert(Now now, uint64_t id, const TableReply& reply, ClaimOutput* output);
  void OnInspect(Now now, uint64_t id, const TableReply& reply, ClaimOutput* output);
  void OnLookup(Now now, uint64_t id, const TableReply& reply, ClaimOutput* output);
  void Run(Entry* entry, ClaimOutput* output);
  void StartRemoval(Now now, uint64_t id, ClaimOutput* output);
  void Expire(Now now, uint64_t id, ClaimOutput* output);
  void Retry(Now now, Entry* entry);
  std::optional<uint64_t> IdOf(CallId call) const;

  std::string nonce_prefix_;
  uint64_t next_id_ = 1;
  uint64_t next_token_ = 1;
  std::map<uint64_t, Entry> claims_;     ///< By id, which is also part of the nonce.
  std::map<CallId, uint64_t> by_call_;   ///< Calls that wait or run.
  std::map<uint64_t, uint64_t> tokens_;  ///< Claim by token; only the latest token counts.
};

}  // namespace jd
