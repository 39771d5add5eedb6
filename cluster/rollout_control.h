#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>

#include "cluster/rollout.h"
#include "cluster/version_rule.h"
#include "common/ids.h"
#include "common/now.h"
#include "policy/rollout_gate.h"

namespace jd {

/// All roll-outs that a gateway takes part in.
class RolloutControl {
 public:
  /// Returns the present situation of a roll-out.
  using SituationSource = std::function<RolloutSituation(const Rollout&)>;

  explicit RolloutControl(RolloutMember self) : self_(std::move(self)) {}

  /// Sets all orders.
  /// @param era era of the store that they were read in. An order that a later era lacks stays.
  void SetOrders(MonoTime now,
                 const std::map<ServiceId, RolloutOrder>& orders,
                 StoreEra era,
                 RolloutGate* gate);
  /// Takes the evidence of another gateway. An order that this gateway has not read yet is taken
  /// from it, so that the ordered version is not used like the others meanwhile.
  void OnEvidence(MonoTime now,
                  const GatewayId& from,
                  Incarnation incarnation,
                  const VersionEvidence& evidence,
                  RolloutOutput* output);
  void OnNotice(const RolloutNotice& notice);
  void OnWriteResult(MonoTime now, const RolloutWriteResult& result, RolloutOutput* output);
  void OnTimer(MonoTime now, const SituationSource& situation, RolloutOutput* output);
  /// Passes the share of each roll-out on to the gate.
  void UpdateGate(MonoTime now, RolloutGate* gate);
  /// Returns the rules for the endpoints of all services that have one.
  std::map<ServiceId, VersionRule> Rules(Now now) const;

  std::optional<MonoTime> next_timer() const;
  const std::map<ServiceId, Rollout>& rollouts() const { return rollouts_; }

 private:
  void Replace(MonoTime now, const RolloutOrder& order);

  RolloutMember self_;
  std::map<ServiceId, Rollout> rollouts_;
  std::map<ServiceId, uint64_t> gate_generations_;  ///< Of the roll-outs that the gate counts for.
  std::map<ServiceId, std::set<SoftwareVersion>> blocked_;
};

}  // namespace jd
