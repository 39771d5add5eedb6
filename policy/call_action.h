#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "common/configuration.h"
#include "common/event_ring.h"
#include "common/ids.h"
#include "common/units.h"
#include "policy/crash_evidence.h"
#include "policy/refusal.h"

namespace jd {

/// Sends the call's request to an endpoint. The event loop reports exactly one AttemptResult for
/// each attempt, even after CancelAttempt.
struct SendAttempt {
  CallId call;
  AttemptId attempt;
  EndpointId endpoint;
  Duration timeout{0};      ///< Sent to the upstream and enforced by the event loop.
  bool idempotent = false;  ///< The call may run again.
  /// The workspace that the caller's key belongs to, empty for a call without one on a public
  /// route. Absent if callers are not identified by keys; the request is then passed on as it came.
  std::optional<WorkspaceId> workspace = {};
};

/// Cancels an attempt: the event loop closes its connection, so a late answer is not delivered.
struct CancelAttempt {
  AttemptId attempt;
};

/// Relays the attempt's complete response to the caller and ends the call.
struct AnswerCall {
  CallId call;
  AttemptId attempt;
  /// Whether the response must also be passed to Node::OnCallAnswered, which stores it under the
  /// request key.
  bool keyed = false;
};

/// Answers the caller with a refusal and ends the call.
struct RefuseCall {
  CallId call;
  Refusal refusal;
};

/// Closes the idle connections to an endpoint that were opened before `opened_before`, because a
/// device on the network path has lost their state. A connection in use may still work, so it is
/// closed only if its attempt was sent before `sent_before`, no byte of the response has arrived,
/// and the call can be sent again.
struct CloseConnections {
  EndpointId endpoint;
  MonoTime opened_before;
  MonoTime sent_before;
};

/// Sends a probe to an endpoint's health page. The event loop reports exactly one ProbeResult.
struct SendProbe {
  EndpointId endpoint;
  Duration timeout{0};
};

/// Requests a permit to send a call to an endpoint that names a limit for all gateways together.
/// The decision is passed to Dispatcher::OnPermitDecision.
struct RequestPermit {
  CallId call;
  EndpointId endpoint;
  CallRate limit;  ///< As the endpoint names it to this gateway.
  Priority priority = Priority::kNormal;
};

/// Adds an event to the gateway's timeline and writes it to the log. The receiver fills in the
/// timestamp and the gateway.
struct RecordEvent {
  Event event;
};

/// Announces to the peer gateways that a request crashes upstreams.
struct AnnounceCrash {
  Fingerprint fingerprint;
};

/// Tells the peer gateways what this one has seen of requests that may crash upstreams.
struct TellCrashEvidence {
  CrashEvidence evidence;
};

/// An effect that the event loop must carry out for a call.
using CallAction = std::variant<SendAttempt,
                                CancelAttempt,
                                AnswerCall,
                                RefuseCall,
                                CloseConnections,
                                SendProbe,
                                RequestPermit,
                                RecordEvent,
                                AnnounceCrash,
                                TellCrashEvidence>;
using CallActions = std::vector<CallAction>;

}  // namespace jd
