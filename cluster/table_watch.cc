#include "cluster/table_watch.h"

#include <algorithm>
#include <cassert>
#include <random>
#include <utility>

namespace jd {
namespace {

// Added to the long-poll wait of a call; a store that takes longer counts as unreachable.
constexpr Duration kReplyTimeout = 1500ms;
// Bytes of rows that a gateway sends to each other gateway of its zone. More than this would
// saturate a link of low capacity.
constexpr size_t kMaxUpdateBytes = 16'384;

TableUpdate MakeUpdate(const std::string& table,
                       uint64_t after,
                       uint64_t version,
                       std::vector<WatchedRow> rows,
                       std::vector<std::string> missing) {
  TableUpdate update;
  update.table = table;
  update.after = after;
  update.version = version;
  update.rows = std::move(rows);
  update.missing = std::move(missing);
  return update;
}

}  // namespace

std::optional<WatchCall> TableWatch::NextCall(MonoTime now) {
  if (paused()) {
    was_paused_ = true;
    return std::nullopt;
  }
  if (std::exchange(was_paused_, false)) {
    due_ = std::max(due_, now + RandomDelay(Duration(0), kMaxReadSpread));
  }
  if (call_pending_ || now < due_) {
    return std::nullopt;
  }
  call_pending_ = true;
  call_started_ = now;
  due_ = now + timing_.interval;
  if (full_read_pending_) {
    return WatchCall{true, next_page_key_, 0, Duration(0), kReplyTimeout};
  }
  const Duration wait = is_reader_ ? timing_.wait : Duration(0);
  return WatchCall{false, {}, version_, wait, wait + kReplyTimeout};
}

std::vector<WatchedRow> TableWatch::OnReply(MonoTime now, const WatchReply& reply) {
  call_pending_ = false;
  std::vector<WatchedRow> changes;
  if (reply.status == WatchStatus::kFailed) {
    OnCallFailed(now);
    return changes;
  }
  OnStoreReachable(now);
  is_reader_ = true;
  if (reply.status == WatchStatus::kHistoryLost) {
    full_read_pending_ = true;
    next_page_key_.clear();
    page_rows_.clear();
    due_ = now;
    return changes;
  }
  if (full_read_pending_) {
    AddPage(now, reply, &changes);
    return changes;
  }
  ApplyRows(now, reply.rows, &changes);
  version_ = std::max(version_, reply.version);
  return changes;
}

std::vector<WatchedRow> TableWatch::OnPeerUpdate(MonoTime now, const TableUpdate& update) {
  std::vector<WatchedRow> changes;
  if (update.snapshot) {
    return AdoptSnapshot(now, update);
  }
  if (update.failed) {
    OnPeerCallFailed(now);
    return changes;
  }
  if (!complete_ || full_read_pending_) {
    return changes;
  }
  if (update.after > version_) {
    // Changes between the two versions were missed, so read the store soon. Other gateways may have
    // missed them too, and the first read covers the gap for all.
    due_ = std::min(due_, now + RandomDelay(Duration(0), kMaxReadSpread));
    return changes;
  }
  OnStoreReachable(now);
  is_reader_ = false;
  due_ = std::max(due_, now + RandomDelay(timing_.min_takeover_delay, timing_.max_takeover_delay));
  if (update.version <= version_) {
    return changes;
  }
  for (const std::string& key : update.missing) {
    MarkMissing(key, now + kMissingRowGrace);
  }
  ApplyRows(now, update.rows, &changes);
  version_ = update.version;
  return changes;
}

void TableWatch::ScheduleFirstRead(MonoTime at) {
  if (!complete_ && !call_pending_ && next_page_key_.empty()) {
    due_ = at;
  }
}

std::vector<WatchedRow> TableWatch::AdoptSnapshot(MonoTime now, const TableUpdate& snapshot) {
  std::vector<WatchedRow> changes;
  // A known table may be newer than the snapshot, and the reply to a call in progress would be
  // applied to the wrong version.
  if (complete_ || call_pending_) {
    return changes;
  }
  ApplyRows(now, snapshot.rows, &changes);
  for (const std::string& key : snapshot.missing) {
    MarkMissing(key, now + kMissingRowGrace);
  }
  version_ = snapshot.version;
  page_rows_.clear();
  next_page_key_.clear();
  full_read_pending_ = false;
  complete_ = true;
  connected_ = !snapshot.unconfirmed;
  due_ = now + (connected_ ? RandomDelay(timing_.min_takeover_delay, timing_.max_takeover_delay)
                           : RandomDelay(kMinRetryDelay / 2, kMinRetryDelay));
  return changes;
}

void TableWatch::ApplyRows(MonoTime now,
                           const std::vector<WatchedRow>& rows,
                           std::vector<WatchedRow>* changes) {
  for (const WatchedRow& row : rows) {
    if (row.deleted) {
      RemoveRow(now, row.key, row.version, changes);
    } else {
      ApplyRow(row, changes);
    }
  }
}

void TableWatch::ApplyRow(const WatchedRow& row, std::vector<WatchedRow>* changes) {
  WatchedRow& known = rows_[row.key];
  if (row.version <= known.version) {
    ignored_rows_ += row.value != known.value ? 1 : 0;
    return;
  }
  known = row;
  changes->push_back(row);
  changes->back().restored = missing_.erase(row.key) > 0;
}

void TableWatch::AddPage(MonoTime now, const WatchReply& reply, std::vector<WatchedRow>* changes) {
  if (next_page_key_.empty()) {
    first_page_version_ = reply.version;
  }
  for (const WatchedRow& row : reply.rows) {
    page_rows_[row.key] = row;
  }
  if (reply.has_more && !reply.rows.empty()) {
    next_page_key_ = reply.rows.back().key + '\0';
    due_ = now;
    return;
  }
  for (const auto& [key, row] : page_rows_) {
    ApplyRow(row, changes);
  }
  std::vector<std::pair<std::string, uint64_t>> absent;
  for (const auto& [key, row] : rows_) {
    if (!page_rows_.contains(key)) {
      absent.emplace_back(key, row.version);
    }
  }
  for (const auto& [key, version] : absent) {
    RemoveRow(now, key, version, changes);
  }
  // Rows may change while the pages are read, so the next read asks for the changes since the
  // version of the first page.
  version_ = first_page_version_;
  page_rows_.clear();
  next_page_key_.clear();
  full_read_pending_ = false;
  complete_ = true;
  // Gateways that start at the same time have all read the table, so none is the reader yet.
  is_reader_ = false;
  due_ = std::max(due_, now + RandomDelay(timing_.min_takeover_delay, timing_.max_takeover_delay));
}

void TableWatch::RemoveRow(MonoTime now,
                           const std::string& key,
                           uint64_t version,
                           std::vector<WatchedRow>* changes) {
  const auto known = rows_.find(key);
  if (known == rows_.end() || known->second.version > version) {
    return;
  }
  if (missing_.contains(key)) {
    return;
  }
  if (reachable_since_ && now < *reachable_since_ + kMissingRowGrace) {
    MarkMissing(key, *reachable_since_ + kMissingRowGrace);
    return;
  }
  changes->push_back({key, {}, version, true});
  rows_.erase(known);
}

void TableWatch::MarkMissing(const std::string& key, MonoTime until) {
  if (rows_.contains(key)) {
    missing_.emplace(key, until);
  }
}

std::vector<std::string> TableWatch::missing() const {
  std::vector<std::string> keys;
  for (const auto& [key, until] : missing_) {
    keys.push_back(key);
  }
  return keys;
}

std::vector<WatchedRow> TableWatch::ExpireMissingRows(MonoTime now) {
  std::vector<WatchedRow> expired;
  if (!connected_) {
    // The store is unreachable again; OnStoreReachable restarts the grace period of these rows.
    return expired;
  }
  for (auto row = missing_.begin(); row != missing_.end();) {
    if (row->second > now) {
      ++row;
      continue;
    }
    expired.push_back({row->first, {}, rows_.at(row->first).version, true});
    rows_.erase(row->first);
    row = missing_.erase(row);
  }
  return expired;
}

std::optional<MonoTime> TableWatch::next_timer() const {
  std::optional<MonoTime> next;
  if (!call_pending_ && !paused()) {
    next = due_;
  }
  if (connected_) {
    for (const auto& [key, at] : missing_) {
      next = std::min(next.value_or(at), at);
    }
  }
  return next;
}

Duration TableWatch::RandomDelay(Duration min, Duration max) {
  std::uniform_int_distribution<int64_t> distribution(min.count(), max.count());
  return Duration(distribution(random_));
}

TableUpdate TableWatch::UpdateForPeers(const std::string& table,
                                       uint64_t after,
                                       const std::vector<WatchedRow>& rows) const {
  size_t size = 0;
  for (const WatchedRow& row : rows) {
    size += row.value.size();
  }
  if (size > kMaxUpdateBytes) {
    return MakeUpdate(table, version_, version_, {}, missing());
  }
  return MakeUpdate(table, after, version_, rows, missing());
}

TableUpdate TableWatch::Snapshot(const std::string& table) const {
  assert(complete_);
  TableUpdate update;
  update.table = table;
  update.version = version_;
  for (const auto& [key, row] : rows_) {
    update.rows.push_back(row);
  }
  update.missing = missing();
  update.snapshot = true;
  update.unconfirmed = !connected_;
  return update;
}

TableUpdate TableWatch::FailureUpdate(const std::string& table) const {
  TableUpdate update;
  update.table = table;
  update.failed = true;
  return update;
}

void TableWatch::OnStoreReachable(MonoTime now) {
  retry_delay_ = kMinRetryDelay;
  if (std::exchange(connected_, true) || !complete_) {
    return;
  }
  reachable_since_ = now;
  for (auto& [key, until] : missing_) {
    until = now + kMissingRowGrace;
  }
}

void TableWatch::OnCallFailed(MonoTime now) {
  connected_ = false;
  is_reader_ = false;
  // The jitter keeps gateways that lost the store at the same time from retrying at the same time.
  due_ = std::max(due_, now + RandomDelay(retry_delay_ / 2, retry_delay_));
  retry_delay_ = std::min(2 * retry_delay_, kMaxRetryDelay);
}

void TableWatch::OnPeerCallFailed(MonoTime now) {
  // A gateway that still reaches the store keeps calling it.
  if (call_pending_ || !store_unavailable()) {
    return;
  }
  const MonoTime turn = now + RandomDelay(kMinRetryDelay, kMaxSharedRetryDelay);
  due_ = std::max(due_, std::min(turn, call_started_ + kMaxSharedRetryDelay));
}

}  // namespace jd
