#pragma once

#include <cstdint>
#include <vector>

#include "common/units.h"

namespace jd {

/// Kinds of faults that the soak injects from outside the gateways.
enum class FaultKind : uint8_t {
  kStoreReset,            ///< The store ends connections without executing calls.
  kStoreRefuse,           ///< The store answers calls with 503.
  kStoreSlow,             ///< The store answers calls late.
  kStoreLosesAnswers,     ///< The store executes calls and ends the connection without an answer.
  kStoreSilent,           ///< The store neither executes nor answers calls.
  kStoreForgets,          ///< The store loses its change history.
  kRowsLapse,             ///< Endpoint rows expire while the store is unavailable.
  kStoreLinkSilent,       ///< No byte passes between one gateway and the store.
  kStoreLinkReset,        ///< Connections between one gateway and the store are reset.
  kEndpointDelay,         ///< Bytes to and from one endpoint are delayed.
  kEndpointReset,         ///< Connections to one endpoint are reset.
  kEndpointSilent,        ///< Open connections to one endpoint stop carrying data; new ones work.
  kEndpointOneWay,        ///< Answers from one endpoint do not arrive.
  kEndpointCrash,         ///< One endpoint crashes and restarts later.
  kEndpointLeaves,        ///< One endpoint drains and then restarts.
  kZoneOut,               ///< An operator takes one zone out of service and brings it back.
  kConfiguration,         ///< An operator writes a new configuration version.
  kGatewayTerminated,     ///< One gateway gets SIGTERM.
  kGatewayKilled,         ///< One gateway gets SIGKILL.
  kGatewayPaused,         ///< One gateway is stopped with SIGSTOP and continued later.
  kGatewayHangUp,         ///< One gateway gets SIGHUP.
  kAllKilled,             ///< All gateways get SIGKILL at once.
  kStoreRestored,         ///< The store is silent, then comes back from a copy that is seconds old.
  kEndpointLimit,         ///< One endpoint names a limit for the requests of all gateways together.
  kOddRow,                ///< Another writer leaves a row among those of the endpoints.
  kPortBusy,              ///< One gateway is killed and a port of it is held while it starts.
  kEndpointSaysLeaving,   ///< One endpoint leaves and says so only in its answers.
  kEndpointWantsNothing,  ///< One endpoint answers 503 with a time for which it wants nothing.
};
inline constexpr FaultKind kLastFaultKind = FaultKind::kEndpointWantsNothing;

/// One fault that the soak injects.
struct Fault {
  FaultKind kind = FaultKind::kConfiguration;
  Duration start{0};          ///< Start of the fault, from the start of the plan.
  Duration duration{0};       ///< How long the fault lasts.
  uint64_t target_index = 0;  ///< Selects the gateway, endpoint or zone: index modulo their number.
};

/// Returns the faults of a run, ordered by start time. Some faults are single, some overlap, and
/// some form a series of the same kind. Equal seeds give equal plans.
/// @param duration faults are drawn until their start time reaches this.
std::vector<Fault> PlanFaults(uint64_t seed, Duration duration);

/// Returns the name of a fault kind in the output of the soak.
const char* FaultKindName(FaultKind kind);

}  // namespace jd
