#include "standin/row_store.h"

#include <algorithm>

namespace jd {
namespace {

using nlohmann::json;

json RowJson(const std::string& table, const std::string& key, const std::string& part) {
  return {{"table", table}, {"part", part}, {"key", key}};
}

}  // namespace

std::optional<RowReply> RowStore::Handle(MonoTime now, const RowQuery& query, Duration waited) {
  try {
    if (query.path == "/api/rows-tx") {
      return Transact(now, json::parse(query.body));
    }
    if (query.path == "/api/rows-get") {
      return Read(now, query);
    }
    if (query.path == "/api/rows-feed") {
      return Feed(now, query, waited);
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
  Apply({table, key}, {{}, value.value_or(""), version_, !value});
}

void RowStore::Forget() {
  history_.clear();
  forgotten_ = version_;
}

RowReply RowStore::Transact(MonoTime now, const json& body) {
  json conflicts = json::array();
  bool held = true;
  for (const json& row : body.value("expect", json::array())) {
    held = Expected(row, &conflicts) && held;
  }
  json reply = Envelope(now);
  if (!held) {
    reply["rows"] = conflicts;
    return {412, reply};
  }
  ++version_;
  for (const json& row : body.value("upserts", json::array())) {
    Apply({row.at("table"), row.at("key")},
          {row.value("part", ""), row.at("value"), version_, false});
  }
  for (const json& row : body.value("remove", json::array())) {
    Apply({row.at("table"), row.at("key")}, {row.value("part", ""), "", version_, true});
  }
  return {200, Envelope(now)};
}

bool RowStore::Expected(const json& row, json* current) const {
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

RowReply RowStore::Read(MonoTime now, const RowQuery& query) const {
  json reply = Envelope(now);
  reply["rows"] = json::array();
  reply["has_more"] = false;
  const size_t limit = query.limit == 0 ? kPage : std::min<size_t>(query.limit, kPage);
  for (auto row = rows_.lower_bound({query.table, query.from}); row != rows_.end(); ++row) {
    const auto& [table, key] = row->first;
    if (table != query.table || (!query.to.empty() && key >= query.to)) {
      break;
    }
    if (row->second.part != query.part) {
      continue;
    }
    if (reply["rows"].size() == limit) {
      reply["has_more"] = true;
      break;
    }
    json entry = RowJson(table, key, query.part);
    entry["value"] = row->second.value;
    entry["ver"] = row->second.version;
    reply["rows"].push_back(std::move(entry));
  }
  return {200, reply};
}

std::optional<RowReply> RowStore::Feed(MonoTime now, const RowQuery& query, Duration waited) const {
  if (query.after < forgotten_) {
    return RowReply{
        410,
        {{"error",
          "the change history no longer reaches back to this version; read the table again"}}};
  }
  json rows = json::array();
  for (const auto& [key, row] : history_) {
    if (key.first != query.table || row.version <= query.after) {
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
  if (rows.empty() && waited < query.wait) {
    return std::nullopt;
  }
  json reply = Envelope(now);
  reply["rows"] = std::move(rows);
  return RowReply{200, reply};
}

void RowStore::Apply(const Key& key, Row row) {
  if (row.deleted) {
    rows_.erase(key);
  } else {
    rows_[key] = row;
  }
  history_.emplace_back(key, std::move(row));
}

json RowStore::Envelope(MonoTime now) const {
  const auto since = std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch());
  return {{"ver", version_}, {"now_ms", since.count()}};
}

}  // namespace jd
