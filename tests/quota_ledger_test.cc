#include "policy/quota_ledger.h"

#include <catch2/catch.hpp>
#include <vector>

namespace jd {
namespace {

const WorkspaceId kWorkspace("hue-chess");

struct Fixture {
  QuotaAdmission Call() { return ledger.Admit(now, kWorkspace, CallId(++calls), &retry_after); }
  // Lets the time pass, with the timers that are due.
  std::vector<WorkspaceId> Pass(Duration time) {
    now += time;
    decisions.clear();
    return ledger.OnTimer(now, &decisions);
  }
  // Returns the demand for the workspace, or an empty one if there is none.
  QuotaDemand Demand() {
    const std::vector<QuotaDemand> demands = ledger.TakeDemands(now);
    return demands.empty() ? QuotaDemand() : demands.at(0);
  }
  void Reply(int32_t needed, int32_t granted, Duration retry = 100ms) {
    decisions.clear();
    ledger.OnLease(now, now, {kWorkspace, needed, granted, retry}, &decisions);
  }

  MonoTime now = MonoTime() + 100s;
  QuotaLedger ledger;
  uint64_t calls = 0;
  Duration retry_after{0};
  std::vector<QuotaLedger::Decision> decisions;
};

TEST_CASE("a call waits for the token that is requested for it", "[quota_ledger_test]") {
  Fixture f;
  CHECK(f.Call() == QuotaAdmission::kWaiting);
  CHECK(f.Call() == QuotaAdmission::kWaiting);
  CHECK(f.Demand().needed == 2);
  CHECK(f.Demand().needed == 0);
  f.Reply(2, 1);
  REQUIRE(f.decisions.size() == 2);
  CHECK(f.decisions[0].call == CallId(1));
  CHECK(f.decisions[0].admitted);
  CHECK_FALSE(f.decisions[1].admitted);
  CHECK(f.decisions[1].retry_after == 100ms);
  CHECK(f.ledger.counts().calls_refused == 1);
  CHECK(f.ledger.counts().tokens_granted == 1);
}

TEST_CASE("a reply refuses no call that was not part of its request", "[quota_ledger_test]") {
  // Guards against the refusal of a call that arrived after the request and may get a token.
  Fixture f;
  f.Call();
  f.Demand();
  f.Call();
  f.Reply(1, 0);
  REQUIRE(f.decisions.size() == 1);
  CHECK(f.decisions[0].call == CallId(1));
  CHECK(f.Demand().needed == 1);
}

TEST_CASE("after a refusal calls are refused at once for a short time", "[quota_ledger_test]") {
  // Guards against a request to the issuer for each call of a workspace far over its quota.
  Fixture f;
  f.Call();
  f.Demand();
  f.Reply(1, 0, 400ms);
  CHECK(f.Call() == QuotaAdmission::kRefused);
  CHECK(f.retry_after == 400ms);
  CHECK(f.Demand() == QuotaDemand());
  f.Pass(QuotaLedger::kMaxLocalRefusal);
  CHECK(f.Call() == QuotaAdmission::kWaiting);
}

TEST_CASE("a token is not used after its lifetime and goes back", "[quota_ledger_test]") {
  // Guards against tokens that a paused gateway spends in a later window.
  Fixture f;
  f.Call();
  f.Demand();
  f.Reply(1, 3);
  CHECK(f.Call() == QuotaAdmission::kAdmitted);
  f.now += QuotaLedger::kLeaseLifetime;
  CHECK(f.Call() == QuotaAdmission::kWaiting);
  CHECK(f.Demand().returned == 1);
}

TEST_CASE("a late grant is not used", "[quota_ledger_test]") {
  // Guards against the grants of an issuer that was paused, or that reach a paused gateway.
  Fixture f;
  f.Call();
  f.Demand();
  const MonoTime sent = f.now;
  f.now += QuotaLedger::kLeaseLifetime + 1ms;
  f.decisions.clear();
  f.ledger.OnLease(f.now, sent, {kWorkspace, 1, 1, 0ms}, &f.decisions);
  for (const QuotaLedger::Decision& decision : f.decisions) {
    CHECK_FALSE(decision.admitted);
  }
}

TEST_CASE("odd numbers in a grant give no lasting token", "[quota_ledger_test]") {
  // Guards against tokens without expiry from a grant that names a send time in the future.
  Fixture f;
  f.Call();
  f.Demand();
  f.decisions.clear();
  f.ledger.OnLease(f.now, MonoTime::max(), {kWorkspace, 1, 5, Duration::max()}, &f.decisions);
  CHECK(f.Call() == QuotaAdmission::kAdmitted);
  f.now += QuotaLedger::kLeaseLifetime;
  CHECK(f.Call() == QuotaAdmission::kWaiting);
  f.Demand();
  f.Reply(1, 0, Duration::max());
  REQUIRE(f.decisions.size() == 1);
  CHECK(f.decisions[0].retry_after <= QuotaLedger::kMaxRetryAfter);
}

TEST_CASE("a call without a reply is asked for once more and then refused", "[quota_ledger_test]") {
  // Guards against calls that wait for an issuer that is down until their deadline.
  Fixture f;
  f.Call();
  f.Demand();
  CHECK(f.Pass(QuotaLedger::kReplyTimeout - 1ms).empty());
  CHECK(f.Pass(1ms) == std::vector<WorkspaceId>{kWorkspace});
  CHECK(f.decisions.empty());
  CHECK(f.Demand().needed == 1);
  f.Pass(QuotaLedger::kReplyTimeout);
  REQUIRE(f.decisions.size() == 1);
  CHECK_FALSE(f.decisions[0].admitted);
  CHECK(f.decisions[0].retry_after == QuotaLedger::kUnansweredRetryAfter);
  CHECK(f.ledger.counts().unanswered == 2);
}

TEST_CASE("a call that is refused for a moment asks again", "[quota_ledger_test]") {
  // Guards against the refusal of a call while its issuer borrows from another zone.
  Fixture f;
  f.Call();
  f.Demand();
  f.Reply(1, 0, 10ms);
  CHECK(f.decisions.empty());
  CHECK(f.Demand().needed == 0);
  CHECK(f.ledger.next_timer() == f.now + 10ms);
  f.Pass(10ms);
  CHECK(f.Demand().needed == 1);
  f.Reply(1, 0, 10ms);
  REQUIRE(f.decisions.size() == 1);
  CHECK_FALSE(f.decisions[0].admitted);
}

TEST_CASE("unused tokens and attempts without a token are reported", "[quota_ledger_test]") {
  // Guards against retries and hedges that do not count against the quota.
  Fixture f;
  f.Call();
  f.Demand();
  f.Reply(1, 1);
  f.ledger.Charge(f.now, kWorkspace);
  f.ledger.Charge(f.now, kWorkspace);
  CHECK(f.Demand() == QuotaDemand());
  f.Pass(100ms);
  CHECK(f.Demand().returned == -2);
  f.ledger.Refund(f.now, kWorkspace);
  f.Call();
  CHECK(f.Demand().returned == 1);
}

TEST_CASE("a gateway with many calls requests tokens ahead", "[quota_ledger_test]") {
  // Guards against a wait for each call where a workspace has most of its callers.
  Fixture f;
  int waited = 0;
  for (int i = 0; i < 400; ++i) {
    f.Pass(5ms);
    waited += f.Call() == QuotaAdmission::kWaiting ? 1 : 0;
    const QuotaDemand demand = f.Demand();
    f.Reply(demand.needed, demand.needed + demand.ahead);
  }
  CHECK(waited < 40);
  f.Pass(QuotaLedger::kLeaseLifetime);
  f.Pass(200ms);
  CHECK(f.Demand().returned > 0);
  f.Pass(5s);
  CHECK_FALSE(f.ledger.next_timer());
}

TEST_CASE("a call whose caller is gone needs no token", "[quota_ledger_test]") {
  Fixture f;
  f.Call();
  f.ledger.Cancel(kWorkspace, CallId(1));
  CHECK(f.Demand() == QuotaDemand());
}

}  // namespace
}  // namespace jd
