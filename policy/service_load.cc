#include "policy/service_load.h"

#include <algorithm>

namespace jd {
namespace {

constexpr size_t kMaxDequeueSamples = 64;
constexpr size_t kMaxLatencySamples = 64;

}  // namespace

void ServiceLoad::OnDequeued(MonoTime now) {
  dequeued_.push_back(now);
  if (dequeued_.size() > kMaxDequeueSamples) {
    dequeued_.pop_front();
  }
}

std::optional<Duration> ServiceLoad::EstimateWait(MonoTime now, double calls) const {
  if (dequeued_.size() < kMinDequeued) {
    return std::nullopt;
  }
  // The measured period ends now rather than at the last sample, so that a stall lowers the rate.
  const Duration elapsed = now - dequeued_.front();
  return Scale(elapsed, calls / static_cast<double>(dequeued_.size() - 1));
}

void ServiceLoad::OnAnswered(MonoTime now, Duration latency) {
  if (now - last_answer_ > kLatencyMemory) {
    latencies_.clear();
    next_latency_ = 0;
  }
  last_answer_ = now;
  fast_latency_.reset();
  if (latencies_.size() < kMaxLatencySamples) {
    latencies_.push_back(latency);
    return;
  }
  latencies_[next_latency_] = latency;
  next_latency_ = (next_latency_ + 1) % kMaxLatencySamples;
}

std::optional<Duration> ServiceLoad::FastLatency(MonoTime now) const {
  if (latencies_.size() < kMinLatencies || now - last_answer_ > kLatencyMemory) {
    return std::nullopt;
  }
  if (!fast_latency_) {
    std::vector<Duration> sorted = latencies_;
    const auto rank = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 10);
    std::nth_element(sorted.begin(), rank, sorted.end());
    fast_latency_ = *rank;
  }
  return fast_latency_;
}

}  // namespace jd
