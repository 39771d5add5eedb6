#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/units.h"
#include "common/verdict.h"

namespace jd {

/// Why the gateway refused a call.
enum class RefusalReason : uint8_t {
  kUnknownService,    ///< The service does not exist, or its profile is missing.
  kUnknownRoute,      ///< No route matches the host and path.
  kNotReady,          ///< The gateway has no configuration yet.
  kShuttingDown,      ///< The gateway is stopping.
  kOverload,          ///< The service is overloaded, or the workspace exceeds its share.
  kDeadline,          ///< The deadline passed or is too near to finish the call.
  kNoEndpoint,        ///< Every endpoint is out, draining or ejected.
  kUpstreamFailed,    ///< The attempts failed and no further one is possible.
  kCrashesUpstreams,  ///< The same request has crashed upstreams.
  kStoreUnavailable,  ///< The request key cannot be claimed.
  kKeyUnresolved,     ///< Another request with this key may have run.
  kUnknownCaller,     ///< No workspace holds the key that the caller presents.
  kOverQuota,         ///< The workspace has used up its quota.
};

/// Retry-after time for callers of a service without a usable endpoint, and for callers whose
/// attempts failed.
inline constexpr Duration kRetryAfterFailure = 1s;

/// Returns the text of the `x-refusal` header.
std::string_view RefusalReasonName(RefusalReason reason);

/// Returns the HTTP status of a refusal.
int RefusalStatus(RefusalReason reason, Verdict verdict);

/// The answer that a caller gets from the gateway itself when its call is refused.
struct Refusal {
  RefusalReason reason = RefusalReason::kOverload;
  Verdict verdict = Verdict::kNotRun;
  Duration retry_after{0};  ///< Zero if a retry would not help.
  std::string text;         ///< Explanation for the caller, one sentence.
};

}  // namespace jd
