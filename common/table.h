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
  uint64_t version = 0;  ///< Increases with each write of the row; 0 if the row does not exist.
  bool operator==(const TableRow&) const = default;
};

/// A condition of a transaction on the version of one row.
struct TableCheck {
  std::string key;
  uint64_t version = 0;  ///< Required version; 0 requires that the row does not exist.
  bool operator==(const TableCheck&) const = default;
};

/// A write of one row in a transaction.
struct TablePut {
  std::string key;
  std::string value;
  bool operator==(const TablePut&) const = default;
};

/// Writes and deletions that take effect atomically if every check holds; otherwise none does.
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
  kDone,      ///< The transaction was committed, or the read succeeded.
  kConflict,  ///< A check failed; nothing was written.
  /// Nothing was written: the request did not reach the table, or the platform refused the request.
  /// Also the status of every read that fails.
  kUnavailable,
  /// The write may have taken effect, but no usable reply to it was received.
  kUnknown,
};

/// The reply to a TableRequest.
struct TableReply {
  TableStatus status = TableStatus::kUnavailable;
  /// Rows that were read, or after a committed transaction the keys and new versions of the rows,
  /// without their values.
  std::vector<TableRow> rows;
  std::vector<std::string> conflicts;  ///< Keys whose check failed.
};

}  // namespace jd
