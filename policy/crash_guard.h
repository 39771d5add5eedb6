#pragma once

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "common/units.h"
#include "policy/crash_evidence.h"

namespace jd {

/// Recognises requests that crash upstreams (design, section 3.4): a request is blocked after two
/// attempts of any gateways ended with a lost connection, at different endpoints or, if it is not
/// idempotent, in different calls.
///
/// Connections are also lost when an upstream or zone fails for another reason. Three rules keep
/// the requests that were running there from being blocked:
/// - An attempt that was sent before the first loss does not confirm that the request crashes
///   upstreams, unless it belongs to the same call.
/// - A complete answer clears the suspicion.
/// - If other requests of the service lost connections within kLossWindow, a request is blocked
///   only if no other one lost its connection repeatedly. This is decided after kDecisionDelay.
///   Several requests that crash upstreams may come together: a few that were lost again, each at
///   another endpoint, longer than kLossWindow after their first loss, are blocked all the same.
///
/// What one gateway sees is told to the others, which decide from the same losses.
class CrashGuard {
 public:
  /// How long a request stays blocked or suspected.
  static constexpr Duration kEntryLifetime = 10min;
  /// Losses of different requests within this time may have the same cause.
  static constexpr Duration kLossWindow = 1s;
  /// Delay of an ambiguous decision, and of every decision of a gateway with peers. The connection
  /// losses of a crashing process are all reported within this time, also by the peers.
  static constexpr Duration kDecisionDelay = 150ms;
  /// Maximum number of entries in each table, to limit memory; the oldest entry is removed.
  static constexpr size_t kMaxEntries = 4096;
  /// If more requests than this lost connections repeatedly at once, the cause lies elsewhere.
  static constexpr size_t kMaxCrashingTogether = 4;
  /// Time between a loss and the message to the peers, so that one message tells all losses of a
  /// crashing process.
  static constexpr Duration kTellDelay = 20ms;
  /// Shortest time between two messages to the peers, and after a message with the maximum number
  /// of losses. Many losses are seen only when many upstreams fail, and then block nothing.
  static constexpr Duration kTellInterval = 100ms;
  static constexpr Duration kTellIntervalAfterFull = 1s;
  /// Maximum number of losses, and of answered requests, in one message.
  static constexpr size_t kMaxToldAtOnce = 8;
  /// Maximum number of entries of each kind in the message to a gateway that starts.
  static constexpr size_t kMaxToldAtStart = 256;

  /// Sets whether other gateways tell what they see; every decision then waits for them.
  void SetHasPeers(bool has_peers) { has_peers_ = has_peers; }
  /// Records the loss, and blocks the request if it is now confirmed to crash upstreams.
  void OnConnectionLost(MonoTime now, const ConnectionLoss& loss);
  /// Clears the suspicion against a request that an upstream answered completely.
  void OnAnswered(MonoTime now, Fingerprint fingerprint);
  /// Records what a peer has seen.
  void OnPeerEvidence(MonoTime now, const CrashEvidence& evidence);
  /// Blocks a request that a peer gateway found to crash upstreams.
  void BlockFromPeer(MonoTime now, Fingerprint fingerprint);
  /// Makes the delayed decisions that are due.
  /// @return the fingerprints blocked since this function was last called, which must be announced
  /// to the peers.
  std::vector<Fingerprint> TakeNewlyBlocked(MonoTime now);
  /// Returns what the peers must be told now; empty if there is nothing or it is too early.
  CrashEvidence TakeEvidence(MonoTime now);
  /// Returns what is blocked and suspected, for a gateway that starts.
  CrashEvidence Snapshot(MonoTime now) const;

  bool Blocks(MonoTime now, Fingerprint fingerprint) const;
  /// Returns when TakeNewlyBlocked and TakeEvidence must be called next, or nothing if no decision
  /// and no message is pending.
  std::optional<MonoTime> next_timer() const;
  /// Returns the number of stored fingerprints, blocked and suspected.
  size_t size() const { return suspects_.size() + blocked_.size(); }

 private:
  /// A request that lost a connection once; a confirming loss blocks it.
  struct Suspect {
    ObservedLoss first;
    /// No other request of the service lost a connection within kLossWindow.
    bool only_loss = true;
  };
  struct RecentLoss {
    MonoTime lost;
    Fingerprint fingerprint;
    ServiceId service;
    EndpointId endpoint;
    bool repeated = false;  ///< The loss confirmed an earlier one of the same request.
  };
  /// A request whose connection was lost repeatedly while others lost theirs too; decided at `due`.
  struct Candidate {
    MonoTime due;
    Fingerprint fingerprint;
    ServiceId service;
    EndpointId endpoint;    ///< Of the latest loss.
    bool separate = false;  ///< The latest loss came longer than kLossWindow after the first one.
    bool announce = false;  ///< This gateway saw the latest loss, so it tells the peers.
  };

  /// Returns whether a second loss confirms that the suspect crashes upstreams.
  static bool Confirms(const ObservedLoss& first, const ConnectionLoss& loss);
  /// Records a loss that this gateway or, if `from_peer`, another one has seen.
  void RecordLoss(MonoTime now, const ObservedLoss& observed, bool from_peer);
  /// Records a loss among the recent ones.
  /// @return whether no other request of the service lost a connection within kLossWindow.
  bool AddRecentLoss(const ObservedLoss& observed, bool repeated);
  /// @param announce whether the peers must be told.
  void Block(MonoTime now, Fingerprint fingerprint, bool announce);
  /// Returns where an entry to be told to the peers is added.
  CrashEvidence& Untold(MonoTime now);
  /// Blocks a candidate unless the losses have another cause.
  void DecideCandidate(MonoTime now, const Candidate& candidate);
  /// Returns whether the losses that other requests of the service had repeatedly at the same time
  /// may have the same cause as those of the candidate.
  bool HasOtherCause(const Candidate& candidate) const;

  std::unordered_map<Fingerprint, Suspect> suspects_;
  std::unordered_map<Fingerprint, MonoTime> blocked_;  ///< When each was blocked.
  std::deque<RecentLoss> recent_;
  std::deque<Candidate> candidates_;
  std::vector<Fingerprint> newly_blocked_;  ///< Blocked here and not yet announced.
  bool has_peers_ = false;
  CrashEvidence untold_;  ///< Seen here and not yet told to the peers.
  MonoTime next_tell_;    ///< Earliest time of the next message to the peers.
};

}  // namespace jd
