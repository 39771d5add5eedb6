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
  next_page_ = now.mono + kPageEvery;
  const bool waiting = step_ != Step::kIdle && now.mono - called_ < 2 * Lease::kRenewEvery;
  if (!lease_.held(now.mono) || waiting) {
    return;
  }
  called_ = now.mono;
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
  if (token != token_) {
    return;
  }
  const Step step = std::exchange(step_, Step::kIdle);
  if (reply.status != TableStatus::kDone || step == Step::kDelete) {
    return;
  }
  if (step == Step::kSnapshot) {
    const uint64_t version = reply.rows.empty() ? 0 : SnapshotVersion(reply.rows[0].value).value;
    keep_from_ = ConfigVersion(version > kKeptEntries ? version - kKeptEntries : 0);
    Call(Step::kLog, TableRange{kLogPrefix, "", kPage}, calls);
    return;
  }
  step_ = step;
  Trim(now, reply, calls);
}

MonoTime Maintenance::next_timer() const {
  return std::min(lease_.next_timer(), next_page_);
}

void Maintenance::ReadPage(TableCalls* calls) {
  log_turn_ = !log_turn_;
  if (log_turn_) {
    Call(Step::kSnapshot, TableGet{kSnapshotKey}, calls);
  } else {
    Call(Step::kClaims, TableRange{kClaimPrefix, after_claim_, kPage}, calls);
  }
}

void Maintenance::Trim(Now now, const TableReply& reply, TableCalls* calls) {
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
    after_claim_ = reply.rows.size() < kPage ? std::string() : reply.rows.back().key;
  }
  // The lease is checked twice: here by the local clock right before the write, and by the table,
  // which checks the row of the lease in the transaction.
  if (transaction.deletes.empty() || !lease_.held(now.mono)) {
    return;
  }
  transaction.checks.push_back(lease_.check());
  Call(Step::kDelete, std::move(transaction), calls);
}

bool Maintenance::IsExpired(Now now, const TableRow& row) const {
  if (step_ == Step::kLog) {
    const ConfigVersion version = VersionOfLogKey(row.key);
    return version != ConfigVersion() && version < keep_from_;
  }
  const std::optional<ClaimRow> claim = ClaimRow::Parse(row.value);
  return claim && now.wall - claim->claimed >= kClaimLasts;
}

void Maintenance::Call(Step step, TableRequest request, TableCalls* calls) {
  step_ = step;
  token_ = next_token_++;
  calls->push_back({token_, std::move(request), Lease::kRenewEvery});
}

}  // namespace jd
