#include "cluster/table_watch.h"

#include <algorithm>
#include <random>
#include <utility>

namespace jd {
namespace {

// Added to the wait of a call: a store that takes longer is taken for unreachable.
constexpr Duration kAnswerTime = 1500ms;

}  // namespace

std::optional<WatchCall> TableWatch::Next(MonoTime now) {
  if (in_call_ || now < due_) {
    return std::nullopt;
  }
  in_call_ = true;
  due_ = now + pace_.interval;
  if (whole_) {
    return WatchCall{true, from_, 0, Duration(0), kAnswerTime};
  }
  // After a failure a short call tells soon whether the store is back.
  const Duration wait = connected_ ? pace_.wait : Duration(0);
  return WatchCall{false, {}, after_, wait, wait + kAnswerTime};
}

std::vector<WatchedRow> TableWatch::OnReply(MonoTime now, const WatchReply& reply) {
  in_call_ = false;
  std::vector<WatchedRow> changes;
  if (reply.status == WatchStatus::kFailed) {
    OnFailure(now);
    return changes;
  }
  if (!std::exchange(connected_, true) && complete_) {
    returned_ = now;
  }
  if (reply.status == WatchStatus::kHistoryLost) {
    whole_ = true;
    from_.clear();
    reading_.clear();
    due_ = now;
    returned_ = now;
    return changes;
  }
  for (const WatchedRow& row : reply.rows) {
    if (row.deleted) {
      Remove(now, row.key, &changes);
      continue;
    }
    if (whole_) {
      reading_[row.key] = row.version;
    }
    Take(row, &changes);
  }
  if (whole_) {
    FinishWhole(now, reply, &changes);
  } else {
    after_ = std::max(after_, reply.version);
  }
  return changes;
}

std::vector<WatchedRow> TableWatch::OnNews(MonoTime now, const TableNews& news) {
  std::vector<WatchedRow> changes;
  if (!complete_ || whole_) {
    return changes;
  }
  if (news.after > after_) {
    due_ = now;  // Something between was missed.
    return changes;
  }
  std::uniform_int_distribution<int64_t> patience(pace_.least_patience.count(),
                                                  pace_.greatest_patience.count());
  due_ = std::max(due_, now + Duration(patience(random_)));
  if (news.version <= after_) {
    return changes;
  }
  for (const WatchedRow& row : news.rows) {
    if (!row.deleted) {
      Take(row, &changes);
    } else if (versions_.erase(row.key) > 0) {
      missing_.erase(row.key);
      changes.push_back(row);
    }
  }
  after_ = news.version;
  return changes;
}

void TableWatch::Take(const WatchedRow& row, std::vector<WatchedRow>* changes) {
  missing_.erase(row.key);
  uint64_t& version = versions_[row.key];
  if (row.version > version) {
    version = row.version;
    changes->push_back(row);
  }
}

void TableWatch::FinishWhole(MonoTime now,
                             const WatchReply& reply,
                             std::vector<WatchedRow>* changes) {
  // Rows may change between two pages, so changes are asked for since the first of them.
  after_ = from_.empty() ? reply.version : std::min(after_, reply.version);
  if (reply.has_more && !reply.rows.empty()) {
    from_ = reply.rows.back().key + '\0';
    due_ = now;
    return;
  }
  for (const auto& [key, version] : std::map(versions_)) {
    if (!reading_.contains(key)) {
      Remove(now, key, changes);
    }
  }
  reading_.clear();
  from_.clear();
  whole_ = false;
  complete_ = true;
}

void TableWatch::Remove(MonoTime now, const std::string& key, std::vector<WatchedRow>* changes) {
  if (!versions_.contains(key)) {
    return;
  }
  if (returned_ && now < *returned_ + kReturnTime) {
    missing_.emplace(key, *returned_ + kReturnTime);
    return;
  }
  versions_.erase(key);
  missing_.erase(key);
  changes->push_back({key, {}, 0, true});
}

std::vector<WatchedRow> TableWatch::TakeExpired(MonoTime now) {
  std::vector<WatchedRow> expired;
  if (!connected_) {
    // The store went away again; the rows get a new time to come back.
    return expired;
  }
  for (auto row = missing_.begin(); row != missing_.end();) {
    if (row->second > now) {
      ++row;
      continue;
    }
    versions_.erase(row->first);
    expired.push_back({row->first, {}, 0, true});
    row = missing_.erase(row);
  }
  return expired;
}

std::optional<MonoTime> TableWatch::next_timer() const {
  std::optional<MonoTime> next;
  if (!in_call_) {
    next = due_;
  }
  if (connected_) {
    for (const auto& [key, at] : missing_) {
      next = std::min(next.value_or(at), at);
    }
  }
  return next;
}

void TableWatch::OnFailure(MonoTime now) {
  connected_ = false;
  due_ = std::max(due_, now + kRetryAfter);
}

}  // namespace jd
