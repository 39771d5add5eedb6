#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "common/units.h"

namespace jd {

/// One call to the row store, decoded from its URL.
struct RowQuery {
  std::string path;
  std::string table;
  std::string part;
  std::string from;  ///< Least key of a read.
  std::string to;    ///< Keys of a read are below this, unless it is empty.
  uint64_t limit = 0;
  uint64_t after = 0;  ///< Version that a feed follows on.
  Duration wait{0};    ///< For a change, before a feed is answered without one.
  std::string body;
};

struct RowReply {
  int status = 200;
  nlohmann::json body;
};

/// The users' metadata store as their protocol page describes it, apart from I/O: tables of rows
/// with one counter of versions, atomic transactions with expected versions, and a feed of changes
/// from a limited history.
class RowStore {
 public:
  /// Greatest number of rows in one answer.
  static constexpr size_t kPage = 500;

  /// Answers a call.
  /// @param waited how long the call has been held.
  /// @return nothing while a feed waits for a change.
  std::optional<RowReply> Handle(MonoTime now, const RowQuery& query, Duration waited);
  /// Writes or, without a value, deletes a row. @param value any bytes that JSON can carry as text.
  void Put(const std::string& table,
           const std::string& key,
           const std::optional<std::string>& value);
  /// Drops the history, so that older feeds are told to read anew.
  void Forget();

 private:
  struct Row {
    std::string part;
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
  };
  using Key = std::pair<std::string, std::string>;  ///< Table and key.

  RowReply Transact(MonoTime now, const nlohmann::json& body);
  RowReply Read(MonoTime now, const RowQuery& query) const;
  std::optional<RowReply> Feed(MonoTime now, const RowQuery& query, Duration waited) const;
  bool Expected(const nlohmann::json& row, nlohmann::json* current) const;
  void Apply(const Key& key, Row row);
  nlohmann::json Envelope(MonoTime now) const;

  std::map<Key, Row> rows_;
  std::deque<std::pair<Key, Row>> history_;
  uint64_t version_ = 0;
  uint64_t forgotten_ = 0;  ///< Newest version that the history lacks.
};

}  // namespace jd
