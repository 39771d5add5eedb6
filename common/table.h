#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jd {

/// A row of the platform's transactional table.
struct TableRow {
  std::string key;
  std::string value;
  uint64_t version = 0;  ///< Rises with each write of the row; 0 means absent.
  bool operator==(const TableRow&) const = default;
};

struct TableCheck {
  std::string key;
  uint64_t version = 0;  ///< The row must be at this version; 0: it must be absent.
  bool operator==(const TableCheck&) const = default;
};

struct TablePut {
  std::string key;
  std::string value;
  bool operator==(const TablePut&) const = default;
};

/// Writes that take effect together, if every check holds.
struct TableTransaction {
  std::vector<TableCheck> checks;
  std::vector<TablePut> puts;
  std::vector<std::string> deletes;
};

/// Reads one row.
struct TableGet {
  std::string key;
};

/// Reads the rows whose key starts with `prefix` and is greater than `after`, in key order.
struct TableRange {
  std::string prefix;
  std::string after;
  uint32_t limit = 100;
};

using TableRequest = std::variant<TableTransaction, TableGet, TableRange>;

enum class TableStatus : uint8_t {
  kDone,         ///< Committed, or read.
  kConflict,     ///< A check failed; nothing was written.
  kUnavailable,  ///< The request did not reach the table; nothing was written.
  kUnknown,      ///< The answer was lost; the write may have taken effect.
};

struct TableReply {
  TableStatus status = TableStatus::kUnavailable;
  std::vector<TableRow> rows;          ///< Of a read; empty if the row is absent.
  std::vector<std::string> conflicts;  ///< Keys whose check failed.
};

}  // namespace jd
