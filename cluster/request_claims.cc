#include "cluster/request_claims.h"

#include <algorithm>
#include <utility>

namespace jd {
namespace {

constexpr const char* kHex = "0123456789abcdef";

/// Percent-encodes every byte except printable ASCII, and "%" itself. Callers choose the bytes of a
/// request key, and the platform's store accepts JSON, which cannot represent every byte.
std::string PercentEncode(const std::string& text) {
  std::string escaped;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte > ' ' && byte < 127 && byte != '%') {
      escaped.push_back(character);
    } else {
      escaped.append({'%', kHex[byte >> 4U], kHex[byte & 15U]});
    }
  }
  return escaped;
}

}  // namespace

RequestClaims::RequestClaims(const GatewayId& self, Incarnation incarnation)
    : nonce_prefix_(self.value + "/" + std::to_string(incarnation.value) + "/") {}

std::string RequestClaims::RowKey(const ServiceId& service,
                                  const WorkspaceId& workspace,
                                  const std::string& request_key) {
  const std::string service_name = PercentEncode(service.value);
  const std::string workspace_name = PercentEncode(workspace.value);
  // The lengths make the key unambiguous if a name contains the separator.
  return kClaimPrefix + std::to_string(service_name.size()) + "." +
         std::to_string(workspace_name.size()) + "/" + service_name + "/" + workspace_name + "/" +
         PercentEncode(request_key);
}

void RequestClaims::Claim(Now now,
                          CallId call,
                          const std::string& key,
                          Fingerprint fingerprint,
                          MonoTime deadline,
                          ClaimOutput* output) {
  const uint64_t id = next_id_++;
  PendingClaim& claim = claims_[id];
  claim.call = call;
  claim.key = key;
  claim.row.nonce = nonce_prefix_ + std::to_string(id);
  claim.row.fingerprint = fingerprint;
  claim.row.claimed = now.wall;
  claim.time_limit =
      now.mono + std::min(kClaimTimeout, std::max(Duration(0), deadline - now.mono) / 2);
  by_call_[call] = id;
  Insert(id, &claim, output);
}

void RequestClaims::Finish(Now now, CallId call, const ClaimOutcome& outcome, ClaimOutput* output) {
  const std::optional<uint64_t> id = FindClaim(call);
  if (!id || claims_.at(*id).step != Step::kRunning) {
    return;
  }
  if (outcome.verdict == Verdict::kNotRun) {
    StartRemoval(now, *id, output);
    return;
  }
  by_call_.erase(call);
  if (outcome.verdict == Verdict::kMayHaveRun) {
    claims_.erase(*id);
    return;
  }
  PendingClaim& claim = claims_.at(*id);
  claim.time_limit = now.mono + kFinishTimeout;
  claim.row.done = true;
  claim.row.status = outcome.status;
  claim.row.content_type = outcome.content_type;
  claim.row.body_kept = outcome.body.size() <= kMaxBody;
  claim.row.body = claim.row.body_kept ? outcome.body : std::string();
  SendCall(*id, &claim, Step::kReadVersion, TableGet{claim.key}, output);
}

void RequestClaims::Cancel(Now now, CallId call, ClaimOutput* output) {
  const std::optional<uint64_t> id = FindClaim(call);
  if (id && claims_.at(*id).step != Step::kRunning) {
    StartRemoval(now, *id, output);
  }
}

void RequestClaims::OnTimer(Now now, ClaimOutput* output) {
  std::vector<uint64_t> due;
  for (const auto& [id, claim] : claims_) {
    if (claim.step != Step::kRunning &&
        (now.mono >= claim.time_limit || (claim.retry_at && now.mono >= *claim.retry_at))) {
      due.push_back(id);
    }
  }
  for (const uint64_t id : due) {
    PendingClaim& claim = claims_.at(id);
    if (now.mono >= claim.time_limit) {
      OnTimeLimit(now, id, output);
      continue;
    }
    claim.retry_at.reset();
    if (claim.step == Step::kInsert) {
      Insert(id, &claim, output);
    } else {
      SendCall(id, &claim, claim.step, TableGet{claim.key}, output);
    }
  }
}

void RequestClaims::OnTableReply(Now now,
                                 uint64_t token,
                                 const TableReply& reply,
                                 ClaimOutput* output) {
  const auto found = tokens_.find(token);
  if (found == tokens_.end()) {
    return;
  }
  const uint64_t id = found->second;
  tokens_.erase(found);
  // The timer may fire late. A reply that arrives after the time limit must not start a call that
  // should already have been refused.
  if (now.mono >= claims_.at(id).time_limit) {
    OnTimeLimit(now, id, output);
    return;
  }
  switch (claims_.at(id).step) {
    case Step::kInsert:
      OnInsert(now, id, reply, output);
      return;
    case Step::kInspect:
      OnInspect(now, id, reply, output);
      return;
    case Step::kReadVersion:
      OnVersionRead(now, id, reply, output);
      return;
    case Step::kFinish:
      if (reply.status == TableStatus::kDone) {
        claims_.erase(id);
      } else {
        claims_.at(id).step = Step::kReadVersion;
        ScheduleRetry(now, &claims_.at(id));
      }
      return;
    case Step::kRunning:
      return;
  }
}

std::optional<MonoTime> RequestClaims::next_timer() const {
  std::optional<MonoTime> next;
  for (const auto& [id, claim] : claims_) {
    if (claim.step == Step::kRunning) {
      continue;
    }
    const MonoTime due =
        claim.retry_at ? std::min(*claim.retry_at, claim.time_limit) : claim.time_limit;
    next = next ? std::min(*next, due) : due;
  }
  return next;
}

