#include "policy/endpoint_gate.h"

namespace jd {

EndpointHold HoldOnProbes(MonoTime now, const EndpointFacts& facts) {
  if (facts.leaving) {
    return EndpointHold::kLeaving;
  }
  // An endpoint of a zone that is out does not return when it wants calls again.
  if (facts.zone_out) {
    return EndpointHold::kZoneOut;
  }
  if (facts.wants_nothing) {
    return EndpointHold::kWantsNothing;
  }
  if (now < facts.failure_retry_at) {
    return EndpointHold::kSilent;
  }
  return now < facts.permit_retry_at ? EndpointHold::kLimit : EndpointHold::kNone;
}

EndpointHold HoldOnCalls(MonoTime now, const EndpointFacts& facts) {
  const EndpointHold hold = HoldOnProbes(now, facts);
  if (hold != EndpointHold::kNone) {
    return hold;
  }
  // Probes go on in these two states, because they tell when the state ends.
  if (!facts.healthy) {
    return EndpointHold::kUnhealthy;
  }
  return now < facts.cold_until ? EndpointHold::kCold : EndpointHold::kNone;
}

std::string_view EndpointHoldName(EndpointHold hold) {
  switch (hold) {
    case EndpointHold::kNone:
      return "none";
    case EndpointHold::kLeaving:
      return "leaving";
    case EndpointHold::kWantsNothing:
      return "wants-nothing";
    case EndpointHold::kZoneOut:
      return "zone-out";
    case EndpointHold::kSilent:
      return "silent";
    case EndpointHold::kLimit:
      return "limit";
    case EndpointHold::kUnhealthy:
      return "unhealthy";
    case EndpointHold::kCold:
      return "cold";
  }
  return "unknown";
}

}  // namespace jd
