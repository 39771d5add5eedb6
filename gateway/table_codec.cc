#include "gateway/table_codec.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace jd {
namespace {

using nlohmann::json;

TableRow ParseRow(const json& value) {
  return {value.at("key"), value.at("value"), value.at("version")};
}

std::string TransactionToJson(const TableTransaction& transaction) {
  json checks = json::array();
  for (const TableCheck& check : transaction.checks) {
    checks.push_back({{"key", check.key}, {"version", check.version}});
  }
  json puts = json::array();
  for (const TablePut& put : transaction.puts) {
    puts.push_back({{"key", put.key}, {"value", put.value}});
  }
  return json{{"checks", checks}, {"puts", puts}, {"deletes", transaction.deletes}}.dump();
}

void ParseSuccessfulReply(const TableRequest& request, const json& value, TableReply* reply) {
  if (IsWrite(request)) {
    for (const auto& [key, version] : value.at("versions").items()) {
      reply->rows.push_back({key, {}, version});
    }
  } else if (std::holds_alternative<TableGet>(request)) {
    reply->rows.push_back(ParseRow(value));
  } else {
    for (const json& row : value.at("rows")) {
      reply->rows.push_back(ParseRow(row));
    }
  }
  reply->status = TableStatus::kDone;
}

}  // namespace

HttpCall ToHttpCall(const TableRequest& request) {
  if (const auto* get = std::get_if<TableGet>(&request)) {
    return {EVHTTP_REQ_GET, "/table/row?key=" + EscapeQuery(get->key), {}};
  }
  if (const auto* range = std::get_if<TableRange>(&request)) {
    return {EVHTTP_REQ_GET,
            "/table/range?prefix=" + EscapeQuery(range->prefix) +
                "&after=" + EscapeQuery(range->after) + "&limit=" + std::to_string(range->limit),
            {}};
  }
  return {EVHTTP_REQ_POST, "/table/txn", TransactionToJson(std::get<TableTransaction>(request))};
}

bool IsWrite(const TableRequest& request) {
  return std::holds_alternative<TableTransaction>(request);
}

TableReply FailedTableReply(const TableRequest& request, bool may_have_run) {
  TableReply reply;
  reply.status =
      IsWrite(request) && may_have_run ? TableStatus::kUnknown : TableStatus::kUnavailable;
  return reply;
}

TableReply ParseTableReply(const TableRequest& request, int status, const std::string& body) {
  TableReply reply;
  try {
    if (status == 200) {
      ParseSuccessfulReply(request, json::parse(body), &reply);
      return reply;
    }
    if (status == 404 && std::holds_alternative<TableGet>(request)) {
      reply.status = TableStatus::kDone;
      return reply;
    }
    if (status == 409 && IsWrite(request)) {
      reply.conflicts = json::parse(body).at("conflicts").get<std::vector<std::string>>();
      reply.status = TableStatus::kConflict;
      return reply;
    }
  } catch (const json::exception&) {
    return FailedTableReply(request, status != 409);
  }
  // The platform refuses an invalid request (4xx) or all writes (503) before anything takes effect;
  // other server errors may come after the write took effect.
  const bool refused = (status >= 400 && status < 500) || status == 503;
  return FailedTableReply(request, !refused);
}

VmList ParseVmList(const std::string& body) {
  VmList vms;
  const json document = json::parse(body);
  for (const json& value : document.at("vms")) {
    const std::string role = value.at("role");
    const std::string state = value.at("state");
    if ((role != "gateway" && role != "upstream") || (state != "live" && state != "leaving")) {
      continue;
    }
    Vm vm;
    vm.name = value.at("name");
    vm.role = role == "gateway" ? VmRole::kGateway : VmRole::kUpstream;
    vm.state = state == "live" ? VmState::kLive : VmState::kLeaving;
    vm.zone = ZoneId(value.value("zone", std::string()));
    vm.address = value.value("address", std::string());
    vm.port = value.value("port", uint16_t{0});
    vms.push_back(std::move(vm));
  }
  return vms;
}

}  // namespace jd
