#pragma once

#include <compare>
#include <cstdint>

#include "common/ids.h"
#include "common/units.h"
#include "policy/rollout_counts.h"

namespace jd {

/// Version of a row in the platform's store; 0 means that the row does not exist.
using RowVersion = NumberId<struct RowVersionTag>;

/// An operator's order to move the calls of a service to endpoints of one software version.
struct RolloutOrder {
  ServiceId service;
  SoftwareVersion to;
  Duration duration{0};  ///< 0: the order is known from other gateways only.
  RowVersion row;  ///< Version of the order's row, which tells apart orders for the same version.
  StoreEra era = {};  ///< Era of the store in which the row has that version.
  bool operator==(const RolloutOrder&) const = default;
};

/// What the status row of a roll-out says.
enum class RolloutState : uint8_t { kRunning, kCompleted, kReverted };

/// How far a roll-out has gone. Phases only rise.
enum class RolloutPhase : uint8_t {
  kWatching,  ///< A small share of the calls shows how the version does.
  kRamping,   ///< The share grows, but the calls since the order stay within the exposure.
  kProved,    ///< The version gets half of the calls.
  kFull,      ///< The other versions get no calls.
};

/// Which roll-out a message belongs to.
struct RolloutId {
  ServiceId service;
  SoftwareVersion to;
  RowVersion row;
  auto operator<=>(const RolloutId&) const = default;
};

/// What one gateway, or all gateways of a zone, have seen of both sides of a roll-out.
struct VersionEvidence {
  RolloutId rollout;
  bool zone_sum = false;  ///< Counts of all gateways of the sender's zone.
  ZoneId zone;            ///< Of the sender.
  Duration age{0};        ///< Time since the sender, or a gateway that it heard, read the order.
  RolloutPhase phase = RolloutPhase::kWatching;
  bool bad = false;  ///< The sender uses the version no more.
  /// Number of gateways that may have calls at the other versions; 0 or 1 unless `zone_sum`.
  int32_t gateways_on_old = 0;
  RolloutCounts counts;
};

/// Tells that the status row of a roll-out has a state.
struct RolloutNotice {
  RolloutId rollout;
  RolloutState state = RolloutState::kRunning;
  RowVersion status_row;
};

/// The status row of a roll-out.
struct RolloutStatusRow {
  SoftwareVersion to;
  RolloutState state = RolloutState::kRunning;
  RowVersion version;
};

/// Asks to write the status row of a roll-out if it has the expected version.
struct RolloutStatusWrite {
  RolloutId rollout;
  RolloutState state = RolloutState::kRunning;
  RowVersion expected;
};

/// The result of a RolloutStatusWrite.
enum class RolloutWriteOutcome : uint8_t {
  kWritten,
  kConflict,  ///< The row has another version.
  kFailed,    ///< The store did not answer or refused; the write may have taken effect.
};

struct RolloutWriteResult {
  RolloutStatusWrite write;
  RolloutWriteOutcome outcome = RolloutWriteOutcome::kFailed;
  /// The row as it is now. After kConflict, its version is 0 if it does not exist.
  RolloutStatusRow row;
};

}  // namespace jd
