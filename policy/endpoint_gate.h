#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "common/units.h"

namespace jd {

/// Why an endpoint gets nothing at the moment.
enum class EndpointHold : uint8_t {
  kNone,          ///< It may get requests.
  kLeaving,       ///< It has said that it leaves, in a response, its row or its load report.
  kWantsNothing,  ///< It has asked this gateway to send nothing for a time.
  kZoneOut,       ///< Its zone is out of service.
  kSilent,        ///< It gets nothing for a time after several failures in a row.
  kLimit,         ///< The limit that it names leaves no permit for this gateway.
  kUnhealthy,     ///< Its latest health page reported a failure.
  kCold,          ///< It is warming up.
};

constexpr size_t kEndpointHoldCount = static_cast<size_t>(EndpointHold::kCold) + 1;

/// How often an endpoint was passed over, by reason.
using EndpointHoldCounts = std::array<uint64_t, kEndpointHoldCount>;

/// What a gateway knows of an endpoint that can forbid sending to it.
struct EndpointFacts {
  bool leaving = false;
  bool wants_nothing = false;
  bool zone_out = false;
  bool healthy = true;        ///< The latest health page reported success.
  MonoTime failure_retry_at;  ///< End of the backoff after failures.
  MonoTime permit_retry_at;   ///< No permit is expected before this time.
  MonoTime cold_until;        ///< End of the warm-up.
};

/// Returns why the endpoint may get neither probes nor calls, or kNone.
EndpointHold HoldOnProbes(MonoTime now, const EndpointFacts& facts);
/// Returns why the endpoint may get no calls, or kNone. What forbids probes also forbids calls.
EndpointHold HoldOnCalls(MonoTime now, const EndpointFacts& facts);

/// Returns the reason as it is named in log lines and metrics, for example "wants-nothing".
std::string_view EndpointHoldName(EndpointHold hold);

}  // namespace jd
