#pragma once

#include <variant>
#include <vector>

#include "common/event_ring.h"
#include "common/ids.h"
#include "common/units.h"
#include "policy/refusal.h"

namespace jd {

/// Sends the call's request to an endpoint. The event loop reports exactly one AttemptResult for
/// it, also after CancelAttempt.
struct SendAttempt {
  CallId call;
  AttemptId attempt;
  EndpointId endpoint;
  Duration timeout{0};  ///< Passed on to the upstream and enforced.
};

/// Gives an attempt up: the event loop closes its connection, so that a late answer reaches nobody.
struct CancelAttempt {
  AttemptId attempt;
};

/// Relays the attempt's whole response to the caller; ends the call.
struct AnswerCall {
  CallId call;
  AttemptId attempt;
  /// The response is also passed to Node::OnCallAnswered, which stores it under the request key.
  bool keyed = false;
};

/// Answers the caller with a refusal; ends the call.
struct RefuseCall {
  CallId call;
  Refusal refusal;
};

/// Closes idle connections to an endpoint that were opened before the given time, because something
/// between the two ends has lost track of them. A connection in use may work, so it is closed only
/// if its attempt was sent before `sent_before` and has not got a byte of response.
struct CloseConnections {
  EndpointId endpoint;
  MonoTime opened_before;
  MonoTime sent_before;
};

/// Asks an endpoint's health page; answered by one ProbeResult.
struct SendProbe {
  EndpointId endpoint;
  Duration timeout{0};
};

/// Adds an event to the process's time line; the stamp and the gateway are filled in by the
/// receiver.
struct RecordEvent {
  Event event;
};

/// Tells the peers that a request crashes upstreams.
struct AnnounceCrash {
  Fingerprint fingerprint;
};

using CallAction = std::variant<SendAttempt,
                                CancelAttempt,
                                AnswerCall,
                                RefuseCall,
                                CloseConnections,
                                SendProbe,
                                RecordEvent,
                                AnnounceCrash>;
using CallActions = std::vector<CallAction>;

}  // namespace jd
