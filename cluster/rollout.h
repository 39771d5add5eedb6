#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "cluster/rollout_message.h"
#include "cluster/rollout_plan.h"
#include "cluster/version_evidence.h"
#include "common/ids.h"
#include "common/units.h"
#include "policy/rollout_gate.h"

namespace jd {

/// The gateway that takes part in roll-outs.
struct RolloutMember {
  GatewayId id;
  Incarnation incarnation;
  /// The zone whose evidence is added up; empty if all gateways hear each other.
  ZoneId zone;
  RolloutBounds bounds;
};

/// What a roll-out depends on besides its messages.
struct RolloutSituation {
  /// Gateways of the own zone that add up its evidence, best first; empty if they are not known.
  std::vector<GatewayId> collectors;
  int32_t zone_rank = 0;  ///< Rank of the own zone among all zones, from 0.
  int32_t zones = 1;
  bool alone = false;         ///< There is no other gateway.
  int32_t old_in_flight = 0;  ///< Calls of this gateway at the other versions.
  bool has_capacity = true;   ///< The ordered version has endpoints for all calls.
  bool only_new = false;      ///< All endpoints of the service have the ordered version.
  RolloutCounts counts = {};  ///< What this gateway has seen since the order.
};

/// What a roll-out asks its gateway to do.
struct RolloutOutput {
  std::vector<std::pair<GatewayId, VersionEvidence>> reports;
  std::vector<VersionEvidence> sums;   ///< To all gateways.
  std::vector<RolloutNotice> notices;  ///< To all gateways.
  std::vector<std::pair<GatewayId, RolloutNotice>> replies;
  std::vector<RolloutStatusWrite> writes;
};

/// Which endpoints of a service may get calls.
enum class RolloutUse : uint8_t {
  kOldOnly,  ///< The ordered version is bad, or its order is gone.
  kSplit,    ///< RolloutShare divides the calls.
  kNewOnly,
};

/// One gateway's part in one roll-out: it adds up the evidence, decides what this gateway sends to
/// the ordered version, and writes the status row when it is this gateway's turn.
class Rollout {
 public:
  static constexpr Duration kTick = 200ms;
  /// Interval of messages without urgent news.
  static constexpr Duration kReportInterval = 1s;
  /// Gateways and collectors that were not heard for this time do not count.
  static constexpr Duration kSilence = 3s;
  /// A gateway that has heard no sum for this part of the time within which a bad version must be
  /// given up sends nothing to a version that is not proved.
  static constexpr double kSilentPart = 0.6;
  /// How long each further writer waits for the one before it.
  static constexpr Duration kTakeover = 800ms;
  static constexpr Duration kWriteRetry = 1s;
  /// Time from the phase kFull to the state kCompleted.
  static constexpr Duration kMinHandover = 1500ms;
  static constexpr Duration kMaxHandover = 5s;
  static constexpr double kMaxHandoverPart = 0.3;  ///< Of the duration of the order.
  /// A service whose endpoints all had the ordered version for this time has been moved.
  static constexpr Duration kOnlyNewPeriod = 3s;
  /// Time for which endpoints of other versions get no calls after the state kCompleted. The store
  /// may list the old endpoints a little longer; later ones belong to a further release.
  static constexpr Duration kOldEndpointsStop = 10s;

  Rollout(MonoTime now, RolloutMember self, RolloutOrder order);

  /// Takes a row for the same version as before. A later row in the same era of the store is a new
  /// order once the one before has ended.
  void OnOrder(MonoTime now, const RolloutOrder& order);
  /// The order is gone: a version that was not completed gets no more calls, unless the service has
  /// no other endpoints.
  void Withdraw() { withdrawn_ = !outcome_; }
  void OnEvidence(MonoTime now,
                  const GatewayId& from,
                  Incarnation incarnation,
                  const VersionEvidence& evidence,
                  RolloutOutput* output);
  void OnNotice(const RolloutNotice& notice);
  void OnWriteResult(MonoTime now, const RolloutWriteResult& result, RolloutOutput* output);
  void OnTimer(MonoTime now, const RolloutSituation& situation, RolloutOutput* output);
  /// Returns when OnTimer is due, or nothing if the roll-out has ended.
  std::optional<MonoTime> next_timer() const;

