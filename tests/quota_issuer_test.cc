#include "cluster/quota_issuer.h"

#include <catch2/catch.hpp>
#include <limits>

namespace jd {
namespace {

const WorkspaceId kWorkspace("dalat-rankings");

struct Fixture {
  int32_t Issue(int32_t needed, int32_t returned = 0) {
    lease = issuer.Decide(now, part, {kWorkspace, needed, 0, returned});
    return lease.granted;
  }

  MonoTime now = MonoTime() + 100s;
  QuotaIssuer issuer;
  QuotaIssuer::Part part{{10, 20}, 1.0, 0};
  QuotaLease lease;
};

TEST_CASE("an issuer starts with what its predecessor cannot have issued", "[quota_issuer_test]") {
  // Guards against a burst for each change of the issuer.
  Fixture f;
  f.part.since = f.now;
  f.part.lasting_share = 0;
  CHECK(f.Issue(100) == 1);
  f.issuer.KeepOnly([](const WorkspaceId&) { return false; });
  CHECK(f.issuer.buckets() == 0);
  f.now += 1s;
  CHECK(f.Issue(100) == 11);
}

TEST_CASE("an issuer issues its share of the rate and the burst", "[quota_issuer_test]") {
  // Guards against two sides of a cut that together issue more than the quota.
  Fixture f;
  f.part.share = 0.5;
  CHECK(f.Issue(100) == 11);
  f.now += 1s;
  CHECK(f.Issue(100) == 5);
}

TEST_CASE("a lowered limit applies to the tokens at hand", "[quota_issuer_test]") {
  Fixture f;
  f.Issue(1);
  f.part.quota = {1, 0};
  CHECK(f.Issue(100) == 1);
}

TEST_CASE("attempts without a token reduce the later ones", "[quota_issuer_test]") {
  Fixture f;
  CHECK(f.Issue(1, -30) == 0);
  f.now += 2s;
  CHECK(f.Issue(100) == 12);
}

TEST_CASE("returned tokens fill the bucket to its capacity only", "[quota_issuer_test]") {
  // Guards against a burst of tokens that gateways gave back at once.
  Fixture f;
  f.Issue(10);
  CHECK(f.Issue(100, 1'000) == 22);
}

TEST_CASE("a refused call is told when the next token is expected", "[quota_issuer_test]") {
  Fixture f;
  f.Issue(22);
  f.Issue(2);
  CHECK(f.lease.retry_after == 100ms);
  f.Issue(1);
  CHECK(f.lease.retry_after == 300ms);
  for (int i = 0; i < 30; ++i) {
    f.Issue(1);
    CHECK(f.lease.retry_after <= QuotaIssuer::kMaxRetryAfter);
  }
}

TEST_CASE("what an issuer lends it does not issue itself", "[quota_issuer_test]") {
  // Guards against tokens that two zones spend.
  Fixture f;
  const QuotaLease loan = f.issuer.Lend(f.now, f.part, {kWorkspace, 15'000, 0, 0});
  CHECK(loan.granted == 15'000);
  CHECK(f.Issue(100) == 7);
}

TEST_CASE("an issuer keeps the tokens for its own demand", "[quota_issuer_test]") {
  // Guards against two zones that borrow the same tokens from each other in turn.
  Fixture f;
  for (int i = 0; i < 100; ++i) {
    f.now += 100ms;
    f.Issue(1);
  }
  f.now += 10ms;
  const QuotaLease loan = f.issuer.Lend(f.now, f.part, {kWorkspace, 1'000'000, 0, 0});
  CHECK(loan.granted < 20'000);
  CHECK(f.Issue(100) >= 2);
}

TEST_CASE("an issuer that runs low borrows, and says so", "[quota_issuer_test]") {
  Fixture f;
  f.part.other_issuers = 2;
  f.Issue(23);
  CHECK(f.lease.retry_after == QuotaIssuer::kBorrowTime);
  const auto shortages = f.issuer.TakeShortages();
  REQUIRE(shortages.size() == 1);
  CHECK(shortages[0].needed > 0);
  CHECK(f.issuer.TakeShortages().empty());
  f.issuer.OnLent(f.now, f.part, {kWorkspace, 3'000, 3'000, Duration(0)});
  CHECK(f.Issue(100) == 3);
}

TEST_CASE("an issuer whose requests to borrow fail asks less often", "[quota_issuer_test]") {
  // Guards against messages between zones for each call over the quota.
  Fixture f;
  f.part = {{1, 0}, 0.3, 2};
  size_t requests = 0;
  for (int i = 0; i < 1'000; ++i) {
    f.now += 1ms;
    f.Issue(1);
    if (!f.issuer.TakeShortages().empty()) {
      ++requests;
      f.issuer.OnLent(f.now, f.part, {kWorkspace, 1'000, 0, Duration(0)});
    }
  }
  CHECK(requests <= 11);
}

TEST_CASE("an enormous burst and demand are issued within the range of the type",
          "[quota_issuer_test]") {
  Fixture f;
  f.part = {{10, 1e300}, 1.0, 1};
  f.part.since = f.now - 3600s;
  CHECK(f.Issue(1'000'000'000, std::numeric_limits<int32_t>::max()) == 1'000'000'000);
  CHECK(f.issuer.Lend(f.now, f.part, {kWorkspace, 1'000'000'000, 0, 0}).granted > 0);
}

TEST_CASE("buckets of workspaces without calls are removed", "[quota_issuer_test]") {
  Fixture f;
  f.Issue(1);
  f.now += 130s;
  f.issuer.Decide(f.now, f.part, {WorkspaceId("other"), 1, 0, 0});
  CHECK(f.issuer.buckets() == 1);
}

}  // namespace
}  // namespace jd
