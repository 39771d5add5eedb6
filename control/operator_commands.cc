#include "control/operator_commands.h"

#include <docopt/docopt.h>
#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "control/command.h"
#include "control/operator_client.h"
#include "control/operator_output.h"
#include "control/operator_usage.h"

namespace jd {
namespace {

using Json = nlohmann::json;
using Arguments = std::map<std::string, docopt::value>;

/// Thrown for an invalid argument; the message says what is accepted.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

bool HasFlag(const Arguments& args, const std::string& name) {
  const auto found = args.find(name);
  return found != args.end() && found->second.isBool() && found->second.asBool();
}

std::string ArgumentText(const Arguments& args, const std::string& name) {
  const auto found = args.find(name);
  return found != args.end() && found->second.isString() ? found->second.asString() : "";
}

template <typename Number>
Number ParseNumber(const std::string& text, const std::string& argument_name) {
  Number number{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw UsageError("'" + text + "' is not a number; " + argument_name + " takes a number");
  }
  return number;
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    throw UsageError("cannot read '" + path + "'");
  }
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

// Reads an object or a whole configuration from a TOML file, or from a JSON file, which is
// recognized by its opening brace.
Json ReadObject(const std::string& path) {
  const std::string text = ReadFile(path);
  if (const size_t first = text.find_first_not_of(" \t\r\n");
      first != std::string::npos && text[first] == '{') {
    try {
      return Json::parse(text);
    } catch (const Json::parse_error& error) {
      throw UsageError(path + ": " + error.what());
    }
  }
  try {
    std::ostringstream out;
    out << toml::json_formatter(toml::parse(text));
    return Json::parse(out.str());
  } catch (const toml::parse_error& error) {
    throw UsageError(path + ":" + std::to_string(error.source().begin.line) + ": " +
                     std::string(error.description()));
  }
}

OperatorTarget ParseGatewayAddress(const std::string& text, const std::string& key) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw UsageError("--gateway takes ADDRESS:PORT, not '" + text + "'");
  }
  return {text.substr(0, colon), ParseNumber<uint16_t>(text.substr(colon + 1), "--gateway"), key};
}

std::string ReadSharedKey(const Arguments& args) {
  if (const std::string file = ArgumentText(args, "--key-file"); !file.empty()) {
    std::string key = ReadFile(file);
    key.erase(std::find_if(key.rbegin(), key.rend(), [](char c) { return c > ' '; }).base(),
              key.end());
    return key;
  }
  const char* key = std::getenv("JACKDAWDECK_KEY");
  return key == nullptr ? "" : key;
}

// Reads a workspace, which is given as its share alone or as a file with its fields.
Json ReadWorkspace(const std::string& share_or_file) {
  double share = 0;
  const char* end = share_or_file.data() + share_or_file.size();
  const auto [rest, error] = std::from_chars(share_or_file.data(), end, share);
  return error == std::errc() && rest == end ? Json(share) : ReadObject(share_or_file);
}

void AddPutFields(const Arguments& args, const std::string& kind, Json* body) {
  (*body)["kind"] = kind;
  (*body)["name"] = ArgumentText(args, "NAME");
  (*body)["object"] = kind == "workspace" ? ReadWorkspace(ArgumentText(args, "SHARE_OR_FILE"))
                                          : ReadObject(ArgumentText(args, "FILE"));
}

std::pair<std::string, Json> ParseObjectCommand(const Arguments& args, const std::string& kind) {
  Json body;
  if (HasFlag(args, "put")) {
    AddPutFields(args, kind, &body);
    return {"put", body};
  }
  body["kind"] = kind;
  if (HasFlag(args, "show")) {
    body["name"] = ArgumentText(args, "NAME");
    return {"show", body};
  }
  return {"list", body};
}

std::pair<std::string, Json> ParseZoneCommand(const Arguments& args) {
  if (HasFlag(args, "list")) {
    return {"list", {{"kind", "zone"}}};
  }
  return {"zone",
          {{"zone", ArgumentText(args, "ZONE")},
           {"out", HasFlag(args, "out")},
           {"unrecorded", HasFlag(args, "--unrecorded")}}};
}

std::pair<std::string, Json> ParseConfigCommand(const Arguments& args) {
  if (HasFlag(args, "log")) {
    return {"config-log",
            {{"limit", ParseNumber<uint32_t>(ArgumentText(args, "--limit"), "--limit")}}};
  }
  if (HasFlag(args, "diff")) {
    return {"config-diff",
            {{"from", ParseNumber<uint64_t>(ArgumentText(args, "FROM"), "FROM")},
             {"to", ParseNumber<uint64_t>(ArgumentText(args, "TO"), "TO")}}};
  }
  if (HasFlag(args, "rollback")) {
    return {"rollback",
            {{"kind", ArgumentText(args, "KIND")},
             {"name", ArgumentText(args, "NAME")},
             {"version", ParseNumber<uint64_t>(ArgumentText(args, "VERSION"), "VERSION")}}};
  }
  return {"config-show", Json::object()};
}

