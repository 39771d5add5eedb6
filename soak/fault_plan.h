#pragma once

#include <cstdint>
#include <vector>

#include "common/units.h"

namespace jd {

/// One fault, injected from outside the gateways.
enum class FaultKind : uint8_t {
  kStoreReset,
  kStoreRefuse,
  kStoreSlow,
  kStoreLosesAnswers,
  kStoreSilent,
  kStoreForgets,     ///< Its history.
  kRowsLapse,        ///< The store is away and endpoints' rows expire meanwhile.
  kStoreLinkSilent,  ///< Of one gateway.
  kStoreLinkReset,   ///< Of one gateway.
  kEndpointDelay,
  kEndpointReset,
  kEndpointSilent,  ///< Open connections go silent for good; new ones work.
  kEndpointOneWay,  ///< Answers of one endpoint do not arrive.
  kEndpointCrash,
  kEndpointLeaves,
  kZoneOut,
  kConfiguration,
  kGatewayTerminated,
  kGatewayKilled,
  kGatewayPaused,
  kGatewayHangUp,
  kAllKilled,
};
inline constexpr FaultKind kLastFault = FaultKind::kAllKilled;

struct Fault {
  FaultKind kind = FaultKind::kConfiguration;
  Duration at{0};
  Duration length{0};
  uint64_t pick = 0;  ///< Which gateway, endpoint or zone, by remainder.
};

/// Returns the faults of a run in order of time: some alone, some that overlap, and series of the
/// same kind. Equal seeds give equal plans.
std::vector<Fault> PlanFaults(uint64_t seed, Duration length);

const char* NameOf(FaultKind kind);

}  // namespace jd
