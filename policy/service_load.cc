#include "policy/service_load.h"

#include <algorithm>

namespace jd {
namespace {

constexpr size_t kMaxDequeueSamples = 64;
constexpr size_t kMaxLatencySamples = 64;

}  // namespace

void ServiceLoad::OnDequeued(MonoTime now) {
  dequeue_times_.push_back(now);
  if (dequeue_times_.size() > kMaxDequeueSamples) {
    dequeue_times_.pop_front();
  }
}

std::optional<Duration> ServiceLoad::EstimateWait(MonoTime now, double calls) const {
  if (dequeue_times_.size() < kMinDequeueSamples) {
    return std::nullopt;
  }
  // The measured period ends now rather than at the last sample, so that a stall lowers the rate.
  const Duration elapsed = now - dequeue_times_.front();
  return Scale(elapsed, calls / static_cast<double>(dequeue_times_.size() - 1));
}

void ServiceLoad::OnAnswered(MonoTime now, Duration latency) {
  if (now - last_answer_ > kLatencyRetention) {
    latencies_.clear();
    next_latency_ = 0;
  }
  last_answer_ = now;
  cached_percentile_.reset();
  if (latencies_.size() < kMaxLatencySamples) {
    latencies_.push_back(latency);
    return;
  }
  latencies_[next_latency_] = latency;
  next_latency_ = (next_latency_ + 1) % kMaxLatencySamples;
}

std::optional<Duration> ServiceLoad::TenthPercentileLatency(MonoTime now) const {
  if (latencies_.size() < kMinLatencySamples || now - last_answer_ > kLatencyRetention) {
    return std::nullopt;
  }
  if (!cached_percentile_) {
    std::vector<Duration> sorted = latencies_;
    const auto rank = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 10);
    std::nth_element(sorted.begin(), rank, sorted.end());
    cached_percentile_ = *rank;
  }
  return cached_percentile_;
}

}  // namespace jd
