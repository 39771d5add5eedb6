#include "policy/attempt.h"

#include <catch2/catch.hpp>

namespace jd {
namespace {

// Guards against a state chart whose final states disagree with the rule of section 3.4
// (VerdictOf), which would send non-idempotent requests again although they may have run.
TEST_CASE("the final state of every attempt gives the same verdict as VerdictOf",
          "[attempt_test]") {
  for (int outcome = 0; outcome <= static_cast<int>(AttemptOutcome::kCancelled); ++outcome) {
    for (const bool written : {false, true}) {
      for (const bool cancelled : {false, true}) {
        INFO(outcome << " " << written << " " << cancelled);
        AttemptResult result;
        result.outcome = static_cast<AttemptOutcome>(outcome);
        result.request_written = written;
        Attempt attempt(MonoTime(), AttemptContext{});
        if (cancelled) {
          attempt.Cancel(false);
        }
        CHECK(attempt.End(result) == VerdictOf(result));
      }
    }
  }
}

TEST_CASE("an attempt is silent only if its deadline passed without a byte of response",
          "[attempt_test]") {
  AttemptResult result;
  result.outcome = AttemptOutcome::kCancelled;
  result.request_written = true;
  Attempt attempt(MonoTime(), AttemptContext{});
  CHECK_FALSE(attempt.IsSilent(result));
  attempt.Cancel(true);
  CHECK(attempt.IsSilent(result));
  result.response_started = true;
  CHECK_FALSE(attempt.IsSilent(result));
}

}  // namespace
}  // namespace jd
