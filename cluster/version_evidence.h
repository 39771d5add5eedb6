#pragma once

#include <deque>
#include <map>
#include <utility>

#include "common/ids.h"
#include "common/units.h"
#include "policy/rollout_counts.h"

namespace jd {

/// Adds counts of different gateways.
void AddCounts(const RolloutCounts& from, RolloutCounts* to);
/// Returns the calls counted since `earlier`, of the same gateways.
RolloutCounts CountsSince(const RolloutCounts& counts, const RolloutCounts& earlier);
/// Removes all endpoints but the worst ones, so that a message stays short.
/// `endpoints_used` is unchanged.
void KeepWorstEndpoints(RolloutCounts* counts);

/// Adds up what the gateways of one zone have seen of a roll-out. The counts of a gateway's earlier
/// runs are kept.
class ZoneCounts {
 public:
  /// Takes the counts of one gateway, which replace those of the same run.
  void OnGateway(const GatewayId& gateway, Incarnation incarnation, const RolloutCounts& counts);
  RolloutCounts sum() const;

 private:
  struct Run {
    Incarnation incarnation;
    RolloutCounts counts;
  };
  std::map<GatewayId, Run> runs_;
  RolloutCounts earlier_runs_;
};

/// The sums of all zones. Each zone may have several collectors; of those heard lately the sum with
/// the most calls counts, because a collector that has started later knows of fewer.
class RolloutEvidence {
 public:
  /// How far latest() reaches back.
  static constexpr Duration kWindow = 8s;

  /// A collector that was last heard this long before another one of its zone counts no more.
  static constexpr Duration kCollectorTimeout = 3s;

  void OnZoneSum(MonoTime now,
                 const ZoneId& zone,
                 const GatewayId& collector,
                 const RolloutCounts& counts);
  /// Counts from now on, so that both sides are compared over the same time and in the same
  /// proportion.
  /// @param keep_new whether the calls of the ordered version so far still count.
  void Restart(bool keep_new);
  /// Remembers the present counts for latest(). Called at least once a second.
  void Advance(MonoTime now);
  /// Returns the counts since the order.
  RolloutCounts sum() const;
  /// Returns the counts since Restart.
  RolloutCounts total() const { return CountsSince(sum(), base_); }
  /// Returns the counts of about the latest kWindow.
  RolloutCounts latest() const;

 private:
  static constexpr Duration kResolution = 1s;

  struct Report {
    MonoTime heard;
    RolloutCounts counts;
  };

  std::map<ZoneId, std::map<GatewayId, Report>> zones_;
  RolloutCounts base_;  ///< As of the latest Restart.
  std::deque<std::pair<MonoTime, RolloutCounts>> history_;
};

}  // namespace jd
