#include "cluster/quota_issuer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jd {
namespace {

// Time constant of the average of the demand.
constexpr Duration kAveragePeriod = 500ms;
// An issuer tries to keep tokens for the demand of this time.
constexpr Duration kReservePeriod = 300ms;
// Part of the capacity that is left for calls that wait when tokens are issued ahead.
constexpr double kKeptFromAheadShare = 0.25;
// Most tokens that one demand is answered with.
constexpr double kMaxTokens = 1e9;
// Most tokens that one loan transfers.
constexpr double kMaxLoan = 100'000;
// Time without a demand after which a bucket is removed.
constexpr Duration kUnusedBucketLifetime = 60s;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Returns the time in which a bucket gets as many tokens as it can hold.
Duration FillTime(const Quota& quota) {
  const double seconds = quota.burst / quota.calls_per_second;
  const double longest = Seconds(kUnusedBucketLifetime);
  return QuotaIssuer::kBurstPeriod + Scale(Duration(1s), std::min(seconds, longest));
}

// Issuers lend each other parts of tokens, so that a token can be put together from all zones.
constexpr double kLoanUnitsPerToken = 1000;

int32_t LoanUnits(double tokens) {
  return static_cast<int32_t>(std::clamp(tokens, 0.0, kMaxLoan) * kLoanUnitsPerToken);
}

int32_t WholeTokens(double tokens) {
  return static_cast<int32_t>(std::clamp(std::floor(tokens), 0.0, kMaxTokens));
}

}  // namespace

void QuotaIssuer::KeepOnly(const std::function<bool(const WorkspaceId&)>& issues) {
  std::erase_if(buckets_, [&](const auto& entry) { return !issues(entry.first); });
}

QuotaLease QuotaIssuer::Decide(MonoTime now, const Part& part, const QuotaDemand& demand) {
  Bucket& bucket = Refill(now, part, demand.workspace);
  bucket.tokens = std::min(bucket.tokens + demand.returned, CapacityOf(part));
  const int32_t needed = std::min(demand.needed, WholeTokens(bucket.tokens));
  bucket.tokens -= needed;
  const double spare = bucket.tokens - kKeptFromAheadShare * CapacityOf(part);
  const int32_t ahead = std::min(demand.ahead, WholeTokens(spare));
  bucket.tokens -= ahead;
  bucket.calls_per_s += (demand.needed + ahead) / Seconds(kAveragePeriod);
  bucket.refusals = std::max(bucket.refusals - needed, 0);
  CheckShortage(now, part, demand.workspace, &bucket);
  QuotaLease lease{demand.workspace, demand.needed, needed + ahead, Duration(0)};
  if (needed < demand.needed) {
    lease.retry_after = RetryAfter(now, part, demand.needed - needed, &bucket);
  }
  return lease;
}

QuotaLease QuotaIssuer::Lend(MonoTime now, const Part& part, const QuotaDemand& demand) {
  Bucket& bucket = Refill(now, part, demand.workspace);
  const int32_t lent = std::min(demand.needed, LoanUnits(bucket.tokens - ReserveOf(bucket)));
  bucket.tokens -= lent / kLoanUnitsPerToken;
  return {demand.workspace, demand.needed, lent, Duration(0)};
}

void QuotaIssuer::OnLent(MonoTime now, const Part& part, const QuotaLease& lease) {
  Bucket& bucket = Refill(now, part, lease.workspace);
  bucket.tokens = std::min(bucket.tokens + lease.granted / kLoanUnitsPerToken, CapacityOf(part));
  if (lease.granted == 0) {
    bucket.next_borrow = std::max(bucket.next_borrow, now + kFailedBorrowInterval);
  }
}

std::vector<QuotaDemand> QuotaIssuer::TakeShortages() {
  return std::exchange(shortages_, {});
}

MonoTime QuotaIssuer::RefilledAt(MonoTime now,
                                 const WorkspaceId& workspace,
                                 const Quota& quota) const {
  const auto found = buckets_.find(workspace);
  return found == buckets_.end() ? now - FillTime(quota) : found->second.refilled;
}

double QuotaIssuer::CapacityOf(const Part& part) {
  return part.quota.burst * part.share + RateOf(part) * Seconds(kBurstPeriod) + kSpareTokens;
}

double QuotaIssuer::ReserveOf(const Bucket& bucket) {
  return bucket.calls_per_s * Seconds(kReservePeriod);
}

QuotaIssuer::Bucket& QuotaIssuer::Refill(MonoTime now,
                                         const Part& part,
                                         const WorkspaceId& workspace) {
  RemoveUnused(now);
  const auto [entry, added] = buckets_.try_emplace(workspace);
  Bucket& bucket = entry->second;
  if (added) {
    bucket.tokens = kSpareTokens;
    bucket.refilled = now - FillTime(part.quota);
  }
  Part lasting = part;
  lasting.share = part.lasting_share;
  const Duration elapsed = now - bucket.refilled;
  const Duration with_whole_share = now - std::clamp(part.since, bucket.refilled, now);
  bucket.tokens = std::min(bucket.tokens, CapacityOf(lasting)) + RateOf(lasting) * Seconds(elapsed);
  bucket.tokens += (RateOf(part) - RateOf(lasting)) * Seconds(with_whole_share);
  bucket.tokens = std::min(bucket.tokens, CapacityOf(part));
  bucket.calls_per_s *= std::exp(-Seconds(elapsed) / Seconds(kAveragePeriod));
  bucket.refilled = now;
  return bucket;
}

void QuotaIssuer::CheckShortage(MonoTime now,
                                const Part& part,
                                const WorkspaceId& workspace,
                                Bucket* bucket) {
  const double wanted = std::min(std::max(ReserveOf(*bucket), 1.0), CapacityOf(part));
  if (part.other_issuers <= 0 || bucket->tokens >= wanted || now < bucket->next_borrow) {
    return;
  }
  const double missing = wanted - bucket->tokens;
  QuotaDemand shortage;
  shortage.workspace = workspace;
  shortage.needed = LoanUnits(missing / part.other_issuers) + 1;
  shortages_.push_back(std::move(shortage));
  bucket->borrow_until = now + kBorrowTime;
  bucket->next_borrow = now + kBorrowInterval;
}

Duration QuotaIssuer::RetryAfter(MonoTime now, const Part& part, int32_t refused, Bucket* bucket) {
  if (now < bucket->borrow_until) {
    return kBorrowTime;
  }
  const double rate = RateOf(part);
  // Calls that were refused before come first, so each later one waits a token longer.
  const double missing = 1 - bucket->tokens + bucket->refusals;
  if (rate * Seconds(kMaxRetryAfter) <= missing) {
    return kMaxRetryAfter;
  }
  bucket->refusals += refused;
  return std::max(Scale(Duration(1s), missing / rate), kMinRetryAfter);
}

void QuotaIssuer::RemoveUnused(MonoTime now) {
  if (now < next_cleanup_) {
    return;
  }
  next_cleanup_ = now + kUnusedBucketLifetime;
  std::erase_if(buckets_, [now](const auto& entry) {
    return now - entry.second.refilled >= kUnusedBucketLifetime;
  });
}

}  // namespace jd
