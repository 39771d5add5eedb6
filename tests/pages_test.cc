#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include "common/config_codec.h"
#include "control/command.h"
#include "gateway/configuration_page.h"
#include "gateway/metrics.h"

namespace jd {
namespace {

std::string ReadPage(const std::string& name) {
  std::ifstream in(std::string(std::getenv("JACKDAWDECK_BUILD")) + "/../docs/" + name);
  std::stringstream text;
  text << in.rdbuf();
  REQUIRE(in.good());
  return text.str();
}

TEST_CASE("the configuration page equals the page that the code generates", "[pages_test]") {
  // Guards against a page that documents outdated defaults or ranges.
  const std::string page = ConfigurationPage();
  CHECK(ReadPage("configuration.md") == page);
  CHECK(page.find(" |  |") == std::string::npos);
  CHECK(RunCommandLine({"settings"}) == kExitUsageError);
}

// Returns "name type label,label" for each metric that a gateway exports.
std::set<std::string> ExportedMetrics() {
  Metrics metrics;
  metrics.CountRefusal(RefusalReason::kOverload, WorkspaceId("w"));
  const std::string text = metrics.Serialize(GaugeValues());
  std::map<std::string, std::string> types;
  std::map<std::string, std::set<std::string>> labels;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    std::smatch match;
    if (std::regex_match(line, match, std::regex("# TYPE (\\w+) (\\w+)"))) {
      types[match[1]] = match[2];
    } else if (std::regex_match(line, match, std::regex("(\\w+)\\{(\\w+)=.*"))) {
      if (match[2] != "le") {
        labels[match[1]].insert(match[2]);
      }
    }
  }
  std::set<std::string> result;
  for (const auto& [name, type] : types) {
    std::string entry = name + " " + type;
    for (const std::string& label : labels[name]) {
      entry += " " + label;
    }
    result.insert(entry);
  }
  return result;
}

TEST_CASE("the metrics page lists exactly the metrics that a gateway exports", "[pages_test]") {
  // Guards against undocumented metrics and against documented metrics that do not exist.
  std::set<std::string> documented;
  std::istringstream lines(ReadPage("metrics.md"));
  for (std::string line; std::getline(lines, line);) {
    std::smatch match;
    const std::regex row("\\| `(jackdawdeck_\\w+)` \\| (\\w+) \\| (?:`(\\w+)`)? ?\\|.*");
    if (std::regex_match(line, match, row)) {
      documented.insert(match[1].str() + " " + match[2].str() +
                        (match[3].matched ? " " + match[3].str() : ""));
    }
  }
  CHECK(documented.size() > 10);
  CHECK(documented == ExportedMetrics());
}

TEST_CASE("the metrics page explains every value of a label", "[pages_test]") {
  Metrics metrics;
  const std::string text = metrics.Serialize(GaugeValues());
  const std::string page = ReadPage("metrics.md");
  const std::regex label("\\{(?:end|outcome|reason|status|result)=\"([^\"]+)\"\\}");
  int values = 0;
  for (std::sregex_iterator at(text.begin(), text.end(), label), end; at != end; ++at) {
    INFO((*at)[1].str());
    CHECK(page.find("`" + (*at)[1].str() + "`") != std::string::npos);
    ++values;
  }
  CHECK(values > 20);
}

TEST_CASE("only workspaces of the configuration have their own time series", "[pages_test]") {
  // Guards against a number of time series without bound: callers choose the workspace name that
  // they send.
  Metrics metrics;
  metrics.SetWorkspaces({WorkspaceId("known")});
  for (const char* name : {"known", "x1", "x2"}) {
    metrics.CountRefusal(RefusalReason::kOverload, WorkspaceId(name));
  }
  const std::string text = metrics.Serialize(GaugeValues());
  const std::string series = "jackdawdeck_workspace_refusals_total{workspace=";
  CHECK(text.find(series + "\"known\"} 1") != std::string::npos);
  CHECK(text.find(series + "\"other\"} 2") != std::string::npos);
  CHECK(text.find("x1") == std::string::npos);
}

TEST_CASE("the configuration page describes every field that the codec writes", "[pages_test]") {
  std::set<std::string> paths;
  for (const ConfigField& field : AllConfigFields()) {
    paths.insert(field.path);
  }
  const nlohmann::json profile = nlohmann::json::parse(ToJson(Profile()));
  for (const auto& [name, value] : profile.items()) {
    INFO(name);
    CHECK(paths.contains("profiles[]." + name));
  }
  Service service;
  service.endpoints.resize(1);
  const nlohmann::json json = nlohmann::json::parse(ToJson(service));
  for (const auto& [name, value] : json["endpoints"][0].items()) {
    INFO(name);
    CHECK(paths.contains("services[].endpoints[]." + name));
  }
}

}  // namespace
}  // namespace jd
