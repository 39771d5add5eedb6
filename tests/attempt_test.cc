#include "policy/attempt.h"

#include <catch2/catch.hpp>

namespace jd {
namespace {

// Guards against a chart whose end states disagree with the rule of section 3.4, which would resend
// orders that may have run.
TEST_CASE("the chart ends every attempt with the verdict of the rule", "[attempt_test]") {
  for (int outcome = 0; outcome <= static_cast<int>(AttemptOutcome::kCancelled); ++outcome) {
    for (const bool written : {false, true}) {
      for (const bool cancelled : {false, true}) {
        INFO(outcome << " " << written << " " << cancelled);
        AttemptResult result;
        result.outcome = static_cast<AttemptOutcome>(outcome);
        result.request_written = written;
        Attempt attempt(MonoTime(), AttemptOrigin{});
        if (cancelled) {
          attempt.Cancel(false);
        }
        CHECK(attempt.End(result) == VerdictOf(result));
      }
    }
  }
}

TEST_CASE("only a wait until the limit without a byte is silence", "[attempt_test]") {
  AttemptResult result;
  result.outcome = AttemptOutcome::kCancelled;
  result.request_written = true;
  Attempt attempt(MonoTime(), AttemptOrigin{});
  CHECK_FALSE(attempt.IsSilent(result));
  attempt.Cancel(true);
  CHECK(attempt.IsSilent(result));
  result.response_started = true;
  CHECK_FALSE(attempt.IsSilent(result));
}

}  // namespace
}  // namespace jd
