#include "cluster/table_rows.h"

#include <algorithm>
#include <utility>

namespace jd {
namespace {

std::optional<MonoTime> Earliest(const std::map<std::string, MonoTime>& times) {
  const auto earliest = std::min_element(
      times.begin(), times.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  return earliest == times.end() ? std::nullopt : std::optional(earliest->second);
}

}  // namespace

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
    Put(now, row, changes);
  }
}

void TableRows::Replace(MonoTime now,
                        const std::map<std::string, WatchedRow>& rows,
                        uint64_t version,
                        bool other_history,
                        std::vector<WatchedRow>* changes) {
  ForgetOldRemovals(now);
  std::vector<std::string> absent;
  for (const auto& [key, row] : rows_) {
    if (!rows.contains(key)) {
      absent.push_back(key);
    }
  }
  for (const auto& [key, row] : rows) {
    const auto known = rows_.find(key);
    if (known == rows_.end() || known->second.value != row.value || missing_.contains(key)) {
      WatchedRow put = row;
      put.recalled = row.recalled || (other_history && removed_.contains(key));
      Put(now, put, changes);
    } else {
      known->second.version = row.version;
    }
  }
  for (const std::string& key : absent) {
    Remove(now, key, version, changes);
  }
}

void TableRows::ForgetVersions() {
  for (auto& [key, row] : rows_) {
    row.version = 0;
  }
}

void TableRows::Put(MonoTime now, const WatchedRow& row, std::vector<WatchedRow>* changes) {
  WatchedRow& known = rows_[row.key];
  known = row;
  known.recalled = row.recalled && recalled_row_hold_ > Duration(0);
  if (known.recalled) {
    recalled_[row.key] = now + recalled_row_hold_;
  } else {
    recalled_.erase(row.key);
    removed_.erase(row.key);
  }
  changes->push_back(known);
  changes->back().restored = missing_.erase(row.key) > 0;
}

void TableRows::Erase(MonoTime now, const std::string& key) {
  rows_.erase(key);
  recalled_.erase(key);
  if (recalled_row_hold_ > Duration(0)) {
    removed_[key] = now;
  }
}

void TableRows::ForgetOldRemovals(MonoTime now) {
  std::erase_if(removed_,
                [now](const auto& removal) { return now >= removal.second + kRemovedRowMemory; });
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
    recalled_.erase(key);
    return;
  }
  changes->push_back({key, {}, version, true});
  Erase(now, key);
}

void TableRows::MarkMissing(MonoTime now, const std::vector<std::string>& keys) {
  for (const std::string& key : keys) {
    if (rows_.contains(key)) {
      missing_.emplace(key, now + kMissingRowGrace);
      recalled_.erase(key);
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
    Erase(now, row->first);
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

std::vector<WatchedRow> TableRows::ReleaseRecalled(MonoTime now) {
  std::vector<WatchedRow> released;
  for (auto entry = recalled_.begin(); entry != recalled_.end();) {
    if (entry->second > now) {
      ++entry;
      continue;
    }
    WatchedRow& row = rows_.at(entry->first);
    row.recalled = false;
    released.push_back(row);
    entry = recalled_.erase(entry);
  }
  return released;
}

std::optional<MonoTime> TableRows::next_expiry() const {
  return Earliest(missing_);
}

std::optional<MonoTime> TableRows::next_release() const {
  return Earliest(recalled_);
}

}  // namespace jd
