#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "cluster/node.h"

namespace jd {
namespace {

// A node without a platform. Its configuration has one profile and one service with one endpoint.
struct Fixture {
  Fixture() : node(Settings()) {
    Configuration configuration;
    configuration.profiles[ProfileId("p")].id = ProfileId("p");
    Service service;
    service.id = ServiceId("s");
    service.profile = ProfileId("p");
    service.endpoints = {{EndpointId("e"), ZoneId("z"), "127.0.0.1", 1, 1, 1}};
    configuration.services[service.id] = service;
    NodeActions actions;
    node.Start(Now(), std::make_shared<const Configuration>(configuration), &actions);
  }
  static NodeSettings Settings() {
    NodeSettings settings;
    settings.id = GatewayId("g");
    settings.zone = ZoneId("z");
    settings.policy = "slots";
    settings.seed = 1;
    return settings;
  }
  OperatorReply RunCommand(const std::string& command, const nlohmann::json& body) {
    NodeActions actions;
    node.OnOperatorRequest(Now(), {7, command, body.dump(), 1s}, &actions);
    for (const NodeAction& action : actions) {
      if (const auto* reply = std::get_if<SendOperatorReply>(&action)) {
        return reply->reply;
      }
    }
    FAIL("no reply");
    return {};
  }

  Node node;
};

TEST_CASE("objects are listed and shown by name", "[node_operator_test]") {
  // Guards against the command 'profile show' not finding an existing profile.
  Fixture f;
  const OperatorReply shown = f.RunCommand("show", {{"kind", "profile"}, {"name", "p"}});
  REQUIRE(shown.status == OperatorStatus::kDone);
  CHECK(nlohmann::json::parse(shown.body).at("deadline_ms") == 2000.0);
  const OperatorReply listed = f.RunCommand("list", {{"kind", "service"}});
  CHECK(nlohmann::json::parse(listed.body).at("s").at("profile") == "p");
  CHECK(f.RunCommand("show", {{"kind", "profile"}, {"name", "q"}}).status ==
        OperatorStatus::kRefused);
}

TEST_CASE("a command for a zone without endpoints is refused with the zone's name",
          "[node_operator_test]") {
  // Guards against a mistyped zone name that is answered with 'done' although no zone is taken out
  // of service.
  Fixture f;
  const OperatorReply typo = f.RunCommand("zone", {{"zone", "y"}, {"out", true}});
  CHECK(typo.status == OperatorStatus::kRefused);
  CHECK(typo.body.find("no endpoint is in a zone named 'y'") != std::string::npos);
  // A command for the known zone is refused for another reason: without a platform the change
  // cannot be recorded.
  const OperatorReply known = f.RunCommand("zone", {{"zone", "z"}, {"out", true}});
  CHECK(known.body.find("takes its configuration from its settings file") != std::string::npos);
}

}  // namespace
}  // namespace jd