  RolloutUse use() const;
  RolloutShare share(MonoTime now) const;
  const RolloutOrder& order() const { return order_; }
  RolloutPhase phase() const { return phase_; }
  /// The final state of the status row, if it is known to have one.
  std::optional<RolloutState> outcome() const { return outcome_; }
  bool bad() const { return bad_; }
  /// Whether the roll-out has been completed for so long that other versions may be used again.
  bool over() const { return ended() && outcome_ == RolloutState::kCompleted; }
  /// What all gateways have seen lately.
  RolloutCounts latest_counts() const { return evidence_.latest(); }
  /// Changes when the counts of the gate must start again.
  uint64_t generation() const { return generation_; }

 private:
  struct Reporter {
    MonoTime heard;
    bool on_old = false;
  };
  struct ZoneReport {
    MonoTime heard;
    int32_t gateways_on_old = 0;
  };

  void Reset(MonoTime now);
  RolloutId id() const { return {order_.service, order_.to, order_.row}; }
  bool finished() const { return outcome_ && recorded_ == outcome_; }
  /// Whether OnTimer has nothing left to do.
  bool ended() const { return over_ && finished(); }
  bool Hears(MonoTime now) const;
  void RaisePhase(MonoTime now, RolloutPhase phase);
  /// Decides from the evidence whether the version is bad, and whether the next phase begins.
  /// @param acts whether this gateway is a collector that has read the order itself.
  void Decide(MonoTime now, const RolloutSituation& situation, bool acts);
  void SendReports(MonoTime now, const RolloutSituation& situation, RolloutOutput* output);
  void SendZoneSum(MonoTime now, RolloutOutput* output);
  VersionEvidence MakeMessage(MonoTime now) const;
  RolloutState WantedState(MonoTime now) const;
  bool HandoverIsDone(MonoTime now) const;
  void WriteStatus(MonoTime now,
                   const RolloutSituation& situation,
                   int32_t collector_rank,
                   RolloutOutput* output);
  /// Takes over what the status row says.
  void Adopt(RolloutState state, RowVersion row);

  RolloutMember self_;
  RolloutOrder order_;
  uint64_t generation_ = 0;
  MonoTime started_;  ///< When the order was made, as far as this gateway knows.
  RolloutPhase phase_ = RolloutPhase::kWatching;
  MonoTime phase_since_;
  bool bad_ = false;
  bool withdrawn_ = false;
  std::optional<MonoTime> only_new_since_;
  bool alone_ = false;
  std::optional<MonoTime> heard_sum_;  ///< Latest sum of another gateway.
  MonoTime next_tick_;

  ZoneCounts zone_evidence_;
  std::map<GatewayId, Reporter> reporters_;
  RolloutEvidence evidence_;
  bool compares_ = false;  ///< A call of the ordered version has ended.
  /// Since when the evidence shows a bad version. Trouble of the ordered version is reported at
  /// once, and that of the others within kReportInterval, so the evidence must last as long.
  std::optional<MonoTime> shown_since_;
  std::map<ZoneId, std::map<GatewayId, ZoneReport>> zone_reports_;

  // Latest messages sent.
  std::optional<MonoTime> reported_at_;
  int64_t reported_trouble_ = 0;
  bool reported_on_old_ = true;
  std::optional<MonoTime> summed_at_;
  int64_t summed_trouble_ = 0;
  int32_t summed_on_old_ = 0;
  RolloutPhase summed_phase_ = RolloutPhase::kWatching;
  bool summed_bad_ = false;

  // The status row.
  std::optional<RolloutState> recorded_;  ///< As far as this gateway knows.
  std::optional<RolloutState> outcome_;
  RowVersion status_row_;
  std::optional<RolloutState> wanted_;
  MonoTime wanted_since_;
  MonoTime next_write_;
  bool writing_ = false;
  std::optional<MonoTime> finished_since_;
  bool over_ = false;  ///< Finished for long enough; a status row that is lost again ends that.
};

}  // namespace jd
