#include "cluster/node.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

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

}  // namespace
}  // namespace jd
