#pragma once

#include "cluster/peer_message.h"
#include "jackdawdeck_types.h"

namespace jd {

// The encoding of what gateways tell each other about upstreams: which ones leave, and which
// requests crash them.

wire::EndpointStatement StatementToWire(const EndpointStatement& in);
EndpointStatement StatementFromWire(const wire::EndpointStatement& in);
wire::CrashEvidence EvidenceToWire(const CrashEvidence& in);
CrashEvidence EvidenceFromWire(const wire::CrashEvidence& in);

}  // namespace jd
