#pragma once

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// A connection that ended after a request was written to it and before the response was complete.
struct ConnectionLoss {
  Fingerprint fingerprint;
  CallId call;
  ServiceId service;
  EndpointId endpoint;
  MonoTime sent;  ///< When the attempt was sent.
  bool idempotent = false;
};

/// Recognises requests that crash upstreams (design, section 3.4): a request is blocked after two
/// attempts ended with a lost connection, at different endpoints or, if it is not idempotent, in
/// different calls.
///
/// Connections are also lost when an upstream or zone fails for another reason. Three rules keep
/// the requests that were running there from being blocked:
/// - An attempt that was sent before the first loss does not confirm that the request crashes
///   upstreams, unless it belongs to the same call.
/// - A complete answer clears the suspicion.
/// - If other requests of the service lost connections within kLossWindow, a request is blocked
///   only if no other one lost its connection repeatedly. This is decided after kDecisionDelay.
class CrashGuard {
 public:
  /// How long a request stays blocked or suspected.
  static constexpr Duration kEntryLifetime = 10min;
  /// Losses of different requests within this time may have the same cause.
  static constexpr Duration kLossWindow = 1s;
  /// Delay of an ambiguous decision. The connection losses of a crashing process are all reported
  /// within this time.
  static constexpr Duration kDecisionDelay = 100ms;
  /// Maximum number of entries in each table, to limit memory; the oldest entry is removed.
  static constexpr size_t kMaxEntries = 4096;

  /// Records the loss, and blocks the request if it is now confirmed to crash upstreams.
  void OnConnectionLost(MonoTime now, const ConnectionLoss& loss);
  /// Clears the suspicion against a request that an upstream answered completely.
  void OnAnswered(Fingerprint fingerprint) { suspects_.erase(fingerprint); }
  /// Blocks a request that a peer gateway found to crash upstreams.
  void BlockFromPeer(MonoTime now, Fingerprint fingerprint);
  /// Makes the delayed decisions that are due.
  /// @return the fingerprints blocked since this function was last called, which must be announced
  /// to the peers.
  std::vector<Fingerprint> TakeNewlyBlocked(MonoTime now);

  bool Blocks(MonoTime now, Fingerprint fingerprint) const;
  /// Returns when TakeNewlyBlocked must be called next, or nothing if no decision is pending.
  std::optional<MonoTime> next_timer() const;
  /// Returns the number of stored fingerprints, blocked and suspected.
  size_t size() const { return suspects_.size() + blocked_.size(); }

 private:
  /// A request that lost a connection once; a confirming loss blocks it.
  struct Suspect {
    MonoTime lost;
    CallId call;
    ServiceId service;
    EndpointId endpoint;
    /// No other request of the service lost a connection within kLossWindow.
    bool only_loss = true;
  };
  struct RecentLoss {
    MonoTime lost;
    Fingerprint fingerprint;
    ServiceId service;
    bool repeated = false;  ///< The loss confirmed an earlier one of the same request.
  };
  /// A request whose connection was lost repeatedly while others lost theirs too; decided at `due`.
  struct Candidate {
    MonoTime due;
    Fingerprint fingerprint;
    ServiceId service;
  };

  /// Returns whether a second loss confirms that the suspect crashes upstreams.
  static bool Confirms(const Suspect& suspect, const ConnectionLoss& loss);
  /// Records a loss.
  /// @return whether no other request of the service lost a connection within kLossWindow.
  bool AddRecentLoss(MonoTime now, const ConnectionLoss& loss, bool repeated);
  void Block(MonoTime now, Fingerprint fingerprint);
  /// Blocks a candidate unless another request of the service also lost connections repeatedly.
  void DecideCandidate(MonoTime now, const Candidate& candidate);

  std::unordered_map<Fingerprint, Suspect> suspects_;
  std::unordered_map<Fingerprint, MonoTime> blocked_;  ///< When each was blocked.
  std::deque<RecentLoss> recent_;
  std::deque<Candidate> candidates_;
  std::vector<Fingerprint> newly_blocked_;  ///< Blocked here and not yet announced.
};

}  // namespace jd
