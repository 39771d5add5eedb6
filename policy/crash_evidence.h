#pragma once

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
  GatewayId gateway = {};  ///< The gateway that has the call; empty: this one.
  bool operator==(const ConnectionLoss&) const = default;
};

/// A connection loss, and when it was seen.
struct ObservedLoss {
  ConnectionLoss loss;
  MonoTime lost;
  bool operator==(const ObservedLoss&) const = default;
};

/// A request that crashes upstreams, and since when it is blocked.
struct BlockedRequest {
  Fingerprint fingerprint;
  MonoTime since;
  bool operator==(const BlockedRequest&) const = default;
};

/// What one gateway tells the others about requests that may crash upstreams. All times are by the
/// sender's clock.
struct CrashEvidence {
  std::vector<ObservedLoss> losses;
  std::vector<Fingerprint> answered;    ///< Suspected requests that were answered completely.
  std::vector<BlockedRequest> blocked;  ///< Only in the message to a gateway that starts.
  MonoTime told;                        ///< The sender's present time.

  bool empty() const { return losses.empty() && answered.empty() && blocked.empty(); }
  bool operator==(const CrashEvidence&) const = default;
};

}  // namespace jd
