#include "cluster/probe_scheduler.h"

#include <algorithm>
#include <cmath>

namespace jd {
namespace {

/// An endpoint is not probed for this time after its latest response or probe.
constexpr Duration kSignalAge = 1s;

}  // namespace

void ProbeScheduler::SetEndpoint(MonoTime now,
                                 const EndpointId& endpoint,
                                 const ProbeSettings& settings) {
  const auto [found, added] = buckets_.try_emplace(endpoint);
  Bucket& bucket = found->second;
  if (added) {
    bucket.filled_at = now;
    bucket.signal = now;
  } else {
    Fill(now, &bucket);
  }
  bucket.settings = settings;
}

void ProbeScheduler::RemoveEndpoint(const EndpointId& endpoint) {
  buckets_.erase(endpoint);
}

void ProbeScheduler::OnFreeSignal(MonoTime now, const EndpointId& endpoint) {
  const auto bucket = buckets_.find(endpoint);
  if (bucket != buckets_.end()) {
    bucket->second.signal = std::max(bucket->second.signal, now);
  }
}

void ProbeScheduler::Fill(MonoTime now, Bucket* bucket) {
  // Scale rounds down to whole microseconds, so the budget is never exceeded.
  bucket->tokens += Scale(now - bucket->filled_at, bucket->rate());
  // The bucket holds the tokens of one probe at most, so that probes are not sent in bursts.
  bucket->tokens = std::min(bucket->tokens, bucket->cost());
  bucket->filled_at = now;
}

std::optional<MonoTime> ProbeScheduler::DueAt(const Bucket& bucket) {
  if (bucket.rate() <= 0) {
    return std::nullopt;
  }
  const double missing = static_cast<double>((bucket.cost() - bucket.tokens).count());
  const auto wait = static_cast<int64_t>(std::ceil(missing / bucket.rate()));
  // One microsecond is added because Fill may round down.
  return std::max(bucket.signal + kSignalAge, bucket.filled_at + Duration(wait + 1));
}

std::vector<EndpointId> ProbeScheduler::TakeProbes(MonoTime now) {
  std::vector<EndpointId> probes;
  for (auto& [endpoint, bucket] : buckets_) {
    const std::optional<MonoTime> due = DueAt(bucket);
    if (!due || *due > now) {
      continue;
    }
    Fill(now, &bucket);
    bucket.tokens -= bucket.cost();
    bucket.signal = now;
    probes.push_back(endpoint);
  }
  return probes;
}

std::optional<MonoTime> ProbeScheduler::next_timer() const {
  std::optional<MonoTime> next;
  for (const auto& [endpoint, bucket] : buckets_) {
    if (const auto due = DueAt(bucket)) {
      next = next ? std::min(*next, *due) : *due;
    }
  }
  return next;
}

}  // namespace jd
