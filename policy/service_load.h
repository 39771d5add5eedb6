#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "common/units.h"

namespace jd {

/// What a gateway measured lately about the speed of one service; tells calls that cannot finish in
/// time before they are sent.
class ServiceLoad {
 public:
  /// Fewer samples than this give no estimate, since a wrong one refuses calls that would succeed.
  static constexpr size_t kMinDequeued = 8;
  static constexpr size_t kMinLatencies = 16;
  /// Without newer answers the latencies are forgotten; otherwise a slow-down that made every call
  /// be refused would never be seen to end.
  static constexpr Duration kLatencyMemory = 5s;

  /// A queued call got a slot.
  void OnDequeued(MonoTime now);
  /// The queue is empty; the rate at which it was served says nothing about an idle service.
  void OnQueueEmpty() { dequeued_.clear(); }
  /// Returns the time to serve this many queued calls at the recent rate, or nothing if unknown.
  std::optional<Duration> EstimateWait(MonoTime now, double calls) const;

  void OnAnswered(MonoTime now, Duration latency);
  /// Returns the 10th percentile of recent latencies, or nothing if there are too few.
  std::optional<Duration> FastLatency(MonoTime now) const;

 private:
  std::deque<MonoTime> dequeued_;
  std::vector<Duration> latencies_;  ///< Ring of the latest.
  size_t next_latency_ = 0;
  MonoTime last_answer_;
  mutable std::optional<Duration> fast_latency_;  ///< Cached until the next answer.
};

}  // namespace jd
