#include "cluster/permit_issuer.h"

#include <algorithm>
#include <utility>

namespace jd {
namespace {

// Time without a request after which a bucket is removed.
constexpr Duration kUnusedBucketLifetime = 30s;
// Refused gateways that are counted when the time of the next permit is estimated.
constexpr int kMaxCountedRefusals = 8;

// Returns the tokens that a bucket must hold before a call of this priority takes one, so that
// urgent calls find a token while others are refused.
double RequiredTokens(Priority priority) {
  switch (priority) {
    case Priority::kHigh:
      return 1.0;
    case Priority::kNormal:
      return 1.5;
    case Priority::kLow:
      return 2.0;
  }
  return 2.0;
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

PermitDecision PermitIssuer::Decide(MonoTime now, const PermitRequest& request, double share) {
  RemoveUnused(now);
  const auto [entry, added] = buckets_.try_emplace(request.endpoint);
  Bucket& bucket = entry->second;
  if (added) {
    bucket.refilled = now;
    bucket.period_started = now;
  }
  const double rate = UpdateLimit(now, request.limit, &bucket) * share;
  const double capacity = kBurstCalls + rate * Seconds(kBurstPeriod);
  bucket.tokens = std::min(bucket.tokens + rate * Seconds(now - bucket.refilled), capacity);
  bucket.refilled = now;
  if (rate <= 0) {
    return {false, kMaxRetryAfter};
  }
  const double required = RequiredTokens(request.priority);
  if (bucket.tokens >= required) {
    bucket.tokens -= 1;
    bucket.refusals = 0;
    return {true, Duration(0)};
  }
  // Gateways that were refused before come first, so each later one waits a permit longer.
  const double missing = required - bucket.tokens + bucket.refusals;
  bucket.refusals = std::min(bucket.refusals + 1, kMaxCountedRefusals);
  const double wait_s = std::min(missing / rate, Seconds(kMaxRetryAfter));
  return {false, std::max(Scale(Duration(1s), wait_s), kMinRetryAfter)};
}

double PermitIssuer::UpdateLimit(MonoTime now, CallRate named, Bucket* bucket) {
  if (now - bucket->period_started >= kLowestLimitPeriod) {
    const bool adjacent = now - bucket->period_started < 2 * kLowestLimitPeriod;
    const double ended = std::exchange(bucket->lowest, kNoLimit);
    bucket->previous_lowest = kNoLimit;
    if (adjacent) {
      bucket->previous_lowest = ended;
    }
    bucket->period_started = now;
  }
  bucket->lowest = std::min(bucket->lowest, named.per_second);
  return std::min(bucket->lowest, bucket->previous_lowest);
}

void PermitIssuer::RemoveUnused(MonoTime now) {
  if (now < next_cleanup_) {
    return;
  }
  next_cleanup_ = now + kUnusedBucketLifetime;
  std::erase_if(buckets_, [now](const auto& entry) {
    return now - entry.second.refilled >= kUnusedBucketLifetime;
  });
}

}  // namespace jd
