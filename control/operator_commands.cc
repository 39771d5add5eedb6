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

/// Wrong use of a command; the text says what is accepted.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

bool Flag(const Arguments& args, const std::string& name) {
  const auto found = args.find(name);
  return found != args.end() && found->second.isBool() && found->second.asBool();
}

std::string Text(const Arguments& args, const std::string& name) {
  const auto found = args.find(name);
  return found != args.end() && found->second.isString() ? found->second.asString() : "";
}

template <typename Number>
Number ParseNumber(const std::string& text, const std::string& what) {
  Number number{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw UsageError("'" + text + "' is not a number; " + what + " takes one");
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

// Objects are written in TOML; a file that starts with a brace is taken for JSON.
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

OperatorTarget ParseTarget(const std::string& text, const std::string& key) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw UsageError("--gateway takes ADDRESS:PORT, not '" + text + "'");
  }
  return {text.substr(0, colon), ParseNumber<uint16_t>(text.substr(colon + 1), "--gateway"), key};
}

std::string ReadKey(const Arguments& args) {
  if (const std::string file = Text(args, "--key-file"); !file.empty()) {
    std::string key = ReadFile(file);
    key.erase(std::find_if(key.rbegin(), key.rend(), [](char c) { return c > ' '; }).base(),
              key.end());
    return key;
  }
  const char* key = std::getenv("JACKDAWDECK_KEY");
  return key == nullptr ? "" : key;
}

void AddPut(const Arguments& args, const std::string& kind, Json* body) {
  (*body)["kind"] = kind;
  (*body)["name"] = Text(args, "NAME");
  (*body)["object"] = kind == "workspace" ? Json(ParseNumber<double>(Text(args, "SHARE"), "SHARE"))
                                          : ReadObject(Text(args, "FILE"));
}

std::pair<std::string, Json> ObjectCommand(const Arguments& args, const std::string& kind) {
  Json body;
  if (Flag(args, "put")) {
    AddPut(args, kind, &body);
    return {"put", body};
  }
  body["kind"] = kind;
  if (Flag(args, "show")) {
    body["name"] = Text(args, "NAME");
    return {"show", body};
  }
  return {"list", body};
}

std::pair<std::string, Json> ZoneCommand(const Arguments& args) {
  if (Flag(args, "list")) {
    return {"list", {{"kind", "zone"}}};
  }
  return {"zone",
          {{"zone", Text(args, "ZONE")},
           {"out", Flag(args, "out")},
           {"unrecorded", Flag(args, "--unrecorded")}}};
}

std::pair<std::string, Json> ConfigCommand(const Arguments& args) {
  if (Flag(args, "log")) {
    return {"config-log", {{"limit", ParseNumber<uint32_t>(Text(args, "--limit"), "--limit")}}};
  }
  if (Flag(args, "diff")) {
    return {"config-diff",
            {{"from", ParseNumber<uint64_t>(Text(args, "FROM"), "FROM")},
             {"to", ParseNumber<uint64_t>(Text(args, "TO"), "TO")}}};
  }
  if (Flag(args, "rollback")) {
    return {"rollback",
            {{"kind", Text(args, "KIND")},
             {"name", Text(args, "NAME")},
             {"version", ParseNumber<uint64_t>(Text(args, "VERSION"), "VERSION")}}};
  }
  return {"config-show", Json::object()};
}

std::pair<std::string, Json> ParseCommand(const Arguments& args) {
  for (const char* kind : {"profile", "service", "workspace"}) {
    if (Flag(args, kind)) {
      return ObjectCommand(args, kind);
    }
  }
  if (Flag(args, "zone")) {
    return ZoneCommand(args);
  }
  if (Flag(args, "config")) {
    return ConfigCommand(args);
  }
  if (Flag(args, "status")) {
    return {"status", Json::object()};
  }
  return {"timeline",
          {{"request", Text(args, "--request")},
           {"endpoint", Text(args, "--endpoint")},
           {"zone", Text(args, "--zone")},
           {"kind", Text(args, "--kind")}}};
}

