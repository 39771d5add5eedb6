#include "cluster/probe_scheduler.h"

#include <algorithm>
#include <cmath>

namespace jd {
namespace {

/// An endpoint is not probed for this time after its latest response or probe.
constexpr Duration kProbeDelay = 1s;

}  // namespace

void ProbeScheduler::SetEndpoint(MonoTime now,
                                 const EndpointId& endpoint,
                                 const ProbeSettings& settings) {
  const auto [found, added] = buckets_.try_emplace(endpoint);
  Bucket& bucket = found->second;
  if (added) {
    bucket.filled_at = now;
    bucket.last_activity = now;
  } else {
    Refill(now, &bucket);
  }
  bucket.settings = settings;
}

void ProbeScheduler::RemoveEndpoint(const EndpointId& endpoint) {
  buckets_.erase(endpoint);
}

void ProbeScheduler::OnResponse(MonoTime now, const EndpointId& endpoint) {
  const auto bucket = buckets_.find(endpoint);
  if (bucket != buckets_.end()) {
    bucket->second.last_activity = std::max(bucket->second.last_activity, now);
  }
}

void ProbeScheduler::Refill(MonoTime now, Bucket* bucket) {
  // Scale rounds down to whole microseconds, so the budget is never exceeded.
  bucket->tokens += Scale(now - bucket->filled_at, bucket->rate());
  // The bucket holds the tokens of one probe at most, so that probes are not sent in bursts.
  bucket->tokens = std::min(bucket->tokens, bucket->cost());
  bucket->filled_at = now;
}

std::optional<MonoTime> ProbeScheduler::NextProbeTime(const Bucket& bucket) {
  if (bucket.rate() <= 0) {
    return std::nullopt;
  }
  const double missing = static_cast<double>((bucket.cost() - bucket.tokens).count());
  const auto wait = static_cast<int64_t>(std::ceil(missing / bucket.rate()));
  // One microsecond is added because Refill may round down.
  return std::max(bucket.last_activity + kProbeDelay, bucket.filled_at + Duration(wait + 1));
}

std::vector<EndpointId> ProbeScheduler::TakeProbes(MonoTime now) {
  std::vector<EndpointId> probes;
  for (auto& [endpoint, bucket] : buckets_) {
    const std::optional<MonoTime> due = NextProbeTime(bucket);
    if (!due || *due > now) {
      continue;
    }
    Refill(now, &bucket);
    bucket.tokens -= bucket.cost();
    bucket.last_activity = now;
    probes.push_back(endpoint);
  }
  return probes;
}

std::optional<MonoTime> ProbeScheduler::next_timer() const {
  std::optional<MonoTime> next;
  for (const auto& [endpoint, bucket] : buckets_) {
    if (const auto due = NextProbeTime(bucket)) {
      next = next ? std::min(*next, *due) : *due;
    }
  }
  return next;
}

}  // namespace jd
