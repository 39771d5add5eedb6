#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/units.h"
#include "common/verdict.h"

namespace jd {

enum class RefusalReason : uint8_t {
  kUnknownService,    ///< No such service, or its profile is missing.
  kUnknownRoute,      ///< No route matches the host and path.
  kNotReady,          ///< The gateway has no configuration yet.
  kShuttingDown,      ///< The gateway is stopping.
  kOverload,          ///< The queue is full or the workspace exceeds its share.
  kDeadline,          ///< The deadline passed, or is too near for the work to finish.
  kNoEndpoint,        ///< Every endpoint is out, draining or ejected.
  kUpstreamFailed,    ///< Attempts failed and no other is allowed.
  kCrashesUpstreams,  ///< The same request has crashed upstreams.
  kStoreUnavailable,  ///< The request key cannot be claimed.
  kKeyUnresolved,     ///< Another request with this key may have run.
};

/// Returns the text of the `x-refusal` header.
std::string_view RefusalReasonName(RefusalReason reason);

/// Returns the HTTP status of a refusal.
int RefusalStatus(RefusalReason reason, Verdict verdict);

/// An answer that the gateway gives itself instead of an upstream's.
struct Refusal {
  RefusalReason reason = RefusalReason::kOverload;
  Verdict verdict = Verdict::kNotRun;
  Duration retry_after{0};  ///< Zero if retrying has no use.
  std::string text;         ///< One sentence for the caller.
};

}  // namespace jd