Json ParseBody(const std::string& text) {
  Json body = Json::parse(text, nullptr, false);
  return body.is_discarded() ? Json{{"error", "the gateway's answer is not JSON"}} : body;
}

// Asks every gateway that the first one knows of, so that disagreement between them shows.
Json AskAll(const OperatorTarget& first,
            const std::string& command,
            const Json& body,
            Duration timeout,
            OperatorStatus* status) {
  OperatorReply reply = CallOperator(first, {0, "status", "{}", Duration(0)}, timeout);
  *status = reply.status;
  Json seen = ParseBody(reply.body);
  if (reply.status != OperatorStatus::kDone) {
    return seen;
  }
  Json answers = Json::array();
  for (const Json& member : seen.value("members", Json::array())) {
    const OperatorTarget target{member.value("address", ""), member.value<uint16_t>("port", 0),
                                first.key};
    reply = CallOperator(target, {0, command, body.dump(), Duration(0)}, timeout);
    Json answer = ParseBody(reply.body);
    answer["gateway"] = member.value("id", "");
    answers.push_back(std::move(answer));
  }
  return answers;
}

// Puts every object of a configuration file, those that others refer to first. Stops at the first
// one that is not accepted, since later ones may need it.
OperatorReply LoadAll(const OperatorTarget& target,
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

int ExitCodeOf(OperatorStatus status) {
  switch (status) {
    case OperatorStatus::kDone:
      return kCommandDone;
    case OperatorStatus::kRefused:
      return kCommandFailed;
    case OperatorStatus::kUnknown:
      break;
  }
  return kCommandUnknown;
}

int Run(const Arguments& args) {
  auto [command, body] = ParseCommand(args);
  body["author"] = Text(args, "--author");
  if (const std::string base = Text(args, "--base"); !base.empty()) {
    body["base"] = ParseNumber<uint64_t>(base, "--base");
  }
  const OperatorTarget target = ParseTarget(Text(args, "--gateway"), ReadKey(args));
  const double seconds = ParseNumber<double>(Text(args, "--timeout"), "--timeout");
  const Duration timeout(static_cast<int64_t>(seconds * 1e6));
  OperatorStatus status = OperatorStatus::kUnknown;
  Json answer;
  if (Flag(args, "load")) {
    const OperatorReply reply =
        LoadAll(target, ReadObject(Text(args, "FILE")), Text(args, "--author"), timeout);
    status = reply.status;
    answer = ParseBody(reply.body);
  } else if (command == "status" || command == "timeline") {
    answer = AskAll(target, command, body, timeout, &status);
  } else {
    const OperatorReply reply = CallOperator(target, {0, command, body.dump(), {}}, timeout);
    status = reply.status;
    answer = ParseBody(reply.body);
  }
  const std::string format = Flag(args, "--json") ? "json" : Text(args, "--format");
  if (status != OperatorStatus::kDone && format != "json") {
    std::cerr << "jackdawdeck: " << answer.value("error", "failed") << "\n";
    return ExitCodeOf(status);
  }
  std::cout << FormatAnswer(command, answer, format);
  return ExitCodeOf(status);
}

}  // namespace

bool IsOperatorCommand(const std::string& name) {
  static constexpr const char* names[] = {"profile", "service", "workspace", "zone",
                                          "config",  "status",  "timeline"};
  return std::find(std::begin(names), std::end(names), name) != std::end(names);
}

int RunOperatorCommand(const std::vector<std::string>& args) {
  try {
    return Run(docopt::docopt_parse(kOperatorUsage, args, true, false));
  } catch (const UsageError& error) {
    std::cerr << "jackdawdeck: " << error.what() << "\n";
    return kCommandUsage;
  }
}

}  // namespace jd
