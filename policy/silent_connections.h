#pragma once

#include <deque>
#include <unordered_map>

#include "common/ids.h"
#include "common/units.h"
#include "policy/call_action.h"

namespace jd {

/// An attempt that timed out without a byte of response on its connection.
struct SilentAttempt {
  EndpointId endpoint;
  MonoTime sent_at;
  MonoTime connection_opened;
  bool new_connection = false;  ///< The connection was opened for this attempt.
};

/// Decides whether an attempt without a response is the fault of its connection or of the endpoint
/// (design, section 3.4). A connection is called silent if it delivers nothing although it is still
/// open, for example because a firewall or NAT on the path has dropped its state.
class SilentConnections {
 public:
  /// An attempt counts as silent only after this many times the endpoint's smoothed latency, so
  /// that a call with a short deadline does not close connections that other calls use.
  static constexpr int kMinSilenceFactor = 3;

  /// Records that the endpoint answered on a connection.
  /// @param connection_opened when the connection was opened. @param latency of the answer.
  void OnAnswered(MonoTime now,
                  const EndpointId& endpoint,
                  MonoTime connection_opened,
                  Duration latency);
  /// Handles an attempt that timed out without a response: adds a CloseConnections action for the
  /// connections of the endpoint that are probably silent as well. A connection that has answered
  /// since the attempt was sent is known to work. Therefore the action closes connections older
  /// than all those that have answered since then or, if none has, older than the connection of the
  /// latest answer. A connection in use may carry a request that is running, so it is closed only
  /// if its own attempt has had no response for longer than kMinSilenceFactor times the smoothed
  /// latency.
  /// @return whether the endpoint is at fault, because an attempt on a new connection got no
  /// response either.
  bool OnSilentAttempt(MonoTime now, const SilentAttempt& attempt, CallActions* actions);
  /// Returns whether OnSilentAttempt has recently closed the connection of an attempt. The loss of
  /// such a connection is no evidence of a failure of the endpoint or of a harmful request.
  /// @param connection_opened when the connection was opened. @param sent_at when the attempt was
  /// sent.
  bool ClosedByGateway(MonoTime now,
                       const EndpointId& endpoint,
                       MonoTime connection_opened,
                       MonoTime sent_at) const;
  /// Removes the state of an endpoint that has left the configuration.
  void RemoveEndpoint(const EndpointId& endpoint) { endpoints_.erase(endpoint); }

 private:
  struct Answer {
    MonoTime received_at;        ///< When the answer was received.
    MonoTime connection_opened;  ///< When its connection was opened.
  };
  struct EndpointAnswers {
    /// Recent answers, sorted by both times. An answer is removed when a later answer arrives on a
    /// connection that was opened at the same time or earlier, because it can then no longer affect
    /// a decision.
    std::deque<Answer> recent;
    Duration smoothed_latency{0};  ///< Moving average.
    MonoTime closed_at;            ///< When the latest CloseConnections was issued.
    MonoTime opened_before;        ///< Its `opened_before`; the epoch if none was issued.
    MonoTime sent_before;          ///< Its `sent_before`.
  };
  std::unordered_map<EndpointId, EndpointAnswers> endpoints_;
};

}  // namespace jd
