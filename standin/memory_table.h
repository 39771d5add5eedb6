#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/table.h"

namespace jd {

/// An in-memory model of the platform's transactional table. All versions come from one counter, so
/// a row that is deleted and written again never has an earlier version again.
class MemoryTable {
 public:
  /// Commits all writes and deletes if every version check passes; otherwise changes nothing.
  /// @return on success the written rows with their new versions, else the keys whose check failed.
  TableReply Commit(const TableTransaction& transaction);
  /// Returns a row, or nothing if there is none with this key.
  std::optional<TableRow> Get(const std::string& key) const;
  /// Returns up to `limit` rows whose key starts with `prefix` and is greater than `after`, in key
  /// order.
  std::vector<TableRow> Range(const TableRange& range) const;

 private:
  std::map<std::string, TableRow> rows_;
  uint64_t last_version_ = 0;
};

}  // namespace jd
