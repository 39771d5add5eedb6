#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/table.h"

namespace jd {

/// The platform's transactional table, in memory. Versions come from one counter, so a row that is
/// deleted and written again never repeats a version.
class MemoryTable {
 public:
  /// Commits all writes if every check holds.
  /// @return the failed keys, or on success the version of each written key.
  TableReply Commit(const TableTransaction& transaction);
  std::optional<TableRow> Get(const std::string& key) const;
  /// Rows whose key starts with `prefix` and is greater than `after`, in key order.
  std::vector<TableRow> Range(const TableRange& range) const;

 private:
  std::map<std::string, TableRow> rows_;
  uint64_t last_version_ = 0;
};

}  // namespace jd
