#include "cluster/node.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

namespace jd {
namespace {

const Now kStart{MonoTime(1000s), WallTime(1'700'000'000s)};

// A node with a platform. Requests to the platform's table stay unanswered until the test answers
// them.
class KeyedCallFixture {
 public:
  KeyedCallFixture() : node_(Settings()) {
    node_.Start(kStart, nullptr, &actions_);
    AnswerReads();
  }

  Node& node() { return node_; }
  NodeActions& actions() { return actions_; }

  void StartKeyedCall() {
    CallRequest request;
    request.id = CallId(1);
    request.service = ServiceId("orders");
    request.method = "POST";
    request.request_key = "k";
    actions_.clear();
    node_.OnCall(kStart, request, &actions_);
  }

  // Answers the pending table transactions as committed. Returns how many there were.
  size_t CommitTransactions() {
    const NodeActions pending = std::exchange(actions_, {});
    size_t count = 0;
    for (const NodeAction& action : pending) {
      const auto* call = std::get_if<CallTable>(&action);
      if (call != nullptr && std::holds_alternative<TableTransaction>(call->request)) {
        TableReply reply;
        reply.status = TableStatus::kDone;
        node_.OnTableReply(kStart, call->id, reply, &actions_);
        ++count;
      }
    }
    return count;
  }

 private:
  static NodeSettings Settings() {
    NodeSettings settings;
    settings.id = GatewayId("g1");
    settings.zone = ZoneId("gasabo");
    settings.incarnation = Incarnation(1);
    settings.has_platform = true;
    return settings;
  }

  void AnswerReads() {
    for (int round = 0; round < 3; ++round) {
      for (const NodeAction& action : std::exchange(actions_, {})) {
        if (const auto* call = std::get_if<CallTable>(&action)) {
          TableReply reply;
          reply.status = TableStatus::kDone;
          node_.OnTableReply(kStart, call->id, reply, &actions_);
        }
      }
    }
  }

  NodeActions actions_;
  Node node_;
};

// Guards against a request key that stays unresolved for a day although no attempt was sent. The
// claim must be removed, so that the request runs when the caller sends it again.
TEST_CASE("a call that is refused before any attempt releases its request key", "[node_test]") {
  KeyedCallFixture test;
  test.StartKeyedCall();
  REQUIRE(test.CommitTransactions() == 1);
  // The service is unknown, so the call is refused after its key has been claimed. Before the claim
  // is removed, its row is read, which is the table request that is expected here.
  const auto refused = std::find_if(
      test.actions().begin(), test.actions().end(),
      [](const NodeAction& action) { return std::holds_alternative<RefuseCall>(action); });
  REQUIRE(refused != test.actions().end());
  CHECK(std::get<RefuseCall>(*refused).refusal.verdict == Verdict::kNotRun);
  CHECK(std::any_of(test.actions().begin(), test.actions().end(), [](const NodeAction& action) {
    return std::holds_alternative<CallTable>(action);
  }));
}

// Guards against a call with a request key that is sent before the key is claimed.
TEST_CASE("a call is not sent while its request key is being claimed", "[node_test]") {
  KeyedCallFixture test;
  test.StartKeyedCall();
  CHECK(std::none_of(test.actions().begin(), test.actions().end(), [](const NodeAction& action) {
    return std::holds_alternative<SendAttempt>(action) ||
           std::holds_alternative<RefuseCall>(action);
  }));
  CHECK(test.node().calls() == 1);
}

// A node with discovery whose zone has one other gateway.
struct DiscoveredNode {
  DiscoveredNode() : node(Settings()) {
    node.Start(kStart, nullptr, &actions);
    DiscoveryUpdate update;
    update.gateways = {Gateway("g1", "gasabo"), Gateway("g2", "gasabo"), Gateway("g3", "remera"),
                       Gateway("g4", "remera"), Gateway("g5", "kicukiro")};
    node.OnDiscovery(kStart, update, &actions);
    actions.clear();
  }
  static NodeSettings Settings() {
    NodeSettings settings;
    settings.id = GatewayId("g1");
    settings.zone = ZoneId("gasabo");
    settings.incarnation = Incarnation(1);
    settings.policy = FreshLoad::kName;
    settings.peers_in_local_zone_only = true;
    return settings;
  }
  static Vm Gateway(const std::string& name, const std::string& zone) {
    return {name, VmRole::kGateway, VmState::kLive, ZoneId(zone), "10.0.0.1", 1};
  }
  void ReceiveUpdate(const TableUpdate& update) {
    actions.clear();
    node.OnPeerMessage(kStart, {update.reader, Incarnation(5), {}, update}, &actions);
  }
  // Returns the peers that get an update.
  // @param relay whether they are asked to pass it on.
  std::vector<GatewayId> UpdateReceivers(bool relay) const {
    std::vector<GatewayId> receivers;
    for (const NodeAction& action : actions) {
      const auto* send = std::get_if<SendPeerMessage>(&action);
      const auto* update =
          send == nullptr ? nullptr : std::get_if<TableUpdate>(&send->message.body);
      if (update != nullptr && update->relay == relay) {
        receivers.push_back(send->to);
      }
    }
    return receivers;
  }
  // Returns the peers that get a message of type Body.
  template <typename Body>
  std::vector<GatewayId> Receivers() const {
    std::vector<GatewayId> receivers;
    for (const NodeAction& action : actions) {
      const auto* send = std::get_if<SendPeerMessage>(&action);
      if (send != nullptr && std::holds_alternative<Body>(send->message.body)) {
        receivers.push_back(send->to);
      }
    }
    return receivers;
  }

  Node node;
  NodeActions actions;
};

TEST_CASE("a table update reaches a listed peer before its first heartbeat", "[node_test]") {
  // Guards against every gateway reading the store itself in the first seconds after all gateways
  // have started.
  DiscoveredNode f;
  f.node.OnTableRead(kStart, TableUpdate(), &f.actions);
  CHECK(f.UpdateReceivers(false) == std::vector<GatewayId>{GatewayId("g2")});
}

TEST_CASE("an update is sent to one gateway of each other zone, which passes it on",
          "[node_test]") {
  // Guards against store calls that grow with the number of zones.
  DiscoveredNode f;
  f.node.OnTableRead(kStart, TableUpdate(), &f.actions);
  CHECK(f.UpdateReceivers(true) == std::vector<GatewayId>{GatewayId("g5"), GatewayId("g3")});
  TableUpdate update;
  update.reader = GatewayId("g3");
  update.reader_zone = ZoneId("remera");
  update.relay = true;
  f.ReceiveUpdate(update);
  CHECK(f.UpdateReceivers(false) == std::vector<GatewayId>{GatewayId("g2")});
  CHECK(f.UpdateReceivers(true).empty());
  update.relay = false;
  f.ReceiveUpdate(update);
  CHECK(f.Receivers<TableUpdate>().empty());
}

TEST_CASE("a failed read is not reported to other zones", "[node_test]") {
  // Guards against gateways of a zone that reaches the store postponing their reads.
  DiscoveredNode f;
  TableUpdate update;
  update.failed = true;
  f.node.OnTableRead(kStart, update, &f.actions);
  CHECK(f.Receivers<TableUpdate>() == std::vector<GatewayId>{GatewayId("g2")});
}

TEST_CASE("a gateway that had to read the table itself becomes the contact of its zone",
          "[node_test]") {
  // Guards against a zone that stays without updates because its contact has failed.
  DiscoveredNode f;
  TableUpdate update;
  update.reader = GatewayId("g4");
  update.reader_zone = ZoneId("remera");
  f.ReceiveUpdate(update);
  f.actions.clear();
  f.node.OnTableRead(kStart, TableUpdate(), &f.actions);
  CHECK(f.UpdateReceivers(true) == std::vector<GatewayId>{GatewayId("g5"), GatewayId("g4")});
  // A contact that is no longer listed is replaced.
  DiscoveryUpdate list;
  list.gateways = {DiscoveredNode::Gateway("g1", "gasabo"),
                   DiscoveredNode::Gateway("g3", "remera")};
  f.node.OnDiscovery(kStart, list, &f.actions);
  f.actions.clear();
  f.node.OnTableRead(kStart, TableUpdate(), &f.actions);
  CHECK(f.UpdateReceivers(true) == std::vector<GatewayId>{GatewayId("g3")});
}

TEST_CASE("a peer's request for the tables is passed to the discovery", "[node_test]") {
  DiscoveredNode f;
  f.node.RequestTables(kStart, GatewayId("g2"), TableFetch{}, &f.actions);
  CHECK(f.Receivers<TableFetch>() == std::vector<GatewayId>{GatewayId("g2")});
  f.actions.clear();
  f.node.OnPeerMessage(kStart, {GatewayId("g2"), Incarnation(5), {}, TableFetch{true}}, &f.actions);
  REQUIRE(f.actions.size() == 1);
  const auto* serve = std::get_if<ServeTableFetch>(&f.actions.front());
  REQUIRE(serve != nullptr);
  CHECK(serve->from == GatewayId("g2"));
  CHECK(serve->fetch.list_only);
}

TEST_CASE("a gateway that knows no list asks a peer that it hears", "[node_test]") {
  // Guards against a restarted gateway that answers 503 for as long as the store turns it away.
  Node node(DiscoveredNode::Settings());
  NodeActions actions;
  node.Start(kStart, nullptr, &actions);
  actions.clear();
  node.RequestTables(kStart, std::nullopt, TableFetch{}, &actions);
  CHECK(actions.empty());
  Heartbeat heartbeat;
  heartbeat.zone = ZoneId("gasabo");
  heartbeat.address = "10.0.0.2";
  heartbeat.peer_port = 1;
  heartbeat.ready = true;
  node.OnPeerMessage(kStart, {GatewayId("g2"), Incarnation(5), {}, heartbeat}, &actions);
  actions.clear();
  node.RequestTables(kStart, std::nullopt, TableFetch{}, &actions);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<SendPeerMessage>(actions.front()).to == GatewayId("g2"));
}

}  // namespace
}  // namespace jd
