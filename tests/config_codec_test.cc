#include "common/config_codec.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "common/config_entry.h"

namespace jd {
namespace {

constexpr const char* kProfile = R"({"id": "orders", "idempotent_methods": ["GET"],
  "idempotent_paths": ["/search/"], "deadline_ms": 1500.5, "max_attempts": 2, "hedge": true,
  "hedge_after_ms": 40, "retry_budget": 0.2, "request_key_header": "x-request-key",
  "priority": "high", "max_queue": 64})";
constexpr const char* kService = R"({"id": "records", "profile": "orders", "endpoints": [
  {"id": "records/1", "zone": "gasabo", "address": "127.0.0.1", "port": 9001, "slots": 4,
   "max_connections": 260}], "shares": [{"workspace": "umurimo", "share": 2}],
  "probe_share": 0.01, "probe_cost_ms": 6, "connect_cost_ms": 1, "health_path": "/healthz"})";

Configuration ExampleConfiguration() {
  Configuration configuration;
  ConfigErrors errors;
  configuration = WithChange(configuration, Workspace{WorkspaceId("umurimo"), 1.5});
  configuration = WithChange(configuration, *ProfileFromJson(kProfile, &errors));
  configuration = WithChange(configuration, *ServiceFromJson(kService, &errors));
  return WithChange(configuration, Zone{ZoneId("gasabo"), ZoneState::kOut});
}

// Guards against a field that is written but not read, or read but not written.
TEST_CASE("example profile, service and configuration survive a round trip",
          "[config_codec_test]") {
  ConfigErrors errors;
  const auto profile = ProfileFromJson(kProfile, &errors);
  const auto service = ServiceFromJson(kService, &errors);
  REQUIRE(errors.empty());
  CHECK(profile->deadline == 1500500us);
  CHECK(profile->priority == Priority::kHigh);
  CHECK(service->endpoints[0].max_connections == 260);
  CHECK(ProfileFromJson(ToJson(*profile), &errors) == profile);
  CHECK(ServiceFromJson(ToJson(*service), &errors) == service);
  const Configuration base = ExampleConfiguration();
  CHECK(ConfigurationFromJson(ToJson(base), &errors) == base);
  for (const ConfigChange& change : {ConfigChange(*profile), ConfigChange(*service),
                                     ConfigChange(Workspace{WorkspaceId("w"), 2}),
                                     ConfigChange(Zone{ZoneId("z"), ZoneState::kReturning}),
                                     ConfigChange(Removal{{ObjectKind::kZone, "z"}})}) {
    CHECK(ChangeFromJson(ToJson(change), &errors) == change);
  }
  CHECK(errors.empty());
}

TEST_CASE("numbers and intervals of a profile survive a round trip exactly",
          "[config_codec_test]") {
  CHECK(rc::check([] {
    Profile profile;
    profile.id = ProfileId("p");
    profile.deadline = Duration(*rc::gen::inRange<int64_t>(1000, 600000000));
    profile.hedge_after = Duration(*rc::gen::inRange<int64_t>(100, 600000000));
    profile.retry_budget = *rc::gen::inRange(0, 1 << 20) / static_cast<double>((1 << 20) + 1);
    profile.max_queue = *rc::gen::inRange(0, 1000001);
    ConfigErrors errors;
    RC_ASSERT(ProfileFromJson(ToJson(profile), &errors) == profile);
  }));
}

// Guards against a parser that stops at the first error, so that an operator finds the errors one
// by one.
TEST_CASE("every error is reported with its path, the problem and the accepted values",
          "[config_codec_test]") {
  ConfigErrors errors;
  CHECK_FALSE(ChangeFromJson(R"({"change": "put-service", "extra": 1, "service": {"id": "a b",
    "endpoints": [{"id": "e", "zone": "z", "address": "host", "port": 0, "slots": "4"},
                  {"id": "e", "zone": "z", "address": "::1", "port": 80}],
    "probe_share": 0.2, "probe_cost_ms": null, "helth_path": "/"}})",
                             &errors));
  std::vector<std::string> paths;
  for (const ConfigError& error : errors) {
    paths.push_back(error.path);
    CHECK_FALSE(error.problem.empty());
    CHECK_FALSE(error.accepted.empty());
  }
  CHECK(paths == std::vector<std::string>{"extra", "service.id", "service.profile",
                                          "service.endpoints[0].port", "service.endpoints[0].slots",
                                          "service.probe_share", "service.probe_cost_ms",
                                          "service.helth_path", "service.endpoints[0].address",
                                          "service.endpoints[1].id"});
  CHECK(ErrorText({errors[3]}) ==
        "service.endpoints[0].port: is 0; accepted: a whole number from 1 to 65535");
  for (const char* text : {"", "[]", "3", "{\"change\": 1}", "{\"change\": \"remove\"}"}) {
    errors.clear();
    CHECK_FALSE(ChangeFromJson(text, &errors));
    CHECK(errors.size() == 1);
  }
}

