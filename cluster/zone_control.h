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

/// Calls that ended at endpoints of one zone since the last report.
struct ZoneEvidence {
  int32_t successes = 0;
  int32_t slow = 0;  ///< Successes above normal latency.
  int32_t failures = 0;
};

/// How a gateway may use one zone.
struct ZoneUse {
  ZoneState state = ZoneState::kIn;
  bool usable = true;  ///< Endpoints may get new attempts.
  double share = 1.0;  ///< Bound as a share of the slots; at least one slot per endpoint.
  bool unrecorded = false;
  bool operator==(const ZoneUse&) const = default;
};

/// What a step of ZoneControl asks of its caller.
struct ZoneOutput {
  std::vector<ZoneId> changed;            ///< Zones whose use() changed.
  std::vector<UnrecordedZone> broadcast;  ///< To every peer.
  std::vector<UnrecordedZone> record;  ///< Due to be written on their base; repeated until settled.
};

/// Decides the use of each availability zone, design section 3.6: recorded decisions of operators,
/// unrecorded ones made during a store outage, and the ramp of a returning zone on evidence.
class ZoneControl {
 public:
  static constexpr double kFirstShare = 0.10;
  static constexpr double kStepShare = 0.25;
  static constexpr Duration kStepEvery = 2s;
  /// Above these shares of a step's calls the ramp holds.
  static constexpr double kMaxFailures = 0.05;
  static constexpr double kMaxSlow = 0.20;
  static constexpr Duration kRepeatEvery = 1s;
  /// The gateway that took the decision records it first; the others follow in case it is gone.
  static constexpr Duration kOthersRecordAfter = 5s;

  /// @param zone this gateway's own zone.
  explicit ZoneControl(ZoneId zone);
  ZoneControl(const ZoneControl&) = delete;
  ZoneControl& operator=(const ZoneControl&) = delete;

  void OnConfiguration(MonoTime now, const Configuration& configuration, ZoneOutput* output);
  /// Takes a zone out without the table. @return false if it is out already.
  bool TakeOutUnrecorded(MonoTime now,
                         const ZoneId& zone,
                         HybridTime decided,
                         const std::string& author,
                         ZoneOutput* output);
  /// Takes a peer's unrecorded decision; ignored if the zone has been changed since its base.
  void OnUnrecorded(MonoTime now, UnrecordedZone decision, ZoneOutput* output);
  void OnEvidence(const ZoneId& zone, const ZoneEvidence& evidence);
  /// Tells whether the table answers.
  void OnStore(MonoTime now, bool up);
  void OnTimer(MonoTime now, ZoneOutput* output);

  std::optional<MonoTime> next_timer() const;
  ZoneUse use(const ZoneId& zone) const;
  /// True if this gateway's own zone is out, so that it answers not ready.
  bool own_zone_out() const { return !use(zone_).usable; }
  std::vector<UnrecordedZone> unrecorded() const;

 private:
  struct Track {
    explicit Track(const StateChart& chart) : machine(chart) {}
    StateChart::Machine machine;
    ZoneState recorded = ZoneState::kIn;
    ConfigVersion version;  ///< That last changed the recorded state.
    std::optional<UnrecordedZone> decision;
    bool own_decision = false;
    double share = 1.0;
    MonoTime next_step;
    ZoneEvidence evidence;  ///< Since the last step.
    ZoneUse reported;
  };

  Track& At(const ZoneId& zone);
  void Settle(MonoTime now, const ZoneId& zone, Track* track, ZoneOutput* output);
  static void Fire(MonoTime now, const std::string& event, Track* track);
  static void Step(MonoTime now, Track* track);
  static ZoneUse UseOf(const Track& track);

  ZoneId zone_;
  StateChart chart_;
  std::map<ZoneId, Track> tracks_;
  std::optional<MonoTime> store_up_since_;
  MonoTime next_repeat_;
};

}  // namespace jd
