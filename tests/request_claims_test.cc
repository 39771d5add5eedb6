#include "cluster/request_claims.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "tests/table_link.h"

namespace jd {
namespace {

const std::string kKey = RequestClaims::RowKey(ServiceId("s"), WorkspaceId("w"), "k");

Now At(int64_t millis) {
  return {MonoTime(std::chrono::milliseconds(millis)), WallTime(std::chrono::milliseconds(millis))};
}

/// Executes the table calls and those that follow from their replies, and returns the answers.
std::vector<ClaimAnswer> RunTableCalls(RequestClaims* claims,
                                       FakeTable* table,
                                       ClaimOutput output) {
  while (!output.calls.empty()) {
    for (const TableCall& call : std::exchange(output.calls, {})) {
      claims->OnTableReply(At(1), call.token, table->HandleRequest(call.request), &output);
    }
  }
  return output.answers;
}

ClaimDecision ClaimKey(RequestClaims* claims,
                       FakeTable* table,
                       uint64_t call,
                       uint64_t fingerprint) {
  ClaimOutput output;
  claims->Claim(At(0), CallId(call), kKey, Fingerprint(fingerprint), At(10000).mono, &output);
  return RunTableCalls(claims, table, output).at(0).decision;
}

TEST_CASE("a resent request gets the stored response or 409, or runs if it has not run before",
          "[request_claims_test]") {
  FakeTable table;
  RequestClaims a(GatewayId("a"), Incarnation(1));
  RequestClaims b(GatewayId("b"), Incarnation(1));
  CHECK(ClaimKey(&a, &table, 1, 7) == ClaimDecision::kRun);
  CHECK(ClaimKey(&b, &table, 1, 7) == ClaimDecision::kUnresolved);
  CHECK(ClaimKey(&b, &table, 2, 8) == ClaimDecision::kOtherRequest);
  ClaimOutput output;
  a.Finish(At(1), CallId(1), {Verdict::kNotRun, 0, "", ""}, &output);
  RunTableCalls(&a, &table, output);
  CHECK(table.rows.empty());
  CHECK(ClaimKey(&b, &table, 3, 7) == ClaimDecision::kRun);
  output = {};
  const std::string body("\x00\xff{}", 4);
  b.Finish(At(1), CallId(3), {Verdict::kRan, 201, "application/json", body}, &output);
  RunTableCalls(&b, &table, output);
  output = {};
  a.Claim(At(0), CallId(9), kKey, Fingerprint(7), At(10000).mono, &output);
  const std::vector<ClaimAnswer> answers = RunTableCalls(&a, &table, output);
  REQUIRE(answers.at(0).decision == ClaimDecision::kReplay);
  CHECK(answers[0].stored.body == body);
  CHECK(answers[0].stored.status == 201);
  CHECK(ClaimKey(&a, &table, 10, 8) == ClaimDecision::kOtherRequest);
}

// Guards against a request key that crashes the gateway, because JSON cannot represent every byte.
TEST_CASE("request keys of any bytes have distinct row keys", "[request_claims_test]") {
  CHECK(rc::check([](const std::string& first, const std::string& second) {
    const auto key = [](const std::string& workspace, const std::string& text) {
      return RequestClaims::RowKey(ServiceId("s"), WorkspaceId(workspace), text);
    };
    RC_ASSERT((key(first, second) == key(second, first)) == (first == second));
    RC_ASSERT((key("w", first) == key("w", second)) == (first == second));
    const std::string row = key(first, second);
    RC_ASSERT(std::all_of(row.begin(), row.end(), [](char c) { return c > ' ' && c < 127; }));
  }));
  CHECK(RequestClaims::RowKey(ServiceId("s"), WorkspaceId("w"), "a-1") ==
        std::string(kClaimPrefix) + "1.1/s/w/a-1");
  CHECK(RequestClaims::RowKey(ServiceId("s"), WorkspaceId("w"), "\xff%") ==
        std::string(kClaimPrefix) + "1.1/s/w/%ff%25");
}

// Guards against callers that wait too long for a slow store, and against a late reply that starts
// a call that was refused.
TEST_CASE("a claim that takes too long is refused and removed", "[request_claims_test]") {
  FakeTable table;
  RequestClaims claims(GatewayId("a"), Incarnation(1));
  ClaimOutput output;
  claims.Claim(At(0), CallId(1), kKey, Fingerprint(7), At(400).mono, &output);
  REQUIRE(claims.next_timer() == At(200).mono);
  const TableCall insert = output.calls.at(0);
  claims.OnTimer(At(200), &output);
  REQUIRE(output.answers.size() == 1);
  CHECK(output.answers[0].decision == ClaimDecision::kStoreDown);
  const TableReply late = table.HandleRequest(insert.request);
  claims.OnTableReply(At(250), insert.token, late, &output);
  CHECK(output.answers.size() == 1);
  claims.OnTableReply(At(260), output.calls.back().token,
                      table.HandleRequest(output.calls.back().request), &output);
  claims.OnTableReply(At(270), output.calls.back().token,
                      table.HandleRequest(output.calls.back().request), &output);
  CHECK(table.rows.empty());
  CHECK(claims.pending() == 0);
}

// Guards against a request with a key that runs twice, or that ran although it was refused.
TEST_CASE("a request with a key runs at most once despite resends, losses and crashes",
          "[request_claims_test]") {
  uint64_t ran = 0;
  uint64_t replayed = 0;
  CHECK(rc::check([&] {
    TableLink link(*rc::gen::arbitrary<uint64_t>());
    link.loss_tenths = *rc::gen::inRange<uint64_t>(0, 4);
    std::vector<std::unique_ptr<RequestClaims>> gateways(3);
    std::vector<int> starts(3, 0);
    int64_t now = 0;
    uint64_t executions = 0;
    uint64_t next_call = 1;
    std::vector<std::pair<size_t, CallId>> running;
    std::function<void(size_t, const ClaimOutput&)> handle_output = [&](size_t g,
                                                                        const ClaimOutput& output) {
      for (const ClaimAnswer& answer : output.answers) {
        if (answer.decision == ClaimDecision::kRun) {
          running.emplace_back(g, answer.call);
        }
        replayed += answer.decision == ClaimDecision::kReplay ? 1 : 0;
      }
      for (const TableCall& call : output.calls) {
        link.Send(call, [&, g, start = starts[g], token = call.token](const TableReply& reply) {
          ClaimOutput next;
          if (start == starts[g]) {
            gateways[g]->OnTableReply(At(now), token, reply, &next);
            handle_output(g, next);
          }
        });
      }
    };
    for (int step = 0; step < 400; ++step) {
      now += static_cast<int64_t>(link.random() % 40);
      const size_t g = link.random() % 3;
      ClaimOutput output;
      const uint64_t choice = link.random() % 20;
      if (!gateways[g] || choice == 0) {
        // A crash ends the gateway's calls, but an attempt that was sent may still run upstream.
        gateways[g] = std::make_unique<RequestClaims>(
            GatewayId(std::to_string(g)), Incarnation(static_cast<uint64_t>(++starts[g])));
        std::erase_if(running, [&](const auto& call) {
          const bool lost = call.first == g;
          executions += lost && link.random() % 2 == 0 ? 1 : 0;
          return lost;
        });
      } else if (choice < 6) {
        gateways[g]->Claim(At(now), CallId(next_call++), kKey, Fingerprint(7), At(now + 5000).mono,
                           &output);
      } else if (choice < 9 && !running.empty()) {
        const auto [holder, call] = running.back();
        running.pop_back();
        const bool not_run = link.random() % 2 == 0;
        executions += not_run ? 0 : 1;
        const Verdict verdict = not_run                  ? Verdict::kNotRun
                                : link.random() % 2 == 0 ? Verdict::kRan
                                                         : Verdict::kMayHaveRun;
        ClaimOutput finished;
        gateways[holder]->Finish(At(now), call, {verdict, 200, "", "x"}, &finished);
        handle_output(holder, finished);
      } else {
        gateways[g]->OnTimer(At(now), &output);
      }
      link.table.down = link.random() % 15 == 0;
      handle_output(g, output);
      link.Step();
      RC_ASSERT(executions <= 1U);
    }
    ran += executions;
  }));
  CHECK(ran > 20);
  CHECK(replayed > 20);
}

}  // namespace
}  // namespace jd
