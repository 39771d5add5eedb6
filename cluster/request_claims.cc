#include "cluster/request_claims.h"

#include <algorithm>
#include <utility>

namespace jd {
namespace {

constexpr const char* kHex = "0123456789abcdef";

/// Percent-encodes every byte except printable ASCII, and "%" itself. Callers choose the bytes of a
/// request key, and the platform's store accepts JSON, which cannot represent every byte.
std::string Escaped(const std::string& text) {
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

std::string RequestClaims::KeyOf(const ServiceId& service,
                                 const WorkspaceId& workspace,
                                 const std::string& request_key) {
  const std::string name = Escaped(service.value);
  const std::string tenant = Escaped(workspace.value);
  // The lengths make the key unambiguous if a name contains the separator.
  return kClaimPrefix + std::to_string(name.size()) + "." + std::to_string(tenant.size()) + "/" +
         name + "/" + tenant + "/" + Escaped(request_key);
}

void RequestClaims::Claim(Now now,
                          CallId call,
                          const std::string& key,
                          Fingerprint fingerprint,
                          MonoTime deadline,
                          ClaimOutput* output) {
  const uint64_t id = next_id_++;
  Entry& entry = claims_[id];
  entry.call = call;
  entry.key = key;
  entry.row.nonce = nonce_prefix_ + std::to_string(id);
  entry.row.fingerprint = fingerprint;
  entry.row.claimed = now.wall;
  entry.limit = now.mono + std::min(kClaimLimit, std::max(Duration(0), deadline - now.mono) / 2);
  by_call_[call] = id;
  Insert(id, &entry, output);
}

void RequestClaims::Finish(Now now, CallId call, const ClaimOutcome& outcome, ClaimOutput* output) {
  const std::optional<uint64_t> id = IdOf(call);
  if (!id || claims_.at(*id).step != Step::kHeld) {
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
  Entry& entry = claims_.at(*id);
  entry.limit = now.mono + kFinishLimit;
  entry.row.done = true;
  entry.row.status = outcome.status;
  entry.row.content_type = outcome.content_type;
  entry.row.body_kept = outcome.body.size() <= kMaxBody;
  entry.row.body = entry.row.body_kept ? outcome.body : std::string();
  Call(*id, &entry, Step::kLookup, TableGet{entry.key}, output);
}

void RequestClaims::Cancel(Now now, CallId call, ClaimOutput* output) {
  const std::optional<uint64_t> id = IdOf(call);
  if (id && claims_.at(*id).step != Step::kHeld) {
    StartRemoval(now, *id, output);
  }
}

void RequestClaims::OnTimer(Now now, ClaimOutput* output) {
  std::vector<uint64_t> due;
  for (const auto& [id, entry] : claims_) {
    if (entry.step != Step::kHeld &&
        (now.mono >= entry.limit || (entry.retry_at && now.mono >= *entry.retry_at))) {
      due.push_back(id);
    }
  }
  for (const uint64_t id : due) {
    Entry& entry = claims_.at(id);
    if (now.mono >= entry.limit) {
      Expire(now, id, output);
      continue;
    }
    entry.retry_at.reset();
    if (entry.step == Step::kInsert) {
      Insert(id, &entry, output);
    } else {
      Call(id, &entry, entry.step, TableGet{entry.key}, output);
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
  if (now.mono >= claims_.at(id).limit) {
    Expire(now, id, output);
    return;
  }
  switch (claims_.at(id).step) {
    case Step::kInsert:
      OnInsert(now, id, reply, output);
      return;
    case Step::kInspect:
      OnInspect(now, id, reply, output);
      return;
    case Step::kLookup:
      OnLookup(now, id, reply, output);
      return;
    case Step::kFinish:
      if (reply.status == TableStatus::kDone) {
        claims_.erase(id);
      } else {
        claims_.at(id).step = Step::kLookup;
        Retry(now, &claims_.at(id));
      }
      return;
    case Step::kHeld:
      return;
  }
}

std::optional<MonoTime> RequestClaims::next_timer() const {
  std::optional<MonoTime> next;
  for (const auto& [id, entry] : claims_) {
    if (entry.step == Step::kHeld) {
      continue;
    }
    const MonoTime due = entry.retry_at ? std::min(*entry.retry_at, entry.limit) : entry.limit;
    next = next ? std::min(*next, due) : due;
  }
  return next;
}

void RequestClaims::Call(uint64_t id,
                         Entry* entry,
                         Step step,
                         TableRequest request,
                         ClaimOutput* output) {
  tokens_.erase(entry->token);
  entry->step = step;
  entry->retry_at.reset();
  entry->token = next_token_++;
  tokens_[entry->token] = id;
  output->calls.push_back({entry->token, std::move(request), kClaimLimit});
}

void RequestClaims::Insert(uint64_t id, Entry* entry, ClaimOutput* output) {
  TableTransaction transaction;
  transaction.checks.push_back({entry->key, 0});
  transaction.puts.push_back({entry->key, entry->row.ToJson()});
  Call(id, entry, Step::kInsert, std::move(transaction), output);
}

void RequestClaims::OnInsert(Now now, uint64_t id, const TableReply& reply, ClaimOutput* output) {
  Entry& entry = claims_.at(id);
  switch (reply.status) {
    case TableStatus::kDone:
      Run(&entry, output);
      return;
    case TableStatus::kUnavailable:
      Retry(now, &entry);
      return;
    case TableStatus::kConflict:
    case TableStatus::kUnknown:
      Call(id, &entry, Step::kInspect, TableGet{entry.key}, output);
      return;
  }
}

void RequestClaims::OnInspect(Now now, uint64_t id, const TableReply& reply, ClaimOutput* output) {
  Entry& entry = claims_.at(id);
  if (reply.status != TableStatus::kDone) {
    Retry(now, &entry);
    return;
  }
  if (reply.rows.empty()) {
    // Either the conflicting claim was removed, or this gateway's own insert has not taken effect
    // yet.
    entry.step = Step::kInsert;
    Retry(now, &entry);
    return;
  }
  const std::optional<ClaimRow> row = ClaimRow::Parse(reply.rows[0].value);
  if (row && row->nonce == entry.row.nonce) {
    Run(&entry, output);
    return;
  }
  ClaimAnswer answer;
  answer.call = entry.call;
  answer.decision = ClaimDecision::kUnresolved;
  if (row && row->fingerprint != entry.row.fingerprint) {
    answer.decision = ClaimDecision::kOtherRequest;
  } else if (row && row->done) {
    answer.decision = row->body_kept ? ClaimDecision::kReplay : ClaimDecision::kBodyNotKept;
    answer.stored = *row;
  }
  output->answers.push_back(std::move(answer));
  by_call_.erase(entry.call);
  claims_.erase(id);
}

void RequestClaims::OnLookup(Now now, uint64_t id, const TableReply& reply, ClaimOutput* output) {
  Entry& entry = claims_.at(id);
  if (reply.status != TableStatus::kDone) {
    Retry(now, &entry);
    return;
  }
  const bool absent = reply.rows.empty();
  const std::optional<ClaimRow> row = absent ? std::nullopt : ClaimRow::Parse(reply.rows[0].value);
  if (absent && entry.remove) {
    // An insert whose reply was lost may still take effect, so keep reading the row until the time
    // limit.
    Retry(now, &entry);
    return;
  }
  if (!row || row->nonce != entry.row.nonce || row->done) {
    claims_.erase(id);
    return;
  }
  TableTransaction transaction;
  transaction.checks.push_back({entry.key, reply.rows[0].version});
  if (entry.remove) {
    transaction.deletes.push_back(entry.key);
  } else {
    transaction.puts.push_back({entry.key, entry.row.ToJson()});
  }
  Call(id, &entry, Step::kFinish, std::move(transaction), output);
}

void RequestClaims::Run(Entry* entry, ClaimOutput* output) {
  entry->step = Step::kHeld;
  entry->retry_at.reset();
  output->answers.push_back({entry->call, ClaimDecision::kRun, {}});
}

void RequestClaims::StartRemoval(Now now, uint64_t id, ClaimOutput* output) {
  Entry& entry = claims_.at(id);
  by_call_.erase(entry.call);
  entry.remove = true;
  entry.limit = now.mono + kFinishLimit;
  Call(id, &entry, Step::kLookup, TableGet{entry.key}, output);
}

void RequestClaims::Expire(Now now, uint64_t id, ClaimOutput* output) {
  Entry& entry = claims_.at(id);
  if (entry.step == Step::kInsert || entry.step == Step::kInspect) {
    output->answers.push_back({entry.call, ClaimDecision::kStoreDown, {}});
    StartRemoval(now, id, output);
    return;
  }
  tokens_.erase(entry.token);
  claims_.erase(id);
}

void RequestClaims::Retry(Now now, Entry* entry) {
  // A caller waits for the claim, which has a short time limit, so it is retried faster than work
  // that continues after the caller got its answer.
  const bool claiming = entry->step == Step::kInsert || entry->step == Step::kInspect;
  entry->retry_at = now.mono + (claiming ? kRetryAfter / 10 : kRetryAfter);
}

std::optional<uint64_t> RequestClaims::IdOf(CallId call) const {
  const auto found = by_call_.find(call);
  return found == by_call_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace jd
