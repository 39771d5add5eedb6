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
#include "cluster/view_announcer.h"
#include "common/ids.h"
#include "common/units.h"
#include "common/vm_list.h"

namespace jd {

enum class MemberState : uint8_t {
  kUnknown,  ///< In the VM list or a seed, but no heartbeat has arrived yet.
  kOneWay,   ///< Its heartbeats arrive, but echo no recent heartbeat of this gateway.
  kLive,     ///< Heartbeats arrive in both directions.
  kSuspect,  ///< Silent for 3 heartbeats (600 ms by default); may still own pools.
  kLeaving,  ///< Has announced that it is shutting down.
  kDead,     ///< Silent for 5 heartbeats (1,000 ms by default).
};

/// What this gateway knows about a peer.
struct Member {
  GatewayId id;
  ZoneId zone;
  std::string address;
  uint16_t port = 0;
  Incarnation incarnation;
  ConfigVersion version;
  bool ready = false;
  bool can_own = true;   ///< Has a configuration, and so may own pools.
  bool leaving = false;  ///< Has announced that it is shutting down.
  bool listed = false;   ///< Is in the latest VM list.
  MemberState state = MemberState::kUnknown;
  bool counted_live = false;  ///< Is among the gateways that can own pools.
  MonoTime last_heard;        ///< Arrival time of its latest heartbeat, by the local clock.
  MonoTime last_sent;         ///< Send time of that heartbeat, by the peer's clock.
  MonoTime last_echo;  ///< Latest send time of an own heartbeat that it echoed, by the local clock.
  bool echoed = false;  ///< `last_echo` has been set since this process started or last paused.
  uint64_t view_generation = 0;         ///< Of the view that its latest heartbeat names.
  GatewayViewPtr view;                  ///< That view; null until it has arrived.
  MonoTime connected;                   ///< When the connection to it was last opened or replaced.
  int replacements = 0;                 ///< Of the connection, since it last echoed a heartbeat.
  uint64_t view_settled = 0;            ///< Latest of its views that it says is settled.
  std::vector<GatewayHash> unreleased;  ///< Owners that may still count its support.
  uint64_t view_echoed = 0;             ///< Generation of the own view that it has received last.
};

/// A change of a peer's state. A restart of the peer is reported even if its state stays the same.
struct MemberChange {
  GatewayId id;
  MemberState state = MemberState::kUnknown;
  bool restarted = false;
};

/// The effects of a call of Membership that the caller must carry out.
struct MembershipOutput {
  std::vector<std::pair<GatewayId, Heartbeat>> heartbeats;
  std::vector<SetPeerAddress> addresses;
  std::vector<ReplacePeerConnection> replacements;
  std::vector<MemberChange> changes;
};

/// The status of this gateway that its heartbeats announce to the peers.
struct OwnStatus {
  ConfigVersion version;
  bool ready = false;
  /// False until this gateway has a configuration, without which it cannot lend slots.
  bool can_own = true;
};

/// One gateway's view of its peers, design section 3.7. Whether a peer is live depends only on its
/// heartbeats. The VM list adds peers, and a dead peer is removed only if it is not in the list.
class Membership {
 public:
  /// Number of heartbeat intervals without a message after which a peer is suspect or dead.
  static constexpr int kSuspectAfterHeartbeats = 3;
  static constexpr int kDeadAfterHeartbeats = 5;
  /// Number of heartbeat intervals without any event after which this process counts as having been
  /// paused. A lower limit would mistake an ordinary scheduling delay for a pause.
  static constexpr int kPausedAfterHeartbeats = 3;
  /// Number of heartbeat intervals in which live peers show that they receive the heartbeats of a
  /// process that has started.
  static constexpr int kHeardAfterHeartbeats = 2;
  /// How often the time doubles after which the connection to a peer is replaced again.
  static constexpr int kMaxReplacementDoublings = 3;
  /// Heartbeats with news of views are sent at most this many times as often as others.
  static constexpr int kMaxViewNewsFactor = 4;
  /// From this number of peers on, news of views wait for the next heartbeat: a change then
  /// concerns a small part of the pools, and heartbeats to all peers cost more.
  static constexpr int kPeersWithoutEarlyNews = 64;

  /// Longest interval between heartbeats that announce views: an issuer that is gone or cut off is
  /// replaced once its supports have ended.
  static constexpr Duration kLongestHeartbeatWithViews = 300ms;

  explicit Membership(NodeSettings settings);

  /// Returns for how long an issuer counts a support without a new echo, the same in all gateways.
  /// @param heartbeat the interval in the settings.
  static Duration SupportLifetime(Duration heartbeat);

