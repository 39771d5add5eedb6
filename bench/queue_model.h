#pragma once

#include <cstdint>
#include <vector>

#include "standin/upstream_settings.h"

namespace jd {

/// Parameters of an M/G/c queue: one queue for all slots of a service, with Poisson arrivals. The
/// `pooled` policy corresponds to this model.
struct QueueModel {
  int32_t slots = 1;  ///< Number of servers of the queue.
  double rate = 1;    ///< Mean arrivals per second.
  ServiceTime service_time;
  Duration delay{};  ///< Time that a slot stays in use beyond the service time.
};

/// Simulates the queue and returns the sorted latencies of `arrivals` requests. The simulation is
/// needed because the percentiles have no closed form for a general service time.
std::vector<Duration> SimulateQueue(const QueueModel& model, size_t arrivals, uint64_t seed);

/// Returns the nearest-rank percentile in milliseconds.
/// @param sorted must not be empty.
/// @param fraction percentile as a fraction, for example 0.99.
double PercentileMillis(const std::vector<Duration>& sorted, double fraction);

}  // namespace jd
