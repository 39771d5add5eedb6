#include "cluster/endpoint_health.h"

#include <algorithm>
#include <vector>

namespace jd {
namespace {

/// Number of responses whose median counts as the endpoint's latency. With exponential service
/// times the median of 8 responses exceeds 3 times the usual median in about 1% of the windows,
/// which restricted healthy endpoints all the time. With 32 responses it does so in 1 of 10^7
/// windows.
constexpr size_t kLatencyWindow = 32;
/// A latency above this multiple of the usual one means that the endpoint is cold or overloaded.
constexpr int kLatencyJump = 3;
constexpr int32_t kFailuresToEject = 3;
constexpr Duration kFirstEjection = 1s;
constexpr Duration kLongestEjection = 30s;
constexpr Duration kMisleadingTime = 10s;
/// The adaptive limit is halved at most once in this time, because several holders report the same
/// slow period one after the other.
constexpr Duration kLimitInterval = 250ms;
/// Part of a slot by which each response at usual latency raises the adaptive limit.
constexpr double kLimitStep = 0.05;
/// Weight of a new median in the moving average of the warm latency.
constexpr double kWarmWeight = 0.05;

}  // namespace

EndpointHealth::EndpointHealth(int32_t slots, bool cold)
    : slots_(slots), cold_level_(cold ? 1 : slots), adaptive_(slots) {}

void EndpointHealth::SetSlots(int32_t slots) {
  if (!cold()) {
    cold_level_ = slots;
  }
  adaptive_ = adaptive_ >= slots_ ? slots : std::min<double>(adaptive_, slots);
  slots_ = slots;
}

void EndpointHealth::RestrictTo(int32_t bound) {
  cold_level_ = std::min(cold_level_, std::max(1, bound));
}

void EndpointHealth::BecomeCold() {
  cold_level_ = 1;
  cold_successes_ = 0;
  latencies_.clear();
}

void EndpointHealth::OnInstance(MonoTime now, const InstanceId& instance) {
  if (instance.empty() || instance == instance_) {
    return;
  }
  if (!instance_.empty()) {
    BecomeCold();
    // An outdated health page may still name the previous instance. It must not end a drain.
    draining_ = draining_ && misleading(now);
  }
  instance_ = instance;
}

void EndpointHealth::OnState(MonoTime now, EndpointState state) {
  draining_ = draining_ || state == EndpointState::kDraining;
  if (state == EndpointState::kCold) {
    // An endpoint that reports itself as cold stays at one slot until it reports that it is warm.
    BecomeCold();
    reported_cold_ = true;
  } else if (state == EndpointState::kWarm && !misleading(now)) {
    reported_cold_ = false;
  }
}

Duration EndpointHealth::latency() const {
  if (latencies_.empty()) {
    return Duration(0);
  }
  std::vector<Duration> sorted(latencies_.begin(), latencies_.end());
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  return *middle;
}

void EndpointHealth::OnEvidence(MonoTime now,
                                const EndpointEvidence& evidence,
                                Duration pool_median) {
  if (evidence.reported) {
    OnInstance(now, evidence.instance);
    OnState(now, evidence.state);
  }
  if (evidence.successes > 0) {
    failures_in_row_ = 0;
    OnAnswers(evidence, pool_median);
  }
  OnLimit(now, evidence, pool_median);
  failures_in_row_ += evidence.failures;
}

void EndpointHealth::OnAnswers(const EndpointEvidence& evidence, Duration pool_median) {
  const Duration mean = evidence.latency_sum / evidence.successes;
  const auto samples = std::min<size_t>(kLatencyWindow, static_cast<size_t>(evidence.successes));
  latencies_.insert(latencies_.end(), samples, mean);
  while (latencies_.size() > kLatencyWindow) {
    latencies_.pop_front();
  }
  const Duration median = latency();
  const bool above_own = warm_latency_.count() > 0 && median > kLatencyJump * warm_latency_;
  const bool above_pool = pool_median.count() > 0 && median > kLatencyJump * pool_median;
  if (above_own && above_pool && latencies_.size() == kLatencyWindow) {
    BecomeCold();
    return;
  }
  if (!cold()) {
    warm_latency_ = warm_latency_.count() == 0
                        ? median
                        : warm_latency_ + Scale(median - warm_latency_, kWarmWeight);
    ejections_ = 0;
    return;
  }
  if (reported_cold_) {
    return;
  }
  if (pool_median.count() > 0 && mean > kLatencyJump * pool_median) {
    cold_successes_ = 0;
    return;
  }
  cold_successes_ += evidence.successes;
  if (cold_successes_ >= 2 * cold_level_) {
    cold_level_ = std::min(slots_, 2 * cold_level_);
    cold_successes_ = 0;
  }
}

void EndpointHealth::OnLimit(MonoTime now, const EndpointEvidence& evidence, Duration pool_median) {
  const bool slow = latencies_.size() == kLatencyWindow && pool_median.count() > 0 &&
                    latency() > kLatencyJump * pool_median;
  if (evidence.refusals > 0 || slow) {
    if (now >= lowered_at_ + kLimitInterval) {
      adaptive_ = std::max(1.0, adaptive_ / 2);
      lowered_at_ = now;
    }
  } else {
    adaptive_ = std::min<double>(slots_, adaptive_ + kLimitStep * evidence.successes);
  }
}

void EndpointHealth::OnReport(MonoTime now, const LoadReport& report, int32_t known_in_flight) {
  if (report.in_flight < known_in_flight) {
    misleading_until_ = now + kMisleadingTime;
  }
  OnInstance(now, report.instance);
  OnState(now, report.state);
}

bool EndpointHealth::EjectIfDue(MonoTime now) {
  if (failures_in_row_ < kFailuresToEject || ejected(now)) {
    return false;
  }
  const Duration time = kFirstEjection * (1 << std::min(ejections_, 5));
  ejected_until_ = now + std::min(time, kLongestEjection);
  ++ejections_;
  failures_in_row_ = 0;
  BecomeCold();
  return true;
}

int32_t EndpointHealth::bound(MonoTime now) const {
  if (draining_ || ejected(now)) {
    return 0;
  }
  return std::min({slots_, cold_level_, static_cast<int32_t>(adaptive_)});
}

std::optional<MonoTime> EndpointHealth::next_change(MonoTime now) const {
  if (!ejected(now)) {
    return std::nullopt;
  }
  return ejected_until_;
}

}  // namespace jd