  /// Starts to send heartbeats to the seeds.
  void Start(MonoTime now, MembershipOutput* output);
  void OnTimer(MonoTime now, MembershipOutput* output);
  /// Updates a peer from its heartbeat. A heartbeat of an earlier incarnation, or one that was sent
  /// before the latest, is ignored.
  void OnHeartbeat(MonoTime now,
                   const GatewayId& from,
                   Incarnation incarnation,
                   const Heartbeat& heartbeat,
                   MembershipOutput* output);
  /// Adds the gateways in the VM list as peers, and removes dead peers that are not in the list. A
  /// list without any gateway is ignored.
  void OnVmList(MonoTime now, const VmList& vms, MembershipOutput* output);
  /// Announces to all peers at once that this gateway is shutting down.
  void Leave(MonoTime now, MembershipOutput* output);
  /// Sets the status that the next heartbeats announce.
  void SetOwnStatus(const OwnStatus& self);

  MonoTime next_timer() const;
  /// Returns whether the view may be used to derive the ownership of pools. After a start or a
  /// pause of this process it is false, until for each peer heartbeats arrive in both directions,
  /// or the peer is leaving or has been silent long enough to be dead.
  bool fresh() const { return fresh_; }
  bool leaving() const { return leaving_; }
  /// Returns the gateways that may own pools, including this one, ordered by id; empty while
  /// fresh() is false.
  const std::vector<GatewayId>& owner_candidates() const;
  /// Returns the gateways that may issue quotas, as above, but also soon after a start: peers that
  /// do not run are not waited for, because an issuer without support issues nothing.
  const std::vector<GatewayId>& IssuerCandidates(MonoTime now) const;
  /// Lets the heartbeats announce the issuer candidates from now on, as when a peer does.
  void AnnounceViews(MonoTime now);
  /// What the heartbeats announce of the issuer candidates.
  const ViewAnnouncer& views() const { return views_; }
  /// Returns the gateways among which the reserved slots are divided, ordered by id: those in the
  /// latest VM list, or this gateway and the seeds if no list has been read yet.
  const std::vector<GatewayId>& roster() const { return roster_; }
  const std::map<GatewayId, Member>& members() const { return members_; }
  /// Returns the ready peer whose heartbeat arrived last, or nothing if none was heard.
  std::optional<GatewayId> LastHeard() const;
  /// Returns whether a message with this incarnation comes from an earlier process of the gateway
  /// than the latest one known.
  bool IsOutdated(const GatewayId& from, Incarnation incarnation) const;

 private:
  /// Returns the interval between the heartbeats, which is at most `kLongestHeartbeatWithViews`
  /// while they announce views.
  Duration heartbeat() const;
  Duration dead_after() const { return heartbeat() * kDeadAfterHeartbeats; }
  Duration suspect_after() const { return heartbeat() * kSuspectAfterHeartbeats; }
  /// Marks the view as not fresh if no event has been handled for several heartbeat intervals.
  void DetectPause(MonoTime now);
  /// Updates the state of every peer and reports the changes.
  void UpdateStates(MonoTime now, MembershipOutput* output);
  MemberState StateOf(MonoTime now, const Member& member) const;
  void SendHeartbeats(MonoTime now, MembershipOutput* output);
  /// Replaces the connection to a peer that has not echoed a heartbeat for as long as a dead peer
  /// is silent: no message may arrive over it, while a new connection works. A peer that does not
  /// run looks alike, so the time doubles until the peer echoes again.
  void ReplaceSilentConnection(MonoTime now, Member* member, MembershipOutput* output) const;
  /// Returns whether a peer can own pools and is heard in both directions.
  static bool IsLive(const Member& member);
  void UpdateLiveGateways();
  /// Makes the current issuer candidates the announced view.
  void UpdateAnnouncedView(MonoTime now);
  /// Notes that this process is known as soon as each listed peer has echoed a heartbeat of it.
  void CheckFormerProcessForgotten();
  /// Updates what is known of a peer's view from its heartbeat.
  void UpdateViewOf(const Heartbeat& heartbeat, Member* member);
  /// Returns when the next heartbeats are due: earlier than usual if they have news of views.
  MonoTime next_heartbeat() const;
  void SetAddress(Member* member,
                  const std::string& address,
                  uint16_t port,
                  MembershipOutput* output) const;
  /// Removes silent peers that are not in the VM list.
  void RemoveUnlistedPeers(MembershipOutput* output);

  NodeSettings settings_;
  OwnStatus own_status_;
  bool leaving_ = false;
  bool fresh_ = false;
  MonoTime resumed_at_;  ///< When the process started, or its last pause ended.
  MonoTime last_event_;  ///< Time of the latest event; a long gap shows a pause.
  MonoTime next_heartbeat_;
  std::map<GatewayId, Member> members_;
  std::vector<GatewayId> live_;  ///< Gateways, with this one, that can own pools, ordered by id.
  std::map<GatewayId, bool> awaited_peers_;  ///< Peers that fresh() still waits for.
  const std::vector<GatewayId> no_gateways_;
  std::vector<GatewayId> roster_;
  bool has_vm_list_ = false;   ///< A VM list has been read.
  bool known_to_all_ = false;  ///< Each listed peer has echoed a heartbeat of this process.
  bool announces_views_ = false;
  bool has_view_news_ = false;  ///< The next heartbeats announce, confirm or settle a view.
  MonoTime last_heartbeats_;
  ViewAnnouncer views_;
};

}  // namespace jd
