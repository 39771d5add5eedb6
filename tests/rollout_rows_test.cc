#include "platform/rollout_rows.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "cluster/version_evidence.h"
#include "platform/operator_rows.h"
#include "rpc/convert.h"
#include "rpc/frame.h"
#include "rpc/rollout_messages.h"
#include "standin/row_store.h"

namespace jd {
namespace {

using nlohmann::json;

std::optional<RolloutOrderRow> Parse(const std::string& value) {
  std::string error_message;
  const auto parsed =
      ParseRolloutOrder(ServiceId("ledger"), value, RowVersion(7), StoreEra(3), &error_message);
  CHECK(parsed.has_value() == error_message.empty());
  return parsed;
}

TEST_CASE("the row of an order names service, version and duration", "[rollout_rows_test]") {
  CHECK(ParseRolloutKey("rollout/ledger") == ServiceId("ledger"));
  CHECK_FALSE(ParseRolloutKey("rollout/"));
  CHECK_FALSE(ParseRolloutKey("evacuate/z"));
  const auto text = Parse(R"({"service":"ledger","to":"v2","duration_s":40})");
  REQUIRE(text);
  CHECK(text->order ==
        RolloutOrder{ServiceId("ledger"), SoftwareVersion("v2"), 40s, RowVersion(7), StoreEra(3)});
  const auto number = Parse(R"({"service":"ledger","to":12,"duration_s":0.5})");
  REQUIRE(number);
  CHECK(number->order.to == SoftwareVersion("12"));
  CHECK(number->version_json == "12");
  for (const std::string invalid :
       {"", "[]", "{", R"({"to":"v2"})", R"({"to":"","duration_s":4})", R"({"duration_s":4})",
        R"({"to":"v2","duration_s":0})", R"({"to":"v2","duration_s":"4"})",
        R"({"to":{},"duration_s":4})", R"({"to":"v2","duration_s":1e300})"}) {
    INFO(invalid);
    CHECK_FALSE(Parse(invalid));
  }
}

TEST_CASE("the row of an endpoint names its version", "[rollout_rows_test]") {
  const std::string begin =
      R"({"service":"s1","address":"10.1.2.3:8080","zone":"z1","slots":4,"state":"ready")";
  std::string error_message;
  const auto version = [&](const std::string& field) {
    return ParseEndpointRow("i-1", begin + field + "}", &error_message)->endpoint.version;
  };
  CHECK(version(R"(,"config_version":"v1")") == SoftwareVersion("v1"));
  CHECK(version(R"(,"config_version":4)") == SoftwareVersion("4"));
  CHECK(version(R"(,"config_version":{})") == SoftwareVersion());
  CHECK(version("") == SoftwareVersion());
}

// Sends a write to a store as the platform's client does.
RolloutWriteResult Write(RowStore* store, const RolloutStatusWrite& write) {
  RowRequest request;
  const HttpCall call = BuildStatusWrite(write, R"("v2")");
  request.path = call.target;
  request.body = call.body;
  const auto reply = store->Handle(MonoTime() + 1s, request, Duration(0));
  REQUIRE(reply);
  HttpReply response;
  response.status = reply->status;
  response.body = reply->body.dump();
  return ParseStatusWriteReply(write, response);
}

TEST_CASE("a status row is written only on the version that the writer knows",
          "[rollout_rows_test]") {
  // Guards against two gateways that write different final states.
  RowStore store;
  const RolloutId id{ServiceId("ledger"), SoftwareVersion("v2"), RowVersion(1)};
  const RolloutWriteResult first = Write(&store, {id, RolloutState::kRunning, RowVersion()});
  CHECK(first.outcome == RolloutWriteOutcome::kWritten);
  CHECK(first.row.version > RowVersion());
  const RolloutWriteResult late = Write(&store, {id, RolloutState::kCompleted, RowVersion()});
  CHECK(late.outcome == RolloutWriteOutcome::kConflict);
  CHECK(late.row.to == SoftwareVersion("v2"));
  CHECK(late.row.state == RolloutState::kRunning);
  CHECK(late.row.version == first.row.version);
  CHECK(Write(&store, {id, RolloutState::kReverted, late.row.version}).outcome ==
        RolloutWriteOutcome::kWritten);
}

TEST_CASE("a write without a reply has failed", "[rollout_rows_test]") {
  HttpReply reply;
  const int status = GENERATE(0, 429, 503);
  reply.status = status;
  CHECK(ParseStatusWriteReply({}, reply).outcome == RolloutWriteOutcome::kFailed);
}

TEST_CASE("messages about roll-outs survive the wire", "[rollout_rows_test]") {
  VersionEvidence evidence;
  evidence.rollout = {ServiceId("s"), SoftwareVersion("v"), RowVersion(9)};
  evidence.zone_sum = true;
  evidence.zone = ZoneId("z");
  evidence.age = 3s;
  evidence.phase = RolloutPhase::kProved;
  evidence.bad = true;
  evidence.gateways_on_old = 4;
  evidence.counts.routes[ProfileId("r")] = {{1, 2, 3}, {4, 5, 6}, 7ms};
  evidence.counts.endpoints[EndpointId("e")] = {4, 5, 6};
  evidence.counts.endpoints_used = 8;
  wire::VersionEvidence sent = VersionEvidenceToWire(evidence);
  const VersionEvidence received = VersionEvidenceFromWire(sent);
  CHECK(received.rollout == evidence.rollout);
  CHECK(received.age == evidence.age);
  CHECK(received.phase == evidence.phase);
  CHECK(received.gateways_on_old == 4);
  CHECK(received.counts == evidence.counts);
  sent.routes[0].new_side.calls = -1;
  CHECK_THROWS(VersionEvidenceFromWire(sent));
  sent.routes.clear();
  sent.phase = 9;
  CHECK_THROWS(VersionEvidenceFromWire(sent));
  const RolloutNotice notice{evidence.rollout, RolloutState::kReverted, RowVersion(5)};
  CHECK(RolloutNoticeFromWire(RolloutNoticeToWire(notice)).status_row == RowVersion(5));
}

// Returns the bytes of a message about three routes.
size_t FrameSize(int endpoints) {
  VersionEvidence evidence;
  evidence.rollout = {ServiceId("ledger"), SoftwareVersion("v12"), RowVersion(123'456)};
  evidence.zone = ZoneId("nyarugenge");
  evidence.age = 40s;
  for (int i = 0; i < 3; ++i) {
    evidence.counts.routes[ProfileId("route-" + std::to_string(i))] = {
        {20'000, 40, 600}, {1'000, 10, 30}, 2000s};
  }
  for (int i = 0; i < endpoints; ++i) {
    evidence.counts.endpoints[EndpointId("i-7f3a" + std::to_string(1000 + i))] = {40, 3, 1};
  }
  KeepWorstEndpoints(&evidence.counts);
  RowPacker packer;
  const PeerMessage message{GatewayId("edge-nyarugenge-12"), Incarnation(1'700'000'000'000'000),
                            HybridTime(), evidence};
  return EncodeFrame(ToEnvelope(message, std::string(), &packer)).size();
}

TEST_CASE("messages about roll-outs stay short", "[rollout_rows_test]") {
  // Guards against sums that grow with the number of endpoints.
  CHECK(FrameSize(5) <= 350);
  CHECK(FrameSize(300) <= 800);
  CHECK(FrameSize(300) == FrameSize(600));
}

}  // namespace
}  // namespace jd
