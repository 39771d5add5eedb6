#pragma once

#include <cstdint>
#include <vector>

#include "standin/upstream_settings.h"

namespace jd {

/// A single queue before all slots of a service, with Poisson arrivals: the M/G/c system that the
/// `pooled` policy is.
struct QueueModel {
  int32_t slots = 1;
  double rate = 1;  ///< Mean arrivals per second.
  ServiceTime service_time;
  Duration delay{};  ///< Time that a slot is held beyond the service time.
};

/// Returns the sorted latencies of `arrivals` requests, found by simulating the queue; there is no
/// closed form for the percentiles of a general service time.
std::vector<Duration> SimulateQueue(const QueueModel& model, size_t arrivals, uint64_t seed);

/// Nearest-rank percentile in milliseconds; `sorted` must not be empty.
double PercentileMillis(const std::vector<Duration>& sorted, double share);

}  // namespace jd
