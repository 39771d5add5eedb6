#include "policy/crash_guard.h"

#include <catch2/catch.hpp>

namespace jd {
namespace {

MonoTime At(int64_t ms) {
  return MonoFromMicros(1000000 + ms * 1000);
}

ConnectionLoss MakeLoss(uint64_t fingerprint,
                        uint64_t call,
                        const std::string& endpoint,
                        int64_t sent_ms,
                        bool idempotent = true) {
  return {Fingerprint(fingerprint), CallId(call), ServiceId("s"),
          EndpointId(endpoint),     At(sent_ms),  idempotent};
}

bool Blocks(const CrashGuard& guard, int64_t at_ms, uint64_t fingerprint) {
  return guard.Blocks(At(at_ms), Fingerprint(fingerprint));
}

TEST_CASE("two connections lost at different endpoints block a request for ten minutes",
          "[crash_guard_test]") {
  CrashGuard guard;
  guard.OnConnectionLost(At(5), MakeLoss(1, 1, "a", 0));
  guard.OnConnectionLost(At(9), MakeLoss(1, 2, "a", 6));
  CHECK_FALSE(Blocks(guard, 10, 1));
  guard.OnConnectionLost(At(20), MakeLoss(1, 1, "b", 10));
  CHECK(Blocks(guard, 20, 1));
  CHECK(guard.TakeNewlyBlocked(At(20)) == std::vector{Fingerprint(1)});
  CHECK(guard.TakeNewlyBlocked(At(20)).empty());
  guard.BlockFromPeer(At(300000), Fingerprint(1));
  CHECK(Blocks(guard, 20 + 599999, 1));
  CHECK_FALSE(Blocks(guard, 20 + 600000, 1));
}

TEST_CASE("a repeated non-idempotent request is blocked even if both losses are at one endpoint",
          "[crash_guard_test]") {
  CrashGuard guard;
  guard.OnConnectionLost(At(5), MakeLoss(1, 1, "a", 0, false));
  guard.OnConnectionLost(At(3000), MakeLoss(1, 2, "a", 2000, false));
  CHECK(Blocks(guard, 3000, 1));
}

TEST_CASE("a loss after an answer, or of an attempt sent before the first loss, blocks no request",
          "[crash_guard_test]") {
  CrashGuard guard;
  guard.OnConnectionLost(At(5), MakeLoss(1, 1, "a", 0));
  guard.OnConnectionLost(At(6), MakeLoss(1, 2, "b", 1));
  CHECK_FALSE(Blocks(guard, 6, 1));
  guard.OnAnswered(At(7), Fingerprint(1));
  guard.OnConnectionLost(At(3000), MakeLoss(1, 3, "b", 2000));
  CHECK_FALSE(Blocks(guard, 3000, 1));
}

// Guards against blocking the requests that were running on an upstream that failed for another
// reason.
TEST_CASE("no request is blocked if endpoints lose several requests at once",
          "[crash_guard_test]") {
  CrashGuard guard;
  for (const char* endpoint : {"a", "b", "c"}) {
    const int64_t at = 10 * (endpoint[0] - 'a');
    for (uint64_t call = 1; call <= 4; ++call) {
      guard.OnConnectionLost(At(at + 9), MakeLoss(call, call, endpoint, at));
    }
  }
  CHECK(guard.TakeNewlyBlocked(At(5000)).empty());
  for (uint64_t fingerprint = 1; fingerprint <= 4; ++fingerprint) {
    CHECK_FALSE(Blocks(guard, 5000, fingerprint));
  }
}

TEST_CASE("a crashing request is identified among the other requests that it interrupts",
          "[crash_guard_test]") {
  CrashGuard guard;
  uint64_t other = 10;
  for (const char* endpoint : {"a", "b"}) {
    const int64_t at = 20 * (endpoint[0] - 'a');
    guard.OnConnectionLost(At(at + 5), MakeLoss(1, 1, endpoint, at));
    for (int i = 0; i < 3; ++i, ++other) {
      guard.OnConnectionLost(At(at + 5), MakeLoss(other, other, endpoint, at));
    }
  }
  CHECK_FALSE(Blocks(guard, 25, 1));
  REQUIRE(guard.next_timer());
  CHECK(guard.TakeNewlyBlocked(*guard.next_timer()) == std::vector{Fingerprint(1)});
  CHECK(Blocks(guard, 200, 1));
}

TEST_CASE("the number of entries is limited and the latest ones are kept", "[crash_guard_test]") {
  CrashGuard guard;
  for (uint64_t i = 0; i < 3 * CrashGuard::kMaxEntries; ++i) {
    guard.BlockFromPeer(At(static_cast<int64_t>(i)), Fingerprint(i));
    guard.OnConnectionLost(At(static_cast<int64_t>(i)), MakeLoss(100000 + i, i, "a", 0));
  }
  CHECK(guard.size() <= 2 * CrashGuard::kMaxEntries);
  CHECK(Blocks(guard, 13000, 3 * CrashGuard::kMaxEntries - 1));
}

}  // namespace
}  // namespace jd
