#include "policy/refusal.h"

namespace jd {

std::string_view RefusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kUnknownService:
      return "unknown-service";
    case RefusalReason::kUnknownRoute:
      return "unknown-route";
    case RefusalReason::kNotReady:
      return "not-ready";
    case RefusalReason::kShuttingDown:
      return "shutting-down";
    case RefusalReason::kOverload:
      return "overload";
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kNoEndpoint:
      return "no-endpoint";
    case RefusalReason::kUpstreamFailed:
      return "upstream-failed";
    case RefusalReason::kCrashesUpstreams:
      return "crashes-upstreams";
    case RefusalReason::kStoreUnavailable:
      return "store-unavailable";
    case RefusalReason::kKeyUnresolved:
      return "key-unresolved";
    case RefusalReason::kUnknownCaller:
      return "unknown-caller";
    case RefusalReason::kOverQuota:
      return "over-quota";
  }
  return "unknown";
}

int RefusalStatus(RefusalReason reason, Verdict verdict) {
  switch (reason) {
    case RefusalReason::kUnknownService:
    case RefusalReason::kUnknownRoute:
      return 404;
    case RefusalReason::kOverload:
    case RefusalReason::kOverQuota:
      return 429;
    case RefusalReason::kUnknownCaller:
      return verdict == Verdict::kNotRun ? 401 : 502;
    case RefusalReason::kDeadline:
      return 504;
    case RefusalReason::kUpstreamFailed:
      return 502;
    case RefusalReason::kCrashesUpstreams:
      return 422;
    case RefusalReason::kKeyUnresolved:
      return 409;
    case RefusalReason::kNotReady:
    case RefusalReason::kShuttingDown:
    case RefusalReason::kNoEndpoint:
    case RefusalReason::kStoreUnavailable:
      break;
  }
  return verdict == Verdict::kNotRun ? 503 : 502;
}

}  // namespace jd