std::pair<std::string, Json> ParseCommand(const Arguments& args) {
  for (const char* kind : {"profile", "service", "workspace"}) {
    if (HasFlag(args, kind)) {
      return ParseObjectCommand(args, kind);
    }
  }
  if (HasFlag(args, "zone")) {
    return ParseZoneCommand(args);
  }
  if (HasFlag(args, "config")) {
    return ParseConfigCommand(args);
  }
  if (HasFlag(args, "status")) {
    return {"status", Json::object()};
  }
  return {"timeline",
          {{"request", ArgumentText(args, "--request")},
           {"endpoint", ArgumentText(args, "--endpoint")},
           {"zone", ArgumentText(args, "--zone")},
           {"kind", ArgumentText(args, "--kind")}}};
}

Json ParseReplyBody(const std::string& text) {
  Json body = Json::parse(text, nullptr, false);
  return body.is_discarded() ? Json{{"error", "the gateway's reply is not JSON"}} : body;
}

// Sends a command to every gateway that the gateway `first` lists as a member, and returns the
// replies of all, so that differences between the gateways are visible.
// @param[out] status outcome of the request for the members. If the request failed, the function
// returns the reply to it.
Json QueryAllGateways(const OperatorTarget& first,
                      const std::string& command,
                      const Json& body,
                      Duration timeout,
                      OperatorStatus* status) {
  OperatorReply reply = CallOperator(first, {0, "status", "{}", Duration(0)}, timeout);
  *status = reply.status;
  Json first_status = ParseReplyBody(reply.body);
  if (reply.status != OperatorStatus::kDone) {
    return first_status;
  }
  Json answers = Json::array();
  for (const Json& member : first_status.value("members", Json::array())) {
    const OperatorTarget target{member.value("address", ""), member.value<uint16_t>("port", 0),
                                first.key};
    reply = CallOperator(target, {0, command, body.dump(), Duration(0)}, timeout);
    Json answer = ParseReplyBody(reply.body);
    answer["gateway"] = member.value("id", "");
    answers.push_back(std::move(answer));
  }
  return answers;
}

// Sends a put command for each object of a configuration file. Objects to which other objects refer
// are sent first. Stops at the first object that is not accepted, because later objects may refer
// to that object.
// @return the reply to the last command sent.
OperatorReply PutAllObjects(const OperatorTarget& target,
                            const Json& objects,
                            const std::string& author,
                            Duration timeout) {
  OperatorReply reply;
  reply.status = OperatorStatus::kDone;
  reply.body = "{}";
  for (const char* kind : {"workspace", "zone", "profile", "service"}) {
    const Json section = objects.value(kind + std::string("s"), Json::object());
    for (const auto& [name, object] : section.items()) {
      const Json put = {{"kind", kind}, {"name", name}, {"object", object}, {"author", author}};
      reply = CallOperator(target, {0, "put", put.dump(), {}}, timeout);
      if (reply.status != OperatorStatus::kDone) {
        return reply;
      }
    }
  }
  return reply;
}

int ToExitCode(OperatorStatus status) {
  switch (status) {
    case OperatorStatus::kDone:
      return kExitSuccess;
    case OperatorStatus::kRefused:
      return kExitFailure;
    case OperatorStatus::kUnknown:
      break;
  }
  return kExitOutcomeUnknown;
}

int RunParsedCommand(const Arguments& args) {
  auto [command, body] = ParseCommand(args);
  body["author"] = ArgumentText(args, "--author");
  if (const std::string base = ArgumentText(args, "--base"); !base.empty()) {
    body["base"] = ParseNumber<uint64_t>(base, "--base");
  }
  const OperatorTarget target =
      ParseGatewayAddress(ArgumentText(args, "--gateway"), ReadSharedKey(args));
  const double seconds = ParseNumber<double>(ArgumentText(args, "--timeout"), "--timeout");
  const Duration timeout(static_cast<int64_t>(seconds * 1e6));
  OperatorStatus status = OperatorStatus::kUnknown;
  Json answer;
  if (HasFlag(args, "load")) {
    const OperatorReply reply = PutAllObjects(target, ReadObject(ArgumentText(args, "FILE")),
                                              ArgumentText(args, "--author"), timeout);
    status = reply.status;
    answer = ParseReplyBody(reply.body);
  } else if (command == "status" || command == "timeline") {
    answer = QueryAllGateways(target, command, body, timeout, &status);
  } else {
    const OperatorReply reply = CallOperator(target, {0, command, body.dump(), {}}, timeout);
    status = reply.status;
    answer = ParseReplyBody(reply.body);
  }
  const std::string format = HasFlag(args, "--json") ? "json" : ArgumentText(args, "--format");
  if (status != OperatorStatus::kDone && format != "json") {
    std::cerr << "jackdawdeck: " << answer.value("error", "failed") << "\n";
    return ToExitCode(status);
  }
  std::cout << FormatAnswer(command, answer, format);
  return ToExitCode(status);
}

}  // namespace

bool IsOperatorCommand(const std::string& name) {
  static constexpr const char* names[] = {"profile", "service", "workspace", "zone",
                                          "config",  "status",  "timeline"};
  return std::find(std::begin(names), std::end(names), name) != std::end(names);
}

int RunOperatorCommand(const std::vector<std::string>& args) {
  try {
    return RunParsedCommand(docopt::docopt_parse(kOperatorUsage, args, true, false));
  } catch (const UsageError& error) {
    std::cerr << "jackdawdeck: " << error.what() << "\n";
    return kExitUsageError;
  }
}

}  // namespace jd
