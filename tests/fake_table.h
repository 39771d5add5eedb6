#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/table.h"

namespace jd {

/// An in-memory table with the semantics of the platform's table. Tests set its faults.
class FakeTable {
 public:
  bool down = false;         ///< Requests do not reach the table.
  bool lose_answer = false;  ///< Requests take effect but their replies are lost.

  TableReply HandleRequest(const TableRequest& request) {
    if (down) {
      return {TableStatus::kUnavailable, {}, {}};
    }
    TableReply reply = Execute(request);
    return lose_answer ? TableReply{TableStatus::kUnknown, {}, {}} : reply;
  }

  std::map<std::string, TableRow> rows;
  uint64_t writes = 0;

 private:
  TableReply Execute(const TableRequest& request) {
    TableReply reply;
    reply.status = TableStatus::kDone;
    if (const auto* get = std::get_if<TableGet>(&request)) {
      if (rows.contains(get->key)) {
        reply.rows.push_back(rows.at(get->key));
      }
    } else if (const auto* range = std::get_if<TableRange>(&request)) {
      for (auto row = rows.upper_bound(std::max(range->after, range->prefix));
           row != rows.end() && row->first.starts_with(range->prefix) &&
           reply.rows.size() < range->limit;
           ++row) {
        reply.rows.push_back(row->second);
      }
    } else {
      const auto& transaction = std::get<TableTransaction>(request);
      for (const TableCheck& check : transaction.checks) {
        const auto row = rows.find(check.key);
        if ((row == rows.end() ? 0 : row->second.version) != check.version) {
          reply.conflicts.push_back(check.key);
        }
      }
      if (!reply.conflicts.empty()) {
        reply.status = TableStatus::kConflict;
        return reply;
      }
      for (const TablePut& put : transaction.puts) {
        rows[put.key] = {put.key, put.value, ++writes};
      }
      for (const std::string& key : transaction.deletes) {
        rows.erase(key);
      }
    }
    return reply;
  }
};

}  // namespace jd
