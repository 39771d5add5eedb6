#include "gateway/settings.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <set>

#include "control/command.h"

namespace jd {
namespace {

const std::string kMinimalSettings = R"([gateway]
id = "g"
zone = "z"
[peers]
shared_key = "0123456789abcdef"
)";

std::vector<std::string> ErrorsIn(const std::string& text) {
  try {
    ParseSettings(text, "f.toml");
  } catch (const SettingsError& error) {
    return error.errors();
  }
  return {};
}

TEST_CASE("absent settings have the defaults of the settings table", "[settings_test]") {
  const Settings settings = ParseSettings(kMinimalSettings, "f.toml");
  CHECK(settings.policy == "slots");
  CHECK(settings.callers.port == 7001);
  CHECK(settings.limits.header_timeout == 10s);
  REQUIRE(settings.configuration);
  CHECK(settings.configuration->services.empty());
  std::set<std::string> keys;
  for (const SettingInfo& info : AllSettings()) {
    INFO(info.key);
    CHECK(keys.insert(info.key).second);
    CHECK_FALSE(info.accepted.empty());
    CHECK(info.description.ends_with("."));
  }
  CHECK(keys.size() > 50);
}

TEST_CASE("all errors of a file are reported with their lines", "[settings_test]") {
  const std::vector<std::string> errors = ErrorsIn(R"([gateway]
id = "g"
policy = "random"
grace_ms = -1
colour = "blue"
[callers]
address = "localhost"
port = 70000
[peers]
shared_key = "short"
[limits]
body_bytes = "many"
[[profiles]]
id = "p"
retry_budget = 1.5
[[services]]
id = "s"
profile = "q"
[[services.endpoints]]
id = "e"
zone = "y"
address = "10.0.0.1"
port = 0
[extra]
)");
  const std::pair<const char*, const char*> expected[] = {
      {"f.toml:1: ", "'gateway.zone' is missing"},
      {"f.toml:3: ", "accepted: one of slots, pooled"},
      {"f.toml:4: ", "from 0 to 600000, in ms"},
      {"f.toml:5: ", "unknown key 'gateway.colour'; accepted: id, zone"},
      {"f.toml:7: ", "accepted: an IP address"},
      {"f.toml:8: ", "from 0 to 65535"},
      {"f.toml:10: ", "at least 16 characters"},
      {"f.toml:12: ", "'limits.body_bytes' has an invalid value"},
      {"f.toml:15: ", "a number from 0 to 1"},
      {"f.toml:16: ", "unknown profile 'q'; accepted: one of p"},
      {"f.toml:19: ", "unknown zone 'y'"},
      {"f.toml:23: ", "from 1 to 65535"},
      {"f.toml:24: ", "unknown key 'extra'"}};
  REQUIRE(errors.size() == std::size(expected));
  for (size_t i = 0; i < errors.size(); ++i) {
    INFO(errors[i]);
    CHECK(errors[i].starts_with(expected[i].first));
    CHECK(errors[i].find(expected[i].second) != std::string::npos);
  }
}

TEST_CASE("contradictions between settings are errors", "[settings_test]") {
  const std::string cases[][2] = {
      {"[platform]\naddress = \"10.0.0.1\"\nport = 80\n[[zones]]\nid = \"z\"\n",
       "'zones' is accepted only without 'platform'"},
      {"[callers]\nport = 7002\n", "port 7002 is used twice"},
      {"[[zones]]\nid = \"z\"\n[[zones]]\nid = \"z\"\n", "zone 'z' is given more than once"},
      {"[zones]\nid = \"z\"\n", "'zones' must be an array of tables"},
      {"[limits\n", "not valid TOML"},
      {"[[zones]]\nid = \"z\"\n[[profiles]]\nid = \"p\"\n[[services]]\nid = \"s\"\nprofile = "
       "\"p\"\n"
       "endpoints = [{ id = \"e\", zone = \"z\", address = \"::1\", port = 1, slots = 65 }]\n",
       "fewer connections than slots"}};
  for (const auto& [text, expected_error] : cases) {
    INFO(text);
    const std::vector<std::string> errors = ErrorsIn(kMinimalSettings + text);
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].find(expected_error) != std::string::npos);
  }
}

TEST_CASE("the commands report wrong usage and invalid files by exit code", "[settings_test]") {
  const std::string build = std::getenv("JACKDAWDECK_BUILD");
  const std::string file = build + "/settings_test.toml";
  CHECK(RunCommandLine({"check", build + "/../examples/single.toml"}) == 0);
  std::ofstream(file) << "[gateway]\n";
  CHECK(RunCommandLine({"check", file}) == 2);
  CHECK(RunCommandLine({"gateway", "--config", file}) == 2);
  std::remove(file.c_str());
  CHECK(RunCommandLine({"check", file}) == 2);
  CHECK(RunCommandLine({"check"}) == 2);
  CHECK(RunCommandLine({"gateway", "--colour", "blue"}) == 2);
  CHECK(RunCommandLine({"fly"}) == 2);
  CHECK(RunCommandLine({}) == 2);
}

}  // namespace
}  // namespace jd
