#include "gateway/stop_plan.h"

#include <algorithm>

namespace jd {
namespace {

// Time for the last answers to reach their callers, but no more than this part of the limit.
constexpr Duration kAnswerMargin = 300ms;
constexpr int kMaxMarginPart = 6;

}  // namespace

StopPlan PlanStop(Duration grace_period, Duration stop_limit) {
  if (stop_limit == Duration(0)) {
    return {grace_period, std::nullopt};
  }
  const Duration margin = std::min(kAnswerMargin, stop_limit / kMaxMarginPart);
  return {std::min(grace_period, stop_limit / 2), stop_limit - margin};
}

}  // namespace jd
