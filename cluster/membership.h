#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/node_action.h"
#include "cluster/node_settings.h"
#include "cluster/peer_message.h"
#include "common/ids.h"
#include "common/units.h"
#include "common/vm_list.h"

namespace jd {

enum class MemberState : uint8_t {
  kUnknown,  ///< Listed or a seed, not heard from yet.
  kOneWay,   ///< Heard from, but it has not shown that it hears this gateway.
  kLive,     ///< Heard from in both directions.
  kSuspect,  ///< Silent for 600 ms; still counts for ownership.
  kLeaving,  ///< Announced that it leaves.
  kDead,     ///< Silent for 1,000 ms.
};

/// What one gateway knows of a peer.
struct Member {
  GatewayId id;
  ZoneId zone;
  std::string address;
  uint16_t port = 0;
  Incarnation incarnation;
  ConfigVersion version;
  bool ready = false;
  bool can_own = true;
  bool leaving = false;
  bool listed = false;  ///< In the latest VM list.
  MemberState state = MemberState::kUnknown;
  MonoTime heard;       ///< Own clock, when its latest heartbeat arrived.
  MonoTime sent;        ///< Its clock, send time of that heartbeat.
  MonoTime echo;        ///< Own clock, latest own send time that it echoed.
  bool echoed = false;  ///< `echo` was set since the start or the last pause.
};

/// A peer's change of state; a new incarnation is reported even if the state stays the same.
struct MemberChange {
  GatewayId id;
  MemberState state = MemberState::kUnknown;
  bool restarted = false;
};

/// What a step of Membership asks of its caller.
struct MembershipOutput {
  std::vector<std::pair<GatewayId, Heartbeat>> heartbeats;
  std::vector<SetPeerAddress> addresses;
  std::vector<MemberChange> changes;
};

/// What this gateway tells peers of itself.
struct SelfState {
  ConfigVersion version;
  bool ready = false;
  bool can_own = true;  ///< False until this gateway has a configuration to lend from.
};

/// One gateway's view of its peers, design section 3.7. Heartbeats alone decide liveness; the VM
/// list adds peers and confirms the removal of dead ones.
class Membership {
 public:
  /// Silence, in heartbeats, after which a peer is suspect and dead.
  static constexpr int kSuspectHeartbeats = 3;
  static constexpr int kDeadHeartbeats = 5;
  /// Three missed timers; a shorter limit would take an ordinary scheduling delay for a pause.
  static constexpr int kPauseHeartbeats = 3;

  explicit Membership(NodeSettings settings);

  void Start(MonoTime now, MembershipOutput* output);
  void OnTimer(MonoTime now, MembershipOutput* output);
  /// Takes a peer's heartbeat; one of a lower incarnation, or older than the latest, is ignored.
  void OnHeartbeat(MonoTime now,
                   const GatewayId& from,
                   Incarnation incarnation,
                   const Heartbeat& heartbeat,
                   MembershipOutput* output);
  void OnVmList(MonoTime now, const VmList& vms, MembershipOutput* output);
  /// Announces at once that this gateway leaves.
  void Leave(MonoTime now, MembershipOutput* output);
  void SetSelf(const SelfState& self) { self_ = self; }

  MonoTime next_timer() const;
  /// False from the start, or from a pause of this process, until each awaited peer has been heard
  /// in both directions or is dead. Meanwhile no ownership may be derived from the view.
  bool fresh() const { return fresh_; }
  bool leaving() const { return leaving_; }
  /// Gateways that may own pools, this one included, in order of id; empty while not fresh().
  std::vector<GatewayId> owners() const;
  /// Gateways that reserves are divided over, in order of id: the latest VM list, or before any
  /// list this gateway and the seeds.
  std::vector<GatewayId> roster() const;
  const std::map<GatewayId, Member>& members() const { return members_; }
  /// Returns whether a message of this incarnation comes from an outdated process.
  bool IsOutdated(const GatewayId& from, Incarnation incarnation) const;

 private:
  Duration dead_after() const { return settings_.heartbeat * kDeadHeartbeats; }
  Duration suspect_after() const { return settings_.heartbeat * kSuspectHeartbeats; }
  void NoticePause(MonoTime now);
  void Evaluate(MonoTime now, MembershipOutput* output);
  MemberState StateOf(MonoTime now, const Member& member) const;
  void SendHeartbeats(MonoTime now, MembershipOutput* output);
  void SetAddress(Member* member,
                  const std::string& address,
                  uint16_t port,
                  MembershipOutput* output) const;
  void Forget(MembershipOutput* output);

  NodeSettings settings_;
  SelfState self_;
  bool leaving_ = false;
  bool fresh_ = false;
  MonoTime resumed_;  ///< Start or end of the last pause.
  MonoTime last_event_;
  MonoTime next_heartbeat_;
  std::map<GatewayId, Member> members_;
  std::map<GatewayId, bool> awaited_;  ///< Peers that must be heard before the view is fresh.
  std::vector<GatewayId> roster_;
  bool has_list_ = false;
};

}  // namespace jd
