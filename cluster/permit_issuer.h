#pragma once

#include <cstddef>
#include <limits>
#include <map>

#include "cluster/peer_message.h"
#include "common/ids.h"
#include "common/units.h"
#include "policy/permit.h"

namespace jd {

/// Issues the permits for calls to endpoints that name a limit for all gateways together. For each
/// endpoint one gateway issues them, from a token bucket that is refilled at the limit's rate.
///
/// The bucket of an endpoint starts empty, so that a gateway that has just become the issuer does
/// not repeat the permits of its predecessor.
class PermitIssuer {
 public:
  /// Calls beyond the rate that may be permitted at once, besides those that the rate allows in
  /// kBurstPeriod.
  static constexpr double kBurstCalls = 2;
  static constexpr Duration kBurstPeriod = 250ms;
  /// An endpoint that names different limits is held to the lowest one of about this time.
  static constexpr Duration kLowestLimitPeriod = 1s;
  static constexpr Duration kMinRetryAfter = 5ms;
  static constexpr Duration kMaxRetryAfter = 1s;

  /// Decides about one call.
  /// @param share part of the limit that this gateway may issue, from 0 to 1.
  PermitDecision Decide(MonoTime now, const PermitRequest& request, double share);

  /// Returns the number of endpoints with a bucket.
  size_t buckets() const { return buckets_.size(); }

 private:
  static constexpr double kNoLimit = std::numeric_limits<double>::infinity();

  struct Bucket {
    double tokens = 0;
    MonoTime refilled;
    MonoTime period_started;
    double lowest = kNoLimit;           ///< Lowest limit named in the current period.
    double previous_lowest = kNoLimit;  ///< Lowest limit named in the period before.
    int refusals = 0;                   ///< Since the last permit.
  };

  /// Adds the limit that a request names. @return the limit in force.
  static double UpdateLimit(MonoTime now, CallRate named, Bucket* bucket);
  /// Removes the buckets without a recent request.
  void RemoveUnused(MonoTime now);

  std::map<EndpointId, Bucket> buckets_;
  MonoTime next_cleanup_;
};

}  // namespace jd
