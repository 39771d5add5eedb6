#pragma once

#include <deque>
#include <unordered_map>

#include "common/ids.h"
#include "common/units.h"
#include "policy/call_action.h"

namespace jd {

/// An attempt whose time limit passed without a byte of response on its connection.
struct SilentAttempt {
  EndpointId endpoint;
  MonoTime sent;
  MonoTime connection_opened;
  bool new_connection = false;  ///< Opened for this attempt.
};

/// Tells connections that went silent, because something between the two ends has lost track of
/// them, from an endpoint that is silent itself (design, section 3.4).
class SilentConnections {
 public:
  /// A wait shorter than this many times the endpoint's usual latency is no silence: a caller with
  /// a short deadline must not close connections that others use.
  static constexpr int kMinWaitFactor = 3;

  void OnAnswered(MonoTime now,
                  const EndpointId& endpoint,
                  MonoTime connection_opened,
                  Duration latency);
  /// Closes the connections of the endpoint that are likely silent too: those older than every
  /// connection that answered since the attempt was sent, or, if none did, older than the last one
  /// that answered. A connection that has answered since the attempt was sent is known to work. One
  /// in use is closed only if its own attempt has been silent for longer than kMinWaitFactor times
  /// the usual latency, since it may carry an order that is running.
  /// @return whether the endpoint itself is to blame, because a new connection was silent too.
  bool OnSilent(MonoTime now, const SilentAttempt& attempt, CallActions* actions);
  /// Returns whether OnSilent closed the connection of an attempt lately, so that its loss says
  /// nothing about the endpoint or the request.
  bool ClosedHere(MonoTime now,
                  const EndpointId& endpoint,
                  MonoTime connection_opened,
                  MonoTime sent) const;
  /// Forgets an endpoint that has left the configuration.
  void RemoveEndpoint(const EndpointId& endpoint) { answers_.erase(endpoint); }

 private:
  struct Answer {
    MonoTime at;
    MonoTime opened;
  };
  struct Answered {
    /// An entry with an earlier answer and a later opening than the next never decides and is
    /// dropped, so that openings rise with time.
    std::deque<Answer> latest;
    Duration latency{0};     ///< Smoothed.
    MonoTime closed_at;      ///< When connections were last closed.
    MonoTime closed_before;  ///< Those opened before this time; the epoch if none were.
    MonoTime sent_before;    ///< Those in use by attempts sent before this time.
  };
  std::unordered_map<EndpointId, Answered> answers_;
};

}  // namespace jd
