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
constexpr int kHighLatencyFactor = 3;
constexpr int32_t kFailuresToEject = 3;
constexpr Duration kFirstEjection = 1s;
constexpr Duration kLongestEjection = 30s;
/// Time for which reports are distrusted after one with fewer calls than are known to be in flight.
constexpr Duration kReportDistrustTime = 10s;
/// The adaptive limit is halved at most once in this time, because several holders report the same
/// slow period one after the other.
constexpr Duration kLimitDecreaseInterval = 250ms;
/// Part of a slot by which each response at usual latency raises the adaptive limit.
constexpr double kLimitIncrease = 0.05;
/// Weight of a new median in the moving average of the warm latency.
constexpr double kWarmLatencyWeight = 0.05;

}  // namespace

EndpointHealth::EndpointHealth(int32_t slots, bool cold)
    : slots_(slots), warm_up_limit_(cold ? 1 : slots), adaptive_limit_(slots) {}

void EndpointHealth::SetSlots(int32_t slots) {
  if (!cold()) {
    warm_up_limit_ = slots;
  }
  adaptive_limit_ = adaptive_limit_ >= slots_ ? slots : std::min<double>(adaptive_limit_, slots);
  slots_ = slots;
}

void EndpointHealth::LowerWarmUpLimit(int32_t bound) {
  warm_up_limit_ = std::min(warm_up_limit_, std::max(1, bound));
}

void EndpointHealth::ResetToCold() {
  warm_up_limit_ = 1;
  warm_up_successes_ = 0;
  latencies_.clear();
}

void EndpointHealth::UpdateInstance(MonoTime now, const InstanceId& instance) {
  if (instance.empty() || instance == instance_) {
    return;
  }
  if (!instance_.empty()) {
    ResetToCold();
    // An outdated health page may still name the previous instance. It must not end a drain.
    draining_ = draining_ && reports_distrusted(now);
  }
  instance_ = instance;
}

void EndpointHealth::UpdateReportedState(MonoTime now, EndpointState state) {
  draining_ = draining_ || state == EndpointState::kDraining;
  if (state == EndpointState::kCold) {
    // An endpoint that reports itself as cold stays at one slot until it reports that it is warm.
    ResetToCold();
    reported_cold_ = true;
  } else if (state == EndpointState::kWarm && !reports_distrusted(now)) {
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
    UpdateInstance(now, evidence.instance);
    UpdateReportedState(now, evidence.state);
  }
  if (evidence.successes > 0) {
    consecutive_failures_ = 0;
    UpdateFromSuccesses(evidence, pool_median);
  }
  UpdateAdaptiveLimit(now, evidence, pool_median);
  consecutive_failures_ += evidence.failures;
}

void EndpointHealth::UpdateFromSuccesses(const EndpointEvidence& evidence, Duration pool_median) {
  const Duration mean = evidence.latency_sum / evidence.successes;
  const auto samples = std::min<size_t>(kLatencyWindow, static_cast<size_t>(evidence.successes));
  latencies_.insert(latencies_.end(), samples, mean);
  while (latencies_.size() > kLatencyWindow) {
    latencies_.pop_front();
  }
  const Duration median = latency();
  const bool above_own_latency =
      warm_latency_.count() > 0 && median > kHighLatencyFactor * warm_latency_;
  const bool above_pool_latency =
      pool_median.count() > 0 && median > kHighLatencyFactor * pool_median;
  if (above_own_latency && above_pool_latency && latencies_.size() == kLatencyWindow) {
    ResetToCold();
    return;
  }
  if (!cold()) {
    warm_latency_ = warm_latency_.count() == 0
                        ? median
                        : warm_latency_ + Scale(median - warm_latency_, kWarmLatencyWeight);
    consecutive_ejections_ = 0;
    return;
  }
  if (reported_cold_) {
    return;
  }
  if (pool_median.count() > 0 && mean > kHighLatencyFactor * pool_median) {
    warm_up_successes_ = 0;
    return;
  }
  warm_up_successes_ += evidence.successes;
  if (warm_up_successes_ >= 2 * warm_up_limit_) {
    warm_up_limit_ = std::min(slots_, 2 * warm_up_limit_);
    warm_up_successes_ = 0;
  }
}

void EndpointHealth::UpdateAdaptiveLimit(MonoTime now,
                                         const EndpointEvidence& evidence,
                                         Duration pool_median) {
  const bool slow = latencies_.size() == kLatencyWindow && pool_median.count() > 0 &&
                    latency() > kHighLatencyFactor * pool_median;
  if (evidence.refusals > 0 || slow) {
    if (now >= limit_lowered_at_ + kLimitDecreaseInterval) {
      adaptive_limit_ = std::max(1.0, adaptive_limit_ / 2);
      limit_lowered_at_ = now;
    }
  } else {
    adaptive_limit_ =
        std::min<double>(slots_, adaptive_limit_ + kLimitIncrease * evidence.successes);
  }
}

void EndpointHealth::OnLoadReport(MonoTime now, const LoadReport& report, int32_t known_in_flight) {
  if (report.in_flight < known_in_flight) {
    reports_distrusted_until_ = now + kReportDistrustTime;
  }
  UpdateInstance(now, report.instance);
  UpdateReportedState(now, report.state);
}

bool EndpointHealth::EjectIfDue(MonoTime now) {
  if (consecutive_failures_ < kFailuresToEject || ejected(now)) {
    return false;
  }
  const Duration time = kFirstEjection * (1 << std::min(consecutive_ejections_, 5));
  ejected_until_ = now + std::min(time, kLongestEjection);
  ++consecutive_ejections_;
  consecutive_failures_ = 0;
  ResetToCold();
  return true;
}

int32_t EndpointHealth::bound(MonoTime now) const {
  if (draining_ || ejected(now)) {
    return 0;
  }
  return std::min({slots_, warm_up_limit_, static_cast<int32_t>(adaptive_limit_)});
}

std::optional<MonoTime> EndpointHealth::next_change(MonoTime now) const {
  if (!ejected(now)) {
    return std::nullopt;
  }
  return ejected_until_;
}

}  // namespace jd
