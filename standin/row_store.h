#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/units.h"

namespace jd {

/// One request to the row store, with its decoded query parameters.
struct RowRequest {
  std::string path;
  std::string table;
  std::string part;
  std::string from;  ///< A read returns keys from this one on.
  std::string to;    ///< A read returns keys below this one; if empty, there is no upper bound.
  uint64_t limit = 0;
  uint64_t after = 0;  ///< A feed returns changes after this version.
  Duration wait{0};    ///< How long a feed without changes is held before it is answered.
  std::string body;
};

/// The reply of the row store to one request.
struct RowReply {
  int status = 200;
  nlohmann::json body;
};

/// An in-memory model of the users' metadata store, according to the protocol page that the users
/// supplied: tables of rows whose versions come from one counter, atomic transactions that check
/// expected versions, and a feed of changes from a limited history. Does no I/O.
class RowStore {
 public:
  /// Maximum number of rows in the answer to one read.
  static constexpr size_t kMaxRowsPerReply = 500;

  /// Processes a request. A malformed request gets status 400.
  /// @param waited how long the request has been held so far.
  /// @return the reply, or nothing if the request is a feed that still waits for a change.
  std::optional<RowReply> Handle(MonoTime now, const RowRequest& request, Duration waited);
  /// Writes a row, or deletes it if there is no value.
  /// @param value must be valid as the content of a JSON string.
  void Put(const std::string& table,
           const std::string& key,
           const std::optional<std::string>& value);
  /// Drops the change history. A feed that starts from an earlier version then gets status 410 and
  /// must read the whole table again.
  void DropHistory();
  /// Replaces the content by a copy from an earlier version, after which versions are counted again
  /// and the era is the next one. A copy from before the last DropHistory has the content of then.
  void Restore(uint64_t copy_version);

  /// Newest version.
  uint64_t version() const { return version_; }
  /// Number of returns from a copy, plus one.
  uint64_t era() const { return era_; }
  bool Contains(const std::string& table, const std::string& key) const {
    return rows_.contains({table, key});
  }
  /// Returns the keys of a table in ascending order.
  std::vector<std::string> Keys(const std::string& table) const;

 private:
  struct Row {
    std::string part;
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
  };
  using Key = std::pair<std::string, std::string>;  ///< Table and key.

  RowReply CommitTransaction(MonoTime now, const nlohmann::json& body);
  RowReply ReadRows(MonoTime now, const RowRequest& request) const;
  std::optional<RowReply> ReadFeed(MonoTime now, const RowRequest& request, Duration waited) const;
  /// Returns whether a row has its expected version, and appends its current state to `current`.
  bool VersionMatches(const nlohmann::json& row, nlohmann::json* current) const;
  void ApplyRow(const Key& key, Row row);
  /// Returns the fields that every reply has: newest version and server clock.
  nlohmann::json CommonReplyFields(MonoTime now) const;

  std::map<Key, Row> rows_;
  std::map<Key, Row> rows_before_history_;
  std::deque<std::pair<Key, Row>> history_;  ///< Changes, oldest first.
  uint64_t version_ = 0;
  uint64_t era_ = 1;
  uint64_t newest_dropped_version_ = 0;  ///< Newest version that was dropped from the history.
};

}  // namespace jd
