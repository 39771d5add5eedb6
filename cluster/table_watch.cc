#include "cluster/table_watch.h"

#include <algorithm>
#include <random>
#include <utility>

namespace jd {
namespace {

// Added to the long-poll wait of a call; a store that takes longer counts as unreachable.
constexpr Duration kAnswerTime = 1500ms;
// Bytes of rows that a gateway sends to each other gateway of its zone. More than this would
// saturate a link of low capacity.
constexpr size_t kGreatestNews = 16'384;

}  // namespace

std::optional<WatchCall> TableWatch::Next(MonoTime now) {
  if (in_call_ || now < due_ || held()) {
    return std::nullopt;
  }
  in_call_ = true;
  called_ = now;
  due_ = now + pace_.interval;
  if (whole_) {
    return WatchCall{true, from_, 0, Duration(0), kAnswerTime};
  }
  const Duration wait = leads_ ? pace_.wait : Duration(0);
  return WatchCall{false, {}, after_, wait, wait + kAnswerTime};
}

std::vector<WatchedRow> TableWatch::OnReply(MonoTime now, const WatchReply& reply) {
  in_call_ = false;
  std::vector<WatchedRow> changes;
  if (reply.status == WatchStatus::kFailed) {
    OnFailure(now);
    return changes;
  }
  OnReturn(now);
  leads_ = true;
  if (reply.status == WatchStatus::kHistoryLost) {
    whole_ = true;
    from_.clear();
    page_rows_.clear();
    due_ = now;
    return changes;
  }
  if (whole_) {
    TakePage(now, reply, &changes);
    return changes;
  }
  TakeRows(now, reply.rows, &changes);
  after_ = std::max(after_, reply.version);
  return changes;
}

std::vector<WatchedRow> TableWatch::OnNews(MonoTime now, const TableNews& news) {
  std::vector<WatchedRow> changes;
  if (news.failed) {
    OnPeerFailure(now);
    return changes;
  }
  if (!complete_ || whole_) {
    return changes;
  }
  if (news.after > after_) {
    due_ = now;  // Changes between the two versions were missed, so read the store directly.
    return changes;
  }
  OnReturn(now);
  leads_ = false;
  due_ = std::max(due_, now + Draw(pace_.least_patience, pace_.greatest_patience));
  if (news.version <= after_) {
    return changes;
  }
  for (const std::string& key : news.missing) {
    Expect(key, now + kReturnTime);
  }
  TakeRows(now, news.rows, &changes);
  after_ = news.version;
  return changes;
}

void TableWatch::TakeRows(MonoTime now,
                          const std::vector<WatchedRow>& rows,
                          std::vector<WatchedRow>* changes) {
  for (const WatchedRow& row : rows) {
    if (row.deleted) {
      Remove(now, row.key, row.version, changes);
    } else {
      Take(row, changes);
    }
  }
}

void TableWatch::Take(const WatchedRow& row, std::vector<WatchedRow>* changes) {
  uint64_t& version = versions_[row.key];
  if (row.version <= version) {
    return;
  }
  version = row.version;
  changes->push_back(row);
  changes->back().restored = missing_.erase(row.key) > 0;
}

void TableWatch::TakePage(MonoTime now, const WatchReply& reply, std::vector<WatchedRow>* changes) {
  if (from_.empty()) {
    first_page_version_ = reply.version;
  }
  for (const WatchedRow& row : reply.rows) {
    page_rows_[row.key] = row;
  }
  if (reply.has_more && !reply.rows.empty()) {
    from_ = reply.rows.back().key + '\0';
    due_ = now;
    return;
  }
  for (const auto& [key, row] : page_rows_) {
    Take(row, changes);
  }
  for (const auto& [key, version] : std::map(versions_)) {
    if (!page_rows_.contains(key)) {
      Remove(now, key, version, changes);
    }
  }
  // Rows may change while the pages are read, so changes are followed from the first page's
  // version on.
  after_ = first_page_version_;
  page_rows_.clear();
  from_.clear();
  whole_ = false;
  complete_ = true;
  due_ = std::max(due_, now + Draw(pace_.least_patience, pace_.greatest_patience));
}

void TableWatch::Remove(MonoTime now,
                        const std::string& key,
                        uint64_t version,
                        std::vector<WatchedRow>* changes) {
  const auto known = versions_.find(key);
  if (known == versions_.end() || known->second > version) {
    return;
  }
  if (missing_.contains(key)) {
    return;
  }
  if (returned_ && now < *returned_ + kReturnTime) {
    Expect(key, *returned_ + kReturnTime);
    return;
  }
  changes->push_back({key, {}, version, true});
  versions_.erase(known);
}

void TableWatch::Expect(const std::string& key, MonoTime until) {
  if (versions_.contains(key)) {
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

std::vector<WatchedRow> TableWatch::TakeExpired(MonoTime now) {
  std::vector<WatchedRow> expired;
  if (!connected_) {
    // The store is unreachable again; OnReturn restarts the grace period of these rows.
    return expired;
  }
  for (auto row = missing_.begin(); row != missing_.end();) {
    if (row->second > now) {
      ++row;
      continue;
    }
    expired.push_back({row->first, {}, versions_.at(row->first), true});
    versions_.erase(row->first);
    row = missing_.erase(row);
  }
  return expired;
}

std::optional<MonoTime> TableWatch::next_timer() const {
  std::optional<MonoTime> next;
  if (!in_call_ && !held()) {
    next = due_;
  }
  if (connected_) {
    for (const auto& [key, at] : missing_) {
      next = std::min(next.value_or(at), at);
    }
  }
  return next;
}

Duration TableWatch::Draw(Duration least, Duration greatest) {
  std::uniform_int_distribution<int64_t> draw(least.count(), greatest.count());
  return Duration(draw(random_));
}

TableNews TableWatch::NewsOf(const std::string& table,
                             uint64_t after,
                             const std::vector<WatchedRow>& rows) const {
  size_t size = 0;
  for (const WatchedRow& row : rows) {
    size += row.value.size();
  }
  if (size > kGreatestNews) {
    return {table, after_, after_, {}, missing(), false};
  }
  return {table, after, after_, rows, missing(), false};
}

TableNews TableWatch::FailureNews(const std::string& table) const {
  return {table, 0, 0, {}, {}, true};
}

void TableWatch::OnReturn(MonoTime now) {
  retry_ = kLeastRetry;
  if (std::exchange(connected_, true) || !complete_) {
    return;
  }
  returned_ = now;
  for (auto& [key, until] : missing_) {
    until = now + kReturnTime;
  }
}

void TableWatch::OnFailure(MonoTime now) {
  connected_ = false;
  leads_ = false;
  // The jitter keeps gateways that lost the store at the same time from retrying at the same time.
  due_ = std::max(due_, now + Draw(retry_ / 2, retry_));
  retry_ = std::min(2 * retry_, kGreatestRetry);
}

void TableWatch::OnPeerFailure(MonoTime now) {
  // A gateway that still reaches the store keeps calling it.
  if (in_call_ || !store_away()) {
    return;
  }
  const MonoTime turn = now + Draw(kLeastRetry, kGreatestSharedRetry);
  due_ = std::max(due_, std::min(turn, called_ + kGreatestSharedRetry));
}

}  // namespace jd
