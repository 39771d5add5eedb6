#pragma once

#include <cstdint>
#include <vector>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// What one gateway needs of the quota of a workspace. A token is the right to send one call.
struct QuotaDemand {
  WorkspaceId workspace;
  int32_t needed = 0;  ///< Calls that wait for a token.
  int32_t ahead = 0;   ///< Tokens for the calls that are expected soon.
  /// Unused tokens that the gateway gives back; negative: attempts sent without a token.
  int32_t returned = 0;
  bool operator==(const QuotaDemand&) const = default;
};

/// Requests tokens from the gateway that issues them.
struct QuotaRequest {
  GatewayId requester;  ///< Gateway that gets the grant.
  MonoTime sent;        ///< By the requester's clock; echoed in the grant.
  std::vector<QuotaDemand> demands;
  bool relayed = false;  ///< Another gateway than the requester has passed the request on.
  /// The requester is an issuer that borrows from the issuer of another zone: `needed` here and
  /// `granted` in the reply are in thousandths of a token.
  bool transfer = false;
  bool operator==(const QuotaRequest&) const = default;
};

/// The part of a grant for one workspace.
struct QuotaLease {
  WorkspaceId workspace;
  int32_t needed = 0;   ///< `needed` of the demand that this answers.
  int32_t granted = 0;  ///< Tokens.
  /// If less than `needed` was granted: when the next token is expected.
  Duration retry_after{0};
  bool operator==(const QuotaLease&) const = default;
};

/// The reply to a QuotaRequest.
struct QuotaGrant {
  MonoTime request_sent;  ///< `sent` of the request.
  std::vector<QuotaLease> leases;
  bool transfer = false;
  bool operator==(const QuotaGrant&) const = default;
};

}  // namespace jd
