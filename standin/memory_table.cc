#include "standin/memory_table.h"

namespace jd {

TableReply MemoryTable::Commit(const TableTransaction& transaction) {
  TableReply reply;
  for (const TableCheck& check : transaction.checks) {
    const auto row = rows_.find(check.key);
    if ((row == rows_.end() ? 0 : row->second.version) != check.version) {
      reply.conflicts.push_back(check.key);
    }
  }
  if (!reply.conflicts.empty()) {
    reply.status = TableStatus::kConflict;
    return reply;
  }
  for (const TablePut& put : transaction.puts) {
    TableRow& row = rows_[put.key];
    row = TableRow{put.key, put.value, ++last_version_};
    reply.rows.push_back(row);
  }
  for (const std::string& key : transaction.deletes) {
    rows_.erase(key);
  }
  reply.status = TableStatus::kDone;
  return reply;
}

std::optional<TableRow> MemoryTable::Get(const std::string& key) const {
  const auto row = rows_.find(key);
  return row == rows_.end() ? std::nullopt : std::optional<TableRow>(row->second);
}

std::vector<TableRow> MemoryTable::Range(const TableRange& range) const {
  std::vector<TableRow> rows;
  auto row =
      range.after < range.prefix ? rows_.lower_bound(range.prefix) : rows_.upper_bound(range.after);
  for (; row != rows_.end() && rows.size() < range.limit; ++row) {
    if (!row->first.starts_with(range.prefix)) {
      break;
    }
    rows.push_back(row->second);
  }
  return rows;
}

}  // namespace jd
