#include "bench/queue_model.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <functional>
#include <queue>
#include <random>

namespace jd {

std::vector<Duration> SimulateQueue(const QueueModel& model, size_t arrivals, uint64_t seed) {
  RandomEngine random(seed);
  std::exponential_distribution<double> gap(model.rate / 1e6);
  // Requests start in order of arrival, each on the slot that becomes free first.
  std::priority_queue<double, std::vector<double>, std::greater<>> free_at;
  for (int32_t slot = 0; slot < model.slots; ++slot) {
    free_at.push(0);
  }
  std::vector<Duration> latencies;
  latencies.reserve(arrivals);
  double now = 0;
  for (size_t i = 0; i < arrivals; ++i) {
    now += gap(random);
    const double start = std::max(now, free_at.top());
    free_at.pop();
    const Duration held = model.service_time.Sample(random) + model.delay;
    const double end = start + static_cast<double>(held.count());
    free_at.push(end);
    latencies.emplace_back(static_cast<int64_t>(end - now));
  }
  std::sort(latencies.begin(), latencies.end());
  return latencies;
}

double PercentileMillis(const std::vector<Duration>& sorted, double fraction) {
  assert(!sorted.empty());
  const auto rank = static_cast<size_t>(std::ceil(static_cast<double>(sorted.size()) * fraction));
  const Duration value = sorted[std::clamp<size_t>(rank, 1, sorted.size()) - 1];
  return static_cast<double>(value.count()) / 1000;
}

}  // namespace jd
