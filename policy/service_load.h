#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "common/units.h"

namespace jd {

/// Recent measurements of one service at one gateway: the rate at which queued calls get slots, and
/// the latency of answers. They serve to recognize calls that can't finish before their deadline,
/// before the calls are sent.
class ServiceLoad {
 public:
  /// Minimum numbers of samples for an estimate. A wrong estimate refuses calls that would succeed.
  static constexpr size_t kMinDequeueSamples = 8;
  static constexpr size_t kMinLatencySamples = 16;
  /// Latencies are discarded if there was no answer for this time. Otherwise, once a slowdown has
  /// caused every call to be refused, no new answer could show that the slowdown has ended.
  static constexpr Duration kLatencyRetention = 5s;

  /// Records that a queued call got a slot.
  void OnDequeued(MonoTime now);
  /// Discards the dequeue times, because an empty queue has no meaningful service rate.
  void OnQueueEmpty() { dequeue_times_.clear(); }
  /// Returns the time until this many queued calls are dequeued at the recent rate, or nothing if
  /// the rate is unknown.
  std::optional<Duration> EstimateWait(MonoTime now, double calls) const;

  /// Records the latency of an answered call.
  void OnAnswered(MonoTime now, Duration latency);
  /// Returns the 10th percentile of recent latencies, or nothing if there are too few.
  std::optional<Duration> TenthPercentileLatency(MonoTime now) const;

 private:
  std::deque<MonoTime> dequeue_times_;  ///< Times at which queued calls got a slot.
  std::vector<Duration> latencies_;     ///< Ring buffer of the latest samples.
  size_t next_latency_ = 0;             ///< Position of the oldest sample in the full ring buffer.
  MonoTime last_answer_;
  mutable std::optional<Duration> cached_percentile_;  ///< Cached until the next answer.
};

}  // namespace jd
