#include "cluster/maintenance.h"

#include <algorithm>
#include <utility>

#include "cluster/claim_row.h"
#include "common/json_fields.h"

namespace jd {
namespace {

ConfigVersion SnapshotVersion(const std::string& value) {
  // The row of the snapshot holds its version in the same field as the row of the log's head.
  return VersionOfHead(value);
}

}  // namespace

Maintenance::Maintenance(GatewayId self) : lease_("maintenance", std::move(self), 1) {}

void Maintenance::OnTimer(Now now, TableCalls* calls) {
  lease_.OnTimer(now.mono, calls);
  if (now.mono < next_page_) {
    return;
  }
  next_page_ = now.mono + kPageInterval;
  const bool waiting = step_ != Step::kIdle && now.mono - page_started_ < 2 * Lease::kRenewInterval;
  if (!lease_.held(now.mono) || waiting) {
    return;
  }
  page_started_ = now.mono;
  ReadPage(calls);
}

void Maintenance::OnTableReply(Now now,
                               uint64_t token,
                               const TableReply& reply,
                               TableCalls* calls) {
  if (token < kFirstToken) {
    lease_.OnTableReply(now.mono, token, reply, calls);
    return;
  }
  if (token != pending_token_) {
    return;
  }
  const Step step = std::exchange(step_, Step::kIdle);
  if (reply.status != TableStatus::kDone || step == Step::kDelete) {
    return;
  }
  if (step == Step::kSnapshot) {
    const uint64_t version = reply.rows.empty() ? 0 : SnapshotVersion(reply.rows[0].value).value;
    oldest_kept_version_ = ConfigVersion(version > kKeptLogEntries ? version - kKeptLogEntries : 0);
    StartCall(Step::kLog, TableRange{kLogPrefix, "", kPageSize}, calls);
    return;
  }
  step_ = step;
  DeleteExpiredRows(now, reply, calls);
}

MonoTime Maintenance::next_timer() const {
  return std::min(lease_.next_timer(), next_page_);
}

void Maintenance::ReadPage(TableCalls* calls) {
  page_is_log_ = !page_is_log_;
  if (page_is_log_) {
    StartCall(Step::kSnapshot, TableGet{kSnapshotKey}, calls);
  } else {
    StartCall(Step::kClaims, TableRange{kClaimPrefix, claims_cursor_, kPageSize}, calls);
  }
}

void Maintenance::DeleteExpiredRows(Now now, const TableReply& reply, TableCalls* calls) {
  TableTransaction transaction;
  for (const TableRow& row : reply.rows) {
    if (IsExpired(now, row)) {
      // The transaction checks the version of each row, because a request key may have been claimed
      // again since the read.
      transaction.checks.push_back({row.key, row.version});
      transaction.deletes.push_back(row.key);
    }
  }
  if (std::exchange(step_, Step::kIdle) == Step::kClaims) {
    claims_cursor_ = reply.rows.size() < kPageSize ? std::string() : reply.rows.back().key;
  }
  // The lease is checked twice: here by the local clock right before the write, and by the table,
  // which checks the row of the lease in the transaction.
  if (transaction.deletes.empty() || !lease_.held(now.mono)) {
    return;
  }
  transaction.checks.push_back(lease_.check());
  StartCall(Step::kDelete, std::move(transaction), calls);
}

bool Maintenance::IsExpired(Now now, const TableRow& row) const {
  if (step_ == Step::kLog) {
    const ConfigVersion version = VersionOfLogKey(row.key);
    return version != ConfigVersion() && version < oldest_kept_version_;
  }
  const std::optional<ClaimRow> claim = ClaimRow::Parse(row.value);
  return claim && now.wall - claim->claimed >= kClaimLifetime;
}

void Maintenance::StartCall(Step step, TableRequest request, TableCalls* calls) {
  step_ = step;
  pending_token_ = next_token_++;
  calls->push_back({pending_token_, std::move(request), Lease::kRenewInterval});
}

}  // namespace jd
