#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "common/ids.h"
#include "common/units.h"
#include "common/workspace_table.h"
#include "policy/quota_message.h"

namespace jd {

/// Issues the tokens for the calls of workspaces with a quota. In each zone one gateway issues
/// those of a workspace, from a token bucket that is refilled with the zone's part of the quota. An
/// issuer whose bucket runs low borrows from the issuers of the other zones: what one gains the
/// other loses, so that the sum stays within the quota whichever of them fail or are cut off.
class QuotaIssuer {
 public:
  /// A bucket holds at most its part of the burst, the tokens of this time and kSpareTokens.
  static constexpr Duration kBurstPeriod = 100ms;
  static constexpr double kSpareTokens = 1;
  static constexpr Duration kMinRetryAfter = 20ms;
  static constexpr Duration kMaxRetryAfter = 1s;
  /// Time within which the other zones' issuers reply. Calls without a token wait for it.
  static constexpr Duration kBorrowTime = 10ms;
  static constexpr Duration kBorrowInterval = 20ms;
  /// Interval after an attempt to borrow that yielded nothing.
  static constexpr Duration kFailedBorrowInterval = 100ms;

  /// The part of the quota of a workspace that this gateway issues.
  struct Part {
    Quota quota;
    double share = 1.0;     ///< From 0 to 1.
    int other_issuers = 0;  ///< Issuers of other zones that can lend.
    MonoTime since = {};    ///< From when on this gateway has issued this share.
    /// The share that this gateway has issued since RefilledAt or longer; at most `share`.
    double lasting_share = 1.0;
  };

  /// Drops the buckets of workspaces that another gateway now issues for.
  void KeepOnly(const std::function<bool(const WorkspaceId&)>& issues);

  /// Decides about the demand of a gateway.
  QuotaLease Decide(MonoTime now, const Part& part, const QuotaDemand& demand);
  /// Takes the tokens out of the bucket that another zone's issuer gets.
  QuotaLease Lend(MonoTime now, const Part& part, const QuotaDemand& demand);
  /// Adds what another zone's issuer lent.
  void OnLent(MonoTime now, const Part& part, const QuotaLease& lease);
  /// Returns how many tokens to request from each of the other issuers, if it is time to.
  std::vector<QuotaDemand> TakeShortages();
  /// Returns when the bucket of a workspace was last refilled. One that does not exist counts as
  /// having been empty for as long as it takes to fill it.
  MonoTime RefilledAt(MonoTime now, const WorkspaceId& workspace, const Quota& quota) const;
  /// Returns the number of workspaces with a bucket.
  size_t buckets() const { return buckets_.size(); }

 private:
  struct Bucket {
    double tokens = 0;
    MonoTime refilled;
    double calls_per_s = 0;  ///< Moving average of the demand.
    MonoTime borrow_until;   ///< A reply of another issuer may arrive until then.
    MonoTime next_borrow;
    int refusals = 0;  ///< Refused calls that are expected to come back before the next one.
  };

  static double RateOf(const Part& part) { return part.quota.calls_per_second * part.share; }
  static double CapacityOf(const Part& part);
  /// Returns the tokens that a bucket should keep for the demand of its own zone.
  static double ReserveOf(const Bucket& bucket);
  /// Returns the bucket of a workspace, with the tokens of the time since it was last refilled. A
  /// share that this gateway issues only since `part.since` yields tokens since then, because
  /// another issuer may have issued what it yielded before.
  Bucket& Refill(MonoTime now, const Part& part, const WorkspaceId& workspace);
  void CheckShortage(MonoTime now, const Part& part, const WorkspaceId& workspace, Bucket* bucket);
  static Duration RetryAfter(MonoTime now, const Part& part, int32_t refused, Bucket* bucket);
  /// Removes the buckets without a recent demand, which are full by now.
  void RemoveUnused(MonoTime now);

  std::map<WorkspaceId, Bucket> buckets_;
  std::vector<QuotaDemand> shortages_;
  MonoTime next_cleanup_;
};

}  // namespace jd
