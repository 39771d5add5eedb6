// The part of CallManager for services whose endpoints are all held back at the moment.
#include <xxhash.h>

#include <algorithm>

#include "policy/call_manager.h"

namespace jd {
namespace {

/// An upstream that refused a call although it had room may accept the call shortly afterwards.
constexpr Duration kRetryAfterUpstreamRefusal = 10ms;
/// Callers return within this share of their wait after the endpoint, so that they do not all
/// return at the same moment.
constexpr double kReturnSpreadShare = 0.5;
constexpr Duration kMinReturnSpread = 200ms;
constexpr Duration kMaxReturnSpread = 2s;
constexpr int kPriorities = static_cast<int>(Priority::kHigh) + 1;
constexpr int kRanks = kPriorities * kPriorities;

// Returns the part of the spread within which callers of this rank return: the more urgent a call
// is, the earlier its caller may come back.
double SpreadPart(const CallRank& rank) {
  const int urgency =
      static_cast<int>(rank.workspace) * kPriorities + static_cast<int>(rank.profile);
  return static_cast<double>(kRanks - urgency) / kRanks;
}

// Returns the time after which the caller may retry, if an endpoint returns at `returns_at`.
Duration RetryAfterReturn(MonoTime now, const Call& call, MonoTime returns_at) {
  const Duration wait = std::max(returns_at - now, Duration(0));
  const Duration spread =
      std::clamp(Scale(wait, kReturnSpreadShare), kMinReturnSpread, kMaxReturnSpread);
  const std::string& id = call.request.request_id.value;
  const double position = static_cast<double>(XXH3_64bits(id.data(), id.size())) / 0x1p64;
  return wait + Scale(spread, position * SpreadPart(call.limits.rank));
}

}  // namespace

bool CallManager::IsUsable(const Call& call, const EndpointId& endpoint) const {
  const std::vector<EndpointId>& usable = StateOf(call).usable;
  return std::find(usable.begin(), usable.end(), endpoint) != usable.end();
}

bool CallManager::RefuseIfNothingWanted(MonoTime now, Call* call, CallActions* actions) {
  const std::optional<MonoTime> returns_at = StateOf(*call).returns_at;
  if (!returns_at || !call->running.empty()) {
    return false;
  }
  Refuse(call, RefusalReason::kNoEndpoint, RetryAfterReturn(now, *call, *returns_at),
         "Every endpoint of the service wants no requests at the moment.", actions);
  return true;
}

Duration CallManager::RetryAfterFailedAttempt(MonoTime now, const Call& call, bool refused) const {
  const std::optional<MonoTime> returns_at = StateOf(call).returns_at;
  if (returns_at) {
    return RetryAfterReturn(now, call, *returns_at);
  }
  return refused ? kRetryAfterUpstreamRefusal : kRetryAfterFailure;
}

}  // namespace jd
