#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "common/config_codec.h"
#include "control/command.h"
#include "gateway/configuration_page.h"

namespace jd {
namespace {

std::string ReadPage(const std::string& name) {
  std::ifstream in(std::string(std::getenv("JACKDAWDECK_BUILD")) + "/../docs/" + name);
  std::stringstream text;
  text << in.rdbuf();
  REQUIRE(in.good());
  return text.str();
}

TEST_CASE("the configuration page is the one that the code generates", "[pages_test]") {
  // Guards against a page that tells operators an old default or range.
  const std::string page = ConfigurationPage();
  CHECK(ReadPage("configuration.md") == page);
  CHECK(page.find(" |  |") == std::string::npos);
  CHECK(RunCommandLine({"settings"}) == kCommandUsage);
}

TEST_CASE("the described fields are those that the codec accepts", "[pages_test]") {
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