// Guards against a configuration that refers to objects that do not exist.
TEST_CASE("a change is checked against the configuration", "[config_codec_test]") {
  const Configuration base = ExampleConfiguration();
  Service service = base.services.at(ServiceId("records"));
  CHECK(CheckChange(base, service).empty());
  service.id = ServiceId("other");
  service.profile = ProfileId("none");
  service.shares.push_back({WorkspaceId("nobody"), 1});
  const ConfigErrors errors = CheckChange(base, service);
  REQUIRE(errors.size() == 3);
  CHECK(errors[0].path == "service.profile");
  CHECK(errors[1].path == "service.shares[1].workspace");
  CHECK(errors[2].path == "service.endpoints[0].id");
  CHECK(CheckChange(base, Removal{{ObjectKind::kProfile, "orders"}}).size() == 1);
  CHECK(CheckChange(base, Removal{{ObjectKind::kWorkspace, "umurimo"}}).size() == 1);
  CHECK(CheckChange(base, Removal{{ObjectKind::kZone, "absent"}}).size() == 1);
  CHECK(CheckChange(base, Removal{{ObjectKind::kService, "records"}}).empty());
}

// Guards against skipped entries and entries that are applied twice.
TEST_CASE("entries apply in sequence only and can be undone", "[config_codec_test]") {
  const Configuration base = ExampleConfiguration();
  ConfigEntry entry{ConfigVersion(5), ToJson(ConfigChange(Removal{{ObjectKind::kZone, "gasabo"}})),
                    "n", "alice", WallFromMicros(7)};
  const Configuration next = ApplyEntry(base, entry);
  CHECK(next.version == ConfigVersion(5));
  CHECK(next.zones.empty());
  CHECK(next.object_versions.at("zone/gasabo") == ConfigVersion(5));
  CHECK_THROWS_AS(ApplyEntry(next, entry), ConfigException);
  entry.version = ConfigVersion(7);
  CHECK_THROWS_AS(ApplyEntry(next, entry), ConfigException);
  entry = {ConfigVersion(6), "{}", "n", "alice", WallFromMicros(7)};
  CHECK_THROWS_AS(ApplyEntry(next, entry), ConfigException);
  const Configuration undone =
      WithChange(next, ChangeToRestore(base, {ObjectKind::kZone, "gasabo"}));
  CHECK(undone.zones == base.zones);
  CHECK(Diff(base, undone).empty());
  ConfigErrors errors;
  CHECK(EntryFromLogRow(entry.version, ToLogRow(entry, ConfigVersion(4)), &errors) == entry);
}

TEST_CASE("a diff shows objects, fields and values", "[config_codec_test]") {
  const Configuration base = ExampleConfiguration();
  Configuration next = base;
  next.profiles.at(ProfileId("orders")).max_attempts = 3;
  next.services.at(ServiceId("records")).endpoints[0].slots = 5;
  next.zones.clear();
  next.workspaces[WorkspaceId("brillwerk")] = {WorkspaceId("brillwerk"), 1};
  CHECK(Diff(base, next) ==
        std::vector<std::string>{"~ profile/orders max_attempts: 2 -> 3",
                                 "~ service/records endpoints[records/1].slots: 4 -> 5",
                                 "- zone/gasabo id: \"gasabo\"", "- zone/gasabo state: \"out\"",
                                 "+ workspace/brillwerk id: \"brillwerk\"",
                                 "+ workspace/brillwerk share: 1.0"});
}

}  // namespace
}  // namespace jd
