#include "cluster/table_rows.h"

#include <algorithm>
#include <utility>

namespace jd {

void TableRows::StartGrace(MonoTime now) {
  grace_end_ = now + kMissingRowGrace;
  for (auto& [key, until] : missing_) {
    until = *grace_end_;
  }
}

void TableRows::Apply(MonoTime now,
                      const std::vector<WatchedRow>& rows,
                      std::vector<WatchedRow>* changes) {
  for (const WatchedRow& row : rows) {
    const auto known = rows_.find(row.key);
    if (row.deleted) {
      if (known != rows_.end() && known->second.version <= row.version) {
        Remove(now, row.key, row.version, changes);
      }
      continue;
    }
    if (known != rows_.end() && row.version <= known->second.version) {
      ignored_ += row.value != known->second.value ? 1 : 0;
      continue;
    }
    Put(row, changes);
  }
}

void TableRows::Replace(MonoTime now,
                        const std::map<std::string, WatchedRow>& rows,
                        std::vector<WatchedRow>* changes) {
  std::vector<std::pair<std::string, uint64_t>> absent;
  for (const auto& [key, row] : rows_) {
    if (!rows.contains(key)) {
      absent.emplace_back(key, row.version);
    }
  }
  for (const auto& [key, row] : rows) {
    const auto known = rows_.find(key);
    if (known == rows_.end() || known->second.value != row.value || missing_.contains(key)) {
      Put(row, changes);
    } else {
      known->second.version = row.version;
    }
  }
  for (const auto& [key, version] : absent) {
    Remove(now, key, version, changes);
  }
}

void TableRows::ForgetVersions() {
  for (auto& [key, row] : rows_) {
    row.version = 0;
  }
}

void TableRows::Put(const WatchedRow& row, std::vector<WatchedRow>* changes) {
  rows_[row.key] = row;
  changes->push_back(row);
  changes->back().restored = missing_.erase(row.key) > 0;
}

void TableRows::Remove(MonoTime now,
                       const std::string& key,
                       uint64_t version,
                       std::vector<WatchedRow>* changes) {
  if (missing_.contains(key)) {
    return;
  }
  if (grace_end_ && now < *grace_end_) {
    missing_.emplace(key, *grace_end_);
    return;
  }
  changes->push_back({key, {}, version, true});
  rows_.erase(key);
}

void TableRows::MarkMissing(MonoTime now, const std::vector<std::string>& keys) {
  for (const std::string& key : keys) {
    if (rows_.contains(key)) {
      missing_.emplace(key, now + kMissingRowGrace);
    }
  }
}

std::vector<WatchedRow> TableRows::ExpireMissing(MonoTime now) {
  std::vector<WatchedRow> expired;
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

std::vector<std::string> TableRows::missing() const {
  std::vector<std::string> keys;
  for (const auto& [key, until] : missing_) {
    keys.push_back(key);
  }
  return keys;
}

std::optional<MonoTime> TableRows::next_expiry() const {
  std::optional<MonoTime> next;
  for (const auto& [key, at] : missing_) {
    next = std::min(next.value_or(at), at);
  }
  return next;
}

}  // namespace jd
