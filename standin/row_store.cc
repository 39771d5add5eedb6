#include "standin/row_store.h"

#include <algorithm>

namespace jd {
namespace {

using nlohmann::json;

json RowJson(const std::string& table, const std::string& key, const std::string& part) {
  return {{"table", table}, {"part", part}, {"key", key}};
}

}  // namespace

std::optional<RowReply> RowStore::Handle(MonoTime now, const RowRequest& request, Duration waited) {
  try {
    if (request.path == "/api/rows-tx") {
      return CommitTransaction(now, json::parse(request.body));
    }
    if (request.path == "/api/rows-get") {
      return ReadRows(now, request);
    }
    if (request.path == "/api/rows-feed") {
      return ReadFeed(now, request, waited);
    }
    return RowReply{404, {{"error", "no such call"}}};
  } catch (const json::exception& error) {
    return RowReply{400, {{"error", error.what()}}};
  }
}

void RowStore::Put(const std::string& table,
                   const std::string& key,
                   const std::optional<std::string>& value) {
  ++version_;
  ApplyRow({table, key}, {{}, value.value_or(""), version_, !value});
}

void RowStore::DropHistory() {
  history_.clear();
  rows_before_history_ = rows_;
  newest_dropped_version_ = version_;
}

void RowStore::Restore(uint64_t copy_version) {
  version_ = std::max(copy_version, newest_dropped_version_);
  ++era_;
  rows_ = rows_before_history_;
  for (const auto& [key, row] : std::exchange(history_, {})) {
    if (row.version <= version_) {
      ApplyRow(key, row);
    }
  }
}

std::vector<std::string> RowStore::Keys(const std::string& table) const {
  std::vector<std::string> keys;
  for (auto row = rows_.lower_bound({table, ""}); row != rows_.end() && row->first.first == table;
       ++row) {
    keys.push_back(row->first.second);
  }
  return keys;
}

RowReply RowStore::CommitTransaction(MonoTime now, const json& body) {
  json conflicts = json::array();
  bool all_match = true;
  for (const json& row : body.value("expect", json::array())) {
    all_match = VersionMatches(row, &conflicts) && all_match;
  }
  json reply = CommonReplyFields(now);
  if (!all_match) {
    reply["rows"] = conflicts;
    return {412, reply};
  }
  ++version_;
  for (const json& row : body.value("upserts", json::array())) {
    ApplyRow({row.at("table"), row.at("key")},
             {row.value("part", ""), row.at("value"), version_, false});
  }
  for (const json& row : body.value("remove", json::array())) {
    ApplyRow({row.at("table"), row.at("key")}, {row.value("part", ""), "", version_, true});
  }
  return {200, CommonReplyFields(now)};
}

bool RowStore::VersionMatches(const json& row, json* current) const {
  const auto found = rows_.find({row.at("table"), row.at("key")});
  const uint64_t version = found == rows_.end() ? 0 : found->second.version;
  json state = RowJson(row.at("table"), row.at("key"), row.value("part", ""));
  state["ver"] = version;
  if (version != 0) {
    state["value"] = found->second.value;
  }
  current->push_back(std::move(state));
  return version == row.at("ver").get<uint64_t>();
}

RowReply RowStore::ReadRows(MonoTime now, const RowRequest& request) const {
  json reply = CommonReplyFields(now);
  reply["rows"] = json::array();
  reply["has_more"] = false;
  const size_t limit =
      request.limit == 0 ? kMaxRowsPerReply : std::min<size_t>(request.limit, kMaxRowsPerReply);
  for (auto row = rows_.lower_bound({request.table, request.from}); row != rows_.end(); ++row) {
    const auto& [table, key] = row->first;
    if (table != request.table || (!request.to.empty() && key >= request.to)) {
      break;
    }
    if (row->second.part != request.part) {
      continue;
    }
    if (reply["rows"].size() == limit) {
      reply["has_more"] = true;
      break;
    }
    json entry = RowJson(table, key, request.part);
    entry["value"] = row->second.value;
    entry["ver"] = row->second.version;
    reply["rows"].push_back(std::move(entry));
  }
  return {200, reply};
}

std::optional<RowReply> RowStore::ReadFeed(MonoTime now,
                                           const RowRequest& request,
                                           Duration waited) const {
  if (request.after < newest_dropped_version_ || request.after > version_) {
    return RowReply{410, {{"error", "the history is gone"}}};
  }
  json rows = json::array();
  for (const auto& [key, row] : history_) {
    if (key.first != request.table || row.version <= request.after) {
      continue;
    }
    json entry = RowJson(key.first, key.second, row.part);
    entry["ver"] = row.version;
    if (row.deleted) {
      entry["deleted"] = true;
    } else {
      entry["value"] = row.value;
    }
    rows.push_back(std::move(entry));
  }
  if (rows.empty() && waited < request.wait) {
    return std::nullopt;
  }
  json reply = CommonReplyFields(now);
  reply["rows"] = std::move(rows);
  return RowReply{200, reply};
}

void RowStore::ApplyRow(const Key& key, Row row) {
  if (row.deleted) {
    rows_.erase(key);
  } else {
    rows_[key] = row;
  }
  history_.emplace_back(key, std::move(row));
}

json RowStore::CommonReplyFields(MonoTime now) const {
  const auto since = std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch());
  return {{"ver", version_}, {"now_ms", since.count()}};
}

}  // namespace jd
