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

// Control requests are not counted and not affected by faults.
bool IsControlRequest(const PlatformRequest& request) {
  return request.path == "/fault" || request.path == "/stats" || request.path == "/balancer" ||
         (request.path == "/vms" && request.method == "POST");
}

}  // namespace

PlatformReply PlatformModel::Handle(MonoTime now, const PlatformRequest& request) {
  try {
    if (IsControlRequest(request)) {
      return DispatchByPath(now, request);
    }
    const bool is_write = request.method != "GET";
    is_write ? ++writes_ : ++reads_;
    switch (ConsumeFault(is_write)) {
      case PlatformFault::kDown:
        return PlatformReply{0, {}, {}, true};
      case PlatformFault::kRefuseWrites:
        return PlatformReply{503, json{{"error", "writes are refused"}}, {}, false};
      case PlatformFault::kLoseAnswer: {
        PlatformReply reply = DispatchByPath(now, request);
        reply.close = true;
        return reply;
      }
      case PlatformFault::kSlow: {
        PlatformReply reply = DispatchByPath(now, request);
        reply.delay = fault_delay_;
        return reply;
      }
      case PlatformFault::kOk:
        break;
    }
    return DispatchByPath(now, request);
  } catch (const std::exception& error) {
    return PlatformReply{400, json{{"error", error.what()}}, {}, false};
  }
}

PlatformFault PlatformModel::ConsumeFault(bool is_write) {
  const bool write_only =
      fault_ == PlatformFault::kLoseAnswer || fault_ == PlatformFault::kRefuseWrites;
  if (fault_ == PlatformFault::kOk || faults_left_ == 0 || (write_only && !is_write)) {
    return PlatformFault::kOk;
  }
  if (faults_left_ > 0) {
    --faults_left_;
  }
  ++faulted_requests_;
  return fault_;
}

PlatformReply PlatformModel::DispatchByPath(MonoTime now, const PlatformRequest& request) {
  const std::string& path = request.path;
  if (path == "/table/txn" && request.method == "POST") {
    return HandleTransaction(json::parse(request.body));
  }
  if (path == "/table/row" && request.method == "GET") {
    const std::optional<TableRow> row = table_.Get(request.key);
    return row ? PlatformReply{200, RowJson(*row), {}, false}
               : PlatformReply{404, json{{"error", "no such row"}}, {}, false};
  }
  if (path == "/table/range" && request.method == "GET") {
    json rows = json::array();
    for (const TableRow& row :
         table_.Range(TableRange{request.prefix, request.after, request.limit})) {
      rows.push_back(RowJson(row));
    }
    return PlatformReply{200, json{{"rows", rows}}, {}, false};
  }
  if (path.starts_with("/objects/")) {
    return HandleObject(request);
  }
  if (path == "/vms") {
    return HandleVmList(now, request);
  }
  if (path == "/balancer") {
    return HandleBalancer(request);
  }
  if (path == "/fault" && request.method == "POST") {
    return SetFault(json::parse(request.body));
  }
  if (path == "/stats") {
    return PlatformReply{200,
                         json{{"reads", reads_},
                              {"writes", writes_},
                              {"conflicts", conflicts_},
                              {"faulted", faulted_requests_}},
                         {},
                         false};
  }
  return PlatformReply{404, json{{"error", "no such path"}}, {}, false};
}

PlatformReply PlatformModel::HandleTransaction(const json& body) {
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
    return PlatformReply{409, json{{"conflicts", reply.conflicts}}, {}, false};
  }
  json versions = json::object();
  for (const TableRow& row : reply.rows) {
    versions[row.key] = row.version;
  }
  return PlatformReply{200, json{{"versions", versions}}, {}, false};
}

PlatformReply PlatformModel::HandleObject(const PlatformRequest& request) {
  const std::string name = request.path.substr(std::string("/objects/").size());
  if (request.method == "PUT") {
    objects_[name] = request.body;
    return PlatformReply{200, json::object(), {}, false};
  }
  const auto found = objects_.find(name);
  return found == objects_.end() ? PlatformReply{404, json{{"error", "no such object"}}, {}, false}
                                 : PlatformReply{200, found->second, {}, false};
}

PlatformReply PlatformModel::HandleBalancer(const PlatformRequest& request) {
  if (request.method == "POST") {
    const json body = json::parse(request.body);
    BalancerEntry entry;
    entry.id = body.at("id");
    entry.address = body.value("address", "127.0.0.1");
    entry.port = body.at("port");
    entry.status_port = body.at("status_port");
    balancer_[entry.id] = entry;
    return PlatformReply{200, json::object(), {}, false};
  }
  json gateways = json::array();
  for (const auto& [id, entry] : balancer_) {
    if (entry.ready) {
      gateways.push_back({{"id", id}, {"address", entry.address}, {"port", entry.port}});
    }
  }
  return PlatformReply{200, json{{"gateways", gateways}}, {}, false};
}

PlatformReply PlatformModel::HandleVmList(MonoTime now, const PlatformRequest& request) {
  if (request.method == "POST") {
    const json body = json::parse(request.body);
    if (body.contains("lag_ms")) {
      vm_lag_ = Duration(static_cast<int64_t>(body.at("lag_ms").get<double>() * 1000));
    }
    if (body.contains("vms")) {
      vm_changes_.emplace_back(now + vm_lag_, body.at("vms"));
    }
    return PlatformReply{200, json::object(), {}, false};
  }
  while (!vm_changes_.empty() && vm_changes_.front().first <= now) {
    visible_vms_ = vm_changes_.front().second;
    vm_changes_.pop_front();
  }
  return PlatformReply{200, json{{"vms", visible_vms_}}, {}, false};
}

PlatformReply PlatformModel::SetFault(const json& body) {
  fault_ = ParseFault(body.at("mode"));
  fault_delay_ = Duration(static_cast<int64_t>(body.value("delay_ms", 0.0) * 1000));
  faults_left_ = body.value("count", int64_t{-1});
  return PlatformReply{200, json::object(), {}, false};
}

}  // namespace jd
