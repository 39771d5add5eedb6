#include "cluster/table_watch.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace jd {
namespace {

// Added to the long-poll wait of a call; a store that takes longer counts as unreachable.
constexpr Duration kReplyTimeout = 1500ms;
// Bytes of rows, before their compression, in an update for other gateways.
constexpr size_t kMaxUpdateBytes = 131'072;

TableUpdate MakeUpdate(const std::string& table,
                       const TablePosition& after,
                       const TablePosition& position,
                       std::vector<WatchedRow> rows,
                       std::vector<std::string> missing) {
  TableUpdate update;
  update.table = table;
  update.after = after;
  update.position = position;
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
  call_reads_all_ = full_read_pending_;
  call_era_ = position_.era;
  call_started_ = now;
  due_ = now + timing_.interval;
  if (full_read_pending_) {
    return WatchCall{true, next_page_key_, 0, Duration(0), kReplyTimeout};
  }
  const Duration wait = is_reader_ ? timing_.wait : Duration(0);
  return WatchCall{false, {}, position_.version, wait, wait + kReplyTimeout};
}

std::vector<WatchedRow> TableWatch::OnReply(MonoTime now, const WatchReply& reply) {
  call_pending_ = false;
  read_finished_ = false;
  std::vector<WatchedRow> changes;
  if (reply.status == WatchStatus::kFailed) {
    OnCallFailed(now);
    return changes;
  }
  if (reply.era.value_or(call_era_) < position_.era) {
    // Sent before the store was restored, which another gateway has told meanwhile.
    due_ = now + RandomDelay(kMinRetryDelay / 2, kMinRetryDelay);
    return changes;
  }
  OnStoreReachable(now);
  is_reader_ = true;
  if (call_reads_all_) {
    AddPage(now, reply, &changes);
    return changes;
  }
  if (full_read_pending_ || call_era_ != position_.era) {
    // An update of another gateway has shown meanwhile that the call asked for the wrong changes.
    return changes;
  }
  if (HistoryChanged(reply)) {
    StartFullRead(now);
    return changes;
  }
  rows_.Apply(now, reply.rows, &changes);
  position_.version = std::max(position_.version, reply.version);
  read_finished_ = true;
  return changes;
}

bool TableWatch::HistoryChanged(const WatchReply& reply) const {
  return reply.status == WatchStatus::kHistoryLost || reply.version < position_.version ||
         reply.era.value_or(position_.era) != position_.era;
}

void TableWatch::StartFullRead(MonoTime at) {
  full_read_pending_ = true;
  next_page_key_.clear();
  page_rows_.clear();
  due_ = at;
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
  told_position_ = std::max(told_position_, update.position);
  const bool full_read_in_progress = full_read_pending_ && call_pending_;
  if (!complete_ || full_read_in_progress || update.position < position_) {
    return changes;
  }
  if (update.position != position_ && !IsApplicable(update)) {
    ScheduleMissedRead(now, update);
    return changes;
  }
  OnStoreReachable(now);
  is_reader_ = false;
  full_read_pending_ = false;
  due_ = std::max(due_, now + RandomDelay(timing_.min_takeover_delay, timing_.max_takeover_delay));
  if (update.position == position_) {
    return changes;
  }
  if (update.position.era != position_.era) {
    rows_.ForgetVersions();
    rows_.StartGrace(now);
  }
  rows_.Apply(now, update.rows, &changes);
  // After the rows: one that was written and then disappeared is among both.
  rows_.MarkMissing(now, update.missing);
  position_ = update.position;
  return changes;
}

bool TableWatch::IsApplicable(const TableUpdate& update) const {
  if (update.from_full_read) {
    // Of a row that the sender did not know, the rows do not say that it is gone.
    return update.after == position_;
  }
  return update.after.era == position_.era && update.after <= position_;
}

void TableWatch::ScheduleMissedRead(MonoTime now, const TableUpdate& update) {
  // Other gateways may have missed the same changes, and the first read covers the gap for all.
  const MonoTime soon = now + RandomDelay(Duration(0), kMaxReadSpread);
  if (update.position.era == position_.era) {
    due_ = std::min(due_, soon);
  } else if (!full_read_pending_) {
    StartFullRead(soon);
  }
}

void TableWatch::ScheduleFirstRead(MonoTime at) {
  if (!complete_ && !call_pending_ && next_page_key_.empty()) {
    due_ = at;
  }
}

std::vector<WatchedRow> TableWatch::AdoptSnapshot(MonoTime now, const TableUpdate& snapshot) {
  std::vector<WatchedRow> changes;
  // The reply to a call in progress would be applied to the wrong version.
  if (call_pending_ || (complete_ && snapshot.position <= position_)) {
    return changes;
  }
  std::map<std::string, WatchedRow> rows;
  for (const WatchedRow& row : snapshot.rows) {
    rows.emplace(row.key, row);
  }
  ReplaceRows(now, rows, snapshot.position, &changes);
  rows_.MarkMissing(now, snapshot.missing);
  connected_ = !snapshot.unconfirmed;
  due_ = now + (connected_ ? RandomDelay(timing_.min_takeover_delay, timing_.max_takeover_delay)
                           : RandomDelay(kMinRetryDelay / 2, kMinRetryDelay));
  return changes;
}

void TableWatch::AddPage(MonoTime now, const WatchReply& reply, std::vector<WatchedRow>* changes) {
  const TablePosition position{reply.era.value_or(call_era_), reply.version};
  if (next_page_key_.empty()) {
    first_page_position_ = position;
  }
  if (reply.status == WatchStatus::kHistoryLost || position.era != first_page_position_.era ||
      position < first_page_position_) {
    StartFullRead(now + RandomDelay(Duration(0), kMaxReadSpread));
    return;
  }
  for (const WatchedRow& row : reply.rows) {
    page_rows_[row.key] = row;
  }
  if (reply.has_more && !reply.rows.empty()) {
    next_page_key_ = reply.rows.back().key + '\0';
    due_ = now;
    return;
  }
  // Rows may change while the pages are read, so the next read asks for the changes since the
  // version of the first page.
  ReplaceRows(now, page_rows_, first_page_position_, changes);
  read_finished_ = true;
  // Gateways that start at the same time have all read the table, so none is the reader yet.
  is_reader_ = false;
  due_ = std::max(due_, now + RandomDelay(timing_.min_takeover_delay, timing_.max_takeover_delay));
}

void TableWatch::ReplaceRows(MonoTime now,
                             const std::map<std::string, WatchedRow>& rows,
                             const TablePosition& position,
                             std::vector<WatchedRow>* changes) {
  const bool other_history = position.era != position_.era || position < position_;
  if (complete_ && other_history) {
    rows_.ForgetVersions();
    rows_.StartGrace(now);
  }
  rows_.Replace(now, rows, position.version, complete_ && other_history, changes);
  position_ = position;
  page_rows_.clear();
  next_page_key_.clear();
  full_read_pending_ = false;
  complete_ = true;
}

std::vector<WatchedRow> TableWatch::ApplyDueRows(MonoTime now) {
  if (!connected_) {
    // Rows are kept while the store is unreachable again; OnStoreReachable restarts their grace
    // period. The store cannot have removed recalled rows either.
    return {};
  }
  std::vector<WatchedRow> changes = rows_.ExpireMissing(now);
  const std::vector<WatchedRow> released = rows_.ReleaseRecalled(now);
  changes.insert(changes.end(), released.begin(), released.end());
  return changes;
}

std::optional<MonoTime> TableWatch::next_timer() const {
  std::optional<MonoTime> next;
  if (!call_pending_ && !paused()) {
    next = due_;
  }
  if (connected_) {
    for (const std::optional<MonoTime>& due : {rows_.next_expiry(), rows_.next_release()}) {
      if (due) {
        next = std::min(next.value_or(*due), *due);
      }
    }
  }
  return next;
}

Duration TableWatch::RandomDelay(Duration min, Duration max) {
  return RandomDuration(&random_, min, max);
}

TableUpdate TableWatch::UpdateForPeers(const std::string& table,
                                       const TablePosition& after,
                                       const std::vector<WatchedRow>& rows) const {
  size_t size = 0;
  for (const WatchedRow& row : rows) {
    size += row.value.size();
  }
  if (size > kMaxUpdateBytes) {
    return MakeUpdate(table, position_, position_, {}, missing());
  }
  TableUpdate update = MakeUpdate(table, after, position_, rows, missing());
  update.from_full_read = call_reads_all_;
  return update;
}

TableUpdate TableWatch::Snapshot(const std::string& table) const {
  assert(complete_);
  TableUpdate update;
  update.table = table;
  update.position = position_;
  for (const auto& [key, row] : rows_.rows()) {
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
  rows_.StartGrace(now);
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
