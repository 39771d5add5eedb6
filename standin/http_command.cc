#include "standin/http_command.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

#include "standin/standin_fetch.h"
#include "standin/standin_loop.h"
#include "standin/upstream_settings.h"

namespace jd {
namespace {

using nlohmann::json;

int PrintField(const json& document, const std::string& pointer) {
  const json::json_pointer path(pointer);
  if (!document.contains(path)) {
    return 1;
  }
  const json& field = document.at(path);
  std::printf("%s\n", field.is_string() ? field.get<std::string>().c_str() : field.dump().c_str());
  return 0;
}

}  // namespace

int RunHttpCommand(const std::string& method,
                   const std::string& url,
                   const std::string& body,
                   const std::string& pointer) {
  const std::string address_and_path = url.starts_with("http://") ? url.substr(7) : url;
  const size_t slash = address_and_path.find('/');
  const std::string path = slash == std::string::npos ? "/" : address_and_path.substr(slash);
  const EventBasePtr base = MakeStandinBase();
  std::optional<std::string> answer;
  FetchOnce(
      base.get(), ParseHostPort(address_and_path.substr(0, slash)), path,
      [&](const std::optional<std::string>& text) {
        answer = text;
        event_base_loopbreak(base.get());
      },
      method, body);
  event_base_dispatch(base.get());
  if (!answer) {
    return 1;
  }
  if (!pointer.empty()) {
    return PrintField(json::parse(*answer), pointer);
  }
  std::printf("%s\n", answer->c_str());
  return 0;
}

int RunFieldCommand(const std::string& file, const std::string& pointer) {
  return PrintField(ReadStandinFile(file), pointer);
}

int RunKeysCommand(const std::string& file, const std::string& pointer) {
  const json document = ReadStandinFile(file);
  for (const auto& item : document.at(json::json_pointer(pointer)).items()) {
    std::printf("%s\n", item.key().c_str());
  }
  return 0;
}

}  // namespace jd