void RequestClaims::SendCall(uint64_t id,
                             PendingClaim* claim,
                             Step step,
                             TableRequest request,
                             ClaimOutput* output) {
  tokens_.erase(claim->token);
  claim->step = step;
  claim->retry_at.reset();
  claim->token = next_token_++;
  tokens_[claim->token] = id;
  output->calls.push_back({claim->token, std::move(request), kClaimTimeout});
}

void RequestClaims::Insert(uint64_t id, PendingClaim* claim, ClaimOutput* output) {
  TableTransaction transaction;
  transaction.checks.push_back({claim->key, 0});
  transaction.puts.push_back({claim->key, claim->row.ToJson()});
  SendCall(id, claim, Step::kInsert, std::move(transaction), output);
}

void RequestClaims::OnInsert(Now now, uint64_t id, const TableReply& reply, ClaimOutput* output) {
  PendingClaim& claim = claims_.at(id);
  switch (reply.status) {
    case TableStatus::kDone:
      AllowCall(&claim, output);
      return;
    case TableStatus::kUnavailable:
      ScheduleRetry(now, &claim);
      return;
    case TableStatus::kConflict:
    case TableStatus::kUnknown:
      SendCall(id, &claim, Step::kInspect, TableGet{claim.key}, output);
      return;
  }
}

void RequestClaims::OnInspect(Now now, uint64_t id, const TableReply& reply, ClaimOutput* output) {
  PendingClaim& claim = claims_.at(id);
  if (reply.status != TableStatus::kDone) {
    ScheduleRetry(now, &claim);
    return;
  }
  if (reply.rows.empty()) {
    // Either the conflicting claim was removed, or this gateway's own insert has not taken effect
    // yet.
    claim.step = Step::kInsert;
    ScheduleRetry(now, &claim);
    return;
  }
  const std::optional<ClaimRow> row = ClaimRow::Parse(reply.rows[0].value);
  if (row && row->nonce == claim.row.nonce) {
    AllowCall(&claim, output);
    return;
  }
  ClaimAnswer answer;
  answer.call = claim.call;
  answer.decision = ClaimDecision::kUnresolved;
  if (row && row->fingerprint != claim.row.fingerprint) {
    answer.decision = ClaimDecision::kOtherRequest;
  } else if (row && row->done) {
    answer.decision = row->body_kept ? ClaimDecision::kReplay : ClaimDecision::kBodyNotKept;
    answer.stored = *row;
  }
  output->answers.push_back(std::move(answer));
  by_call_.erase(claim.call);
  claims_.erase(id);
}

void RequestClaims::OnVersionRead(Now now,
                                  uint64_t id,
                                  const TableReply& reply,
                                  ClaimOutput* output) {
  PendingClaim& claim = claims_.at(id);
  if (reply.status != TableStatus::kDone) {
    ScheduleRetry(now, &claim);
    return;
  }
  const bool absent = reply.rows.empty();
  const std::optional<ClaimRow> row = absent ? std::nullopt : ClaimRow::Parse(reply.rows[0].value);
  if (absent && claim.remove) {
    // An insert whose reply was lost may still take effect, so keep reading the row until the time
    // limit.
    ScheduleRetry(now, &claim);
    return;
  }
  if (!row || row->nonce != claim.row.nonce || row->done) {
    claims_.erase(id);
    return;
  }
  TableTransaction transaction;
  transaction.checks.push_back({claim.key, reply.rows[0].version});
  if (claim.remove) {
    transaction.deletes.push_back(claim.key);
  } else {
    transaction.puts.push_back({claim.key, claim.row.ToJson()});
  }
  SendCall(id, &claim, Step::kFinish, std::move(transaction), output);
}

void RequestClaims::AllowCall(PendingClaim* claim, ClaimOutput* output) {
  claim->step = Step::kRunning;
  claim->retry_at.reset();
  output->answers.push_back({claim->call, ClaimDecision::kRun, {}});
}

void RequestClaims::StartRemoval(Now now, uint64_t id, ClaimOutput* output) {
  PendingClaim& claim = claims_.at(id);
  by_call_.erase(claim.call);
  claim.remove = true;
  claim.time_limit = now.mono + kFinishTimeout;
  SendCall(id, &claim, Step::kReadVersion, TableGet{claim.key}, output);
}

void RequestClaims::OnTimeLimit(Now now, uint64_t id, ClaimOutput* output) {
  PendingClaim& claim = claims_.at(id);
  if (claim.step == Step::kInsert || claim.step == Step::kInspect) {
    output->answers.push_back({claim.call, ClaimDecision::kStoreDown, {}});
    StartRemoval(now, id, output);
    return;
  }
  tokens_.erase(claim.token);
  claims_.erase(id);
}

void RequestClaims::ScheduleRetry(Now now, PendingClaim* claim) {
  // A caller waits for the claim, which has a short time limit, so it is retried faster than work
  // that continues after the caller got its answer.
  const bool claiming = claim->step == Step::kInsert || claim->step == Step::kInspect;
  claim->retry_at = now.mono + (claiming ? kRetryDelay / 10 : kRetryDelay);
}

std::optional<uint64_t> RequestClaims::FindClaim(CallId call) const {
  const auto found = by_call_.find(call);
  return found == by_call_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace jd
