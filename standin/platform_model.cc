#include "standin/platform_model.h"

#include <optional>
#include <stdexcept>

namespace jd {
namespace {

using nlohmann::json;

json RowJson(const TableRow& row) {
  return json{{"key", row.key}, {"value", row.value}, {"version", row.version}};
}

PlatformFault ParseFault(const std::string& name) {
  static const std::map<std::string, PlatformFault> names = {
      {"ok", PlatformFault::kOk},
      {"down", PlatformFault::kDown},
      {"slow", PlatformFault::kSlow},
      {"lose_answer", PlatformFault::kLoseAnswer},
      {"refuse_writes", PlatformFault::kRefuseWrites}};
  const auto found = names.find(name);
  if (found == names.end()) {
    throw std::runtime_error("unknown fault mode: " + name);
  }
  return found->second;
}

bool IsControl(const StandinQuery& query) {
  return query.path == "/fault" || query.path == "/stats" || query.path == "/balancer" ||
         (query.path == "/vms" && query.method == "POST");
}

}  // namespace

StandinReply PlatformModel::Handle(MonoTime now, const StandinQuery& query) {
  try {
    if (IsControl(query)) {
      return Route(now, query);
    }
    const bool is_write = query.method != "GET";
    is_write ? ++writes_ : ++reads_;
    switch (TakeFault(is_write)) {
      case PlatformFault::kDown:
        return StandinReply{0, {}, {}, true};
      case PlatformFault::kRefuseWrites:
        return StandinReply{
            503, json{{"error", "injected fault: the platform refuses writes"}}, {}, false};
      case PlatformFault::kLoseAnswer: {
        StandinReply reply = Route(now, query);
        reply.close = true;
        return reply;
      }
      case PlatformFault::kSlow: {
        StandinReply reply = Route(now, query);
        reply.delay = fault_delay_;
        return reply;
      }
      case PlatformFault::kOk:
        break;
    }
    return Route(now, query);
  } catch (const std::exception& error) {
    return StandinReply{400, json{{"error", error.what()}}, {}, false};
  }
}

PlatformFault PlatformModel::TakeFault(bool is_write) {
  const bool write_only =
      fault_ == PlatformFault::kLoseAnswer || fault_ == PlatformFault::kRefuseWrites;
  if (fault_ == PlatformFault::kOk || fault_count_ == 0 || (write_only && !is_write)) {
    return PlatformFault::kOk;
  }
  if (fault_count_ > 0) {
    --fault_count_;
  }
  ++faulted_;
  return fault_;
}

StandinReply PlatformModel::Route(MonoTime now, const StandinQuery& query) {
  const std::string& path = query.path;
  if (path == "/table/txn" && query.method == "POST") {
    return Transact(json::parse(query.body));
  }
  if (path == "/table/row" && query.method == "GET") {
    const std::optional<TableRow> row = table_.Get(query.key);
    return row ? StandinReply{200, RowJson(*row), {}, false}
               : StandinReply{404, json{{"error", "no such row"}}, {}, false};
  }
  if (path == "/table/range" && query.method == "GET") {
    json rows = json::array();
    for (const TableRow& row : table_.Range(TableRange{query.prefix, query.after, query.limit})) {
      rows.push_back(RowJson(row));
    }
    return StandinReply{200, json{{"rows", rows}}, {}, false};
  }
  if (path.starts_with("/objects/")) {
    return Object(query);
  }
  if (path == "/vms") {
    return Vms(now, query);
  }
  if (path == "/balancer") {
    return Balancer(query);
  }
  if (path == "/fault" && query.method == "POST") {
    return SetFault(json::parse(query.body));
  }
  if (path == "/stats") {
    return StandinReply{200,
                        json{{"reads", reads_},
                             {"writes", writes_},
                             {"conflicts", conflicts_},
                             {"faulted", faulted_}},
                        {},
                        false};
  }
  return StandinReply{404, json{{"error", "no such path"}}, {}, false};
}

StandinReply PlatformModel::Transact(const json& body) {
  TableTransaction transaction;
  for (const json& check : body.value("checks", json::array())) {
    transaction.checks.push_back({check.at("key"), check.at("version")});
  }
  for (const json& put : body.value("puts", json::array())) {
    transaction.puts.push_back({put.at("key"), put.at("value")});
  }
  transaction.deletes = body.value("deletes", std::vector<std::string>());
  const TableReply reply = table_.Commit(transaction);
  if (reply.status == TableStatus::kConflict) {
    ++conflicts_;
    return StandinReply{409, json{{"conflicts", reply.conflicts}}, {}, false};
  }
  json versions = json::object();
  for (const TableRow& row : reply.rows) {
    versions[row.key] = row.version;
  }
  return StandinReply{200, json{{"versions", versions}}, {}, false};
}

StandinReply PlatformModel::Object(const StandinQuery& query) {
  const std::string name = query.path.substr(std::string("/objects/").size());
  if (query.method == "PUT") {
    objects_[name] = query.body;
    return StandinReply{200, json::object(), {}, false};
  }
  const auto found = objects_.find(name);
  return found == objects_.end() ? StandinReply{404, json{{"error", "no such object"}}, {}, false}
                                 : StandinReply{200, found->second, {}, false};
}

StandinReply PlatformModel::Balancer(const StandinQuery& query) {
  if (query.method == "POST") {
    const json body = json::parse(query.body);
    BalancerEntry entry;
    entry.id = body.at("id");
    entry.address = body.value("address", "127.0.0.1");
    entry.port = body.at("port");
    entry.status_port = body.at("status_port");
    balancer_[entry.id] = entry;
    return StandinReply{200, json::object(), {}, false};
  }
  json gateways = json::array();
  for (const auto& [id, entry] : balancer_) {
    if (entry.ready) {
      gateways.push_back({{"id", id}, {"address", entry.address}, {"port", entry.port}});
    }
  }
  return StandinReply{200, json{{"gateways", gateways}}, {}, false};
}

StandinReply PlatformModel::Vms(MonoTime now, const StandinQuery& query) {
  if (query.method == "POST") {
    const json body = json::parse(query.body);
    if (body.contains("lag_ms")) {
      vm_lag_ = Duration(static_cast<int64_t>(body.at("lag_ms").get<double>() * 1000));
    }
    if (body.contains("vms")) {
      vm_changes_.emplace_back(now + vm_lag_, body.at("vms"));
    }
    return StandinReply{200, json::object(), {}, false};
  }
  while (!vm_changes_.empty() && vm_changes_.front().first <= now) {
    visible_vms_ = vm_changes_.front().second;
    vm_changes_.pop_front();
  }
  return StandinReply{200, json{{"vms", visible_vms_}}, {}, false};
}

StandinReply PlatformModel::SetFault(const json& body) {
  fault_ = ParseFault(body.at("mode"));
  fault_delay_ = Duration(static_cast<int64_t>(body.value("delay_ms", 0.0) * 1000));
  fault_count_ = body.value("count", int64_t{-1});
  return StandinReply{200, json::object(), {}, false};
}

}  // namespace jd
