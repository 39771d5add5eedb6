#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/peer_message.h"
#include "common/configuration.h"
#include "common/hybrid_clock.h"
#include "common/ids.h"
#include "common/state_chart.h"
#include "common/units.h"

namespace jd {

/// Outcomes of calls to the endpoints of one zone since the last report. A returning zone ramps up
/// on this evidence.
struct ZoneEvidence {
  int32_t successes = 0;
  int32_t slow = 0;  ///< Successes with a latency far above the average of their endpoint.
  int32_t failures = 0;
};

/// How a gateway may use one zone.
struct ZoneUse {
  ZoneState state = ZoneState::kIn;
  bool usable = true;       ///< New attempts may be sent to the zone's endpoints.
  double share = 1.0;       ///< Usable share of each endpoint's slots; at least one slot.
  bool unrecorded = false;  ///< An unrecorded decision keeps the zone out of service.
  bool operator==(const ZoneUse&) const = default;
};

/// The effects of a call of ZoneControl that the caller must carry out.
struct ZoneOutput {
  std::vector<ZoneId> changed;            ///< Zones whose use() changed.
  std::vector<UnrecordedZone> broadcast;  ///< Decisions to send to every peer.
  /// Decisions to write to the table, on condition that the zone has not changed since their base
  /// version. Repeated until the decision is settled.
  std::vector<UnrecordedZone> record;
};

/// Decides how this gateway may use each availability zone, design section 3.6. The inputs are the
/// decisions of operators recorded in the configuration, decisions made during a store outage that
/// are not recorded yet, and the outcomes of calls, on which a returning zone ramps up.
class ZoneControl {
 public:
  /// A ramp starts at kInitialRampShare and adds kRampStepShare in each kRampStepInterval.
  static constexpr double kInitialRampShare = 0.10;
  static constexpr double kRampStepShare = 0.25;
  static constexpr Duration kRampStepInterval = 2s;
  /// The ramp pauses for an interval in which failures exceed this share of the calls, or slow
  /// successes exceed this share of the successes.
  static constexpr double kMaxFailureShare = 0.05;
  static constexpr double kMaxSlowShare = 0.20;
  /// Interval at which unrecorded decisions are broadcast and, if the table answers, written.
  static constexpr Duration kRepeatInterval = 1s;
  /// Once the table answers again, the gateway that made a decision writes it at once. The other
  /// gateways write it after this time, in case that gateway is no longer running.
  static constexpr Duration kOtherGatewaysRecordDelay = 5s;

  /// @param zone this gateway's local zone.
  explicit ZoneControl(ZoneId zone);
  ZoneControl(const ZoneControl&) = delete;
  ZoneControl& operator=(const ZoneControl&) = delete;

  /// Applies the zone states of a new configuration. A recorded change of a zone that is newer than
  /// the base of its unrecorded decision settles that decision.
  void OnConfiguration(MonoTime now, const Configuration& configuration, ZoneOutput* output);
  /// Takes a zone out of service without writing to the table.
  /// @param decided time of the decision. @param author operator who made the decision.
  /// @return false if the zone is out of service already.
  bool TakeZoneOutUnrecorded(MonoTime now,
                             const ZoneId& zone,
                             HybridTime decided,
                             const std::string& author,
                             ZoneOutput* output);
  /// Applies an unrecorded decision. It is ignored if the recorded state of the zone has changed
  /// since the decision's base version, or if it would bring the zone back into service.
  void OnUnrecordedZone(MonoTime now, UnrecordedZone decision, ZoneOutput* output);
  /// Adds outcomes of calls to the zone's endpoints.
  void OnEvidence(const ZoneId& zone, const ZoneEvidence& evidence);
  /// Updates whether the table answers. @param up whether its latest poll succeeded.
  void OnStoreStatus(MonoTime now, bool up);
  /// Repeats unrecorded decisions and advances ramps.
  void OnTimer(MonoTime now, ZoneOutput* output);

  std::optional<MonoTime> next_timer() const;
  ZoneUse use(const ZoneId& zone) const;
  /// Returns whether this gateway's local zone is out of service.
  bool local_zone_out() const { return !use(local_zone_).usable; }
  /// Returns the decisions that are not recorded yet.
  std::vector<UnrecordedZone> unrecorded() const;

 private:
  /// State of one zone at this gateway.
  struct ZoneStatus {
    explicit ZoneStatus(const StateChart& chart) : machine(chart) {}
    StateChart::Machine machine;
    ZoneState recorded = ZoneState::kIn;
    ConfigVersion version;  ///< Version that last changed the recorded state.
    std::optional<UnrecordedZone> decision;
    bool own_decision = false;  ///< `decision` was made at this gateway.
    double share = 1.0;         ///< Usable share of the slots.
    MonoTime next_ramp_step;    ///< Time of the next step of the ramp.
    ZoneEvidence evidence;      ///< Since the last step of the ramp.
    ZoneUse reported_use;       ///< Use as of the latest ZoneOutput::changed.
  };

  ZoneStatus& StatusOf(const ZoneId& zone);
  /// Updates the chart's state from the recorded state and the unrecorded decision, and reports the
  /// zone in the output if its use changed.
  void UpdateUse(MonoTime now, const ZoneId& zone, ZoneStatus* status, ZoneOutput* output);
  /// Passes an event to the zone's state chart and carries out the resulting action.
  static void ApplyEvent(MonoTime now, const std::string& event, ZoneStatus* status);
  /// Raises the share of a returning zone if a step is due and the calls since the last step went
  /// well.
  static void AdvanceRamp(MonoTime now, ZoneStatus* status);
  static ZoneUse UseOf(const ZoneStatus& status);

  ZoneId local_zone_;  ///< This gateway's local zone.
  StateChart chart_;
  std::map<ZoneId, ZoneStatus> zone_statuses_;
  std::optional<MonoTime> store_up_since_;  ///< Empty while the table does not answer.
  MonoTime next_repeat_;
};

}  // namespace jd
