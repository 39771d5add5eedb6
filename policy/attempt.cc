#include "policy/attempt.h"

#include <cassert>
#include <utility>

namespace jd {
namespace {

const StateChart& AttemptChart() {
  static const StateChart chart = StateChart::Load("attempt");
  return chart;
}

const char* EventOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return "answered";
    case AttemptOutcome::kRefused:
      return "refused";
    case AttemptOutcome::kConnectFailed:
      return "connect_failed";
    case AttemptOutcome::kConnectionLost:
      return "connection_lost";
    case AttemptOutcome::kInvalid:
      return "invalid";
    case AttemptOutcome::kTimedOut:
      return "timed_out";
    case AttemptOutcome::kCancelled:
      break;
  }
  return "cancelled";
}

Verdict VerdictOfEnd(const std::string& state) {
  if (state == "not_run") {
    return Verdict::kNotRun;
  }
  return state == "may_have_run" ? Verdict::kMayHaveRun : Verdict::kRan;
}

}  // namespace

Attempt::Attempt(MonoTime sent, AttemptContext context)
    : sent_(sent), context_(std::move(context)), machine_(AttemptChart()) {}

void Attempt::Cancel(bool expired) {
  cancelled_ = true;
  expired_ = expired;
  machine_.Fire("cancel");
}

Verdict Attempt::End(const AttemptResult& result) {
  if (result.request_written) {
    machine_.Fire("written");
  }
  machine_.Fire(EventOf(result.outcome));
  assert(machine_.done());
  return VerdictOfEnd(machine_.state());
}

bool Attempt::IsSilent(const AttemptResult& result) const {
  const bool out_of_time = result.outcome == AttemptOutcome::kTimedOut ||
                           (result.outcome == AttemptOutcome::kCancelled && expired_);
  return out_of_time && result.request_written && !result.response_started;
}

}  // namespace jd
