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
/// An upstream or zone that dies on its own also loses connections. Three rules keep the requests
/// running there from being blocked: an attempt sent before the first loss does not confirm it,
/// unless it belongs to the same call; an answer clears the suspicion; and if other requests lost
/// connections within kWindow, a request is blocked only if it is the only one that lost its
/// connection repeatedly, which is decided kSettle later.
class CrashGuard {
 public:
  static constexpr Duration kLifetime = 10min;
  static constexpr Duration kWindow = 1s;
  /// Connections of a dying process are reported within this time of each other.
  static constexpr Duration kSettle = 100ms;
  /// Bounds the memory; the oldest entry is dropped.
  static constexpr size_t kMaxEntries = 4096;

  void OnConnectionLost(MonoTime now, const ConnectionLoss& loss);
  /// An upstream answered the request completely.
  void OnAnswered(Fingerprint fingerprint) { suspects_.erase(fingerprint); }
  void AddFromPeer(MonoTime now, Fingerprint fingerprint);
  /// Takes the decisions that are due. @return fingerprints blocked since the last call, which the
  /// peers must be told about.
  std::vector<Fingerprint> TakeFound(MonoTime now);

  bool Blocks(MonoTime now, Fingerprint fingerprint) const;
  /// Returns when TakeFound is due next, or nothing.
  std::optional<MonoTime> next_timer() const;
  /// Returns the number of fingerprints kept, blocked and suspected.
  size_t size() const { return suspects_.size() + blocked_.size(); }

 private:
  struct Suspect {
    MonoTime lost;
    CallId call;
    ServiceId service;
    EndpointId endpoint;
    bool alone = true;  ///< No other request of the service lost a connection within kWindow.
  };
  struct RecentLoss {
    MonoTime lost;
    Fingerprint fingerprint;
    ServiceId service;
    bool repeated = false;
  };
  struct Candidate {
    MonoTime due;
    Fingerprint fingerprint;
    ServiceId service;
  };

  static bool Confirms(const Suspect& suspect, const ConnectionLoss& loss);
  /// Records the loss. @return whether no other request of the service lost a connection lately.
  bool AddRecent(MonoTime now, const ConnectionLoss& loss, bool repeated);
  void Block(MonoTime now, Fingerprint fingerprint);
  void Settle(MonoTime now, const Candidate& candidate);

  std::unordered_map<Fingerprint, Suspect> suspects_;
  std::unordered_map<Fingerprint, MonoTime> blocked_;  ///< Since when.
  std::deque<RecentLoss> recent_;
  std::deque<Candidate> candidates_;
  std::vector<Fingerprint> found_;
};

}  // namespace jd
