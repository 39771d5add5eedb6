#include "policy/saturation_slowdown.h"

#include <algorithm>

namespace jd {
namespace {

// Slowdown factor assumed before there are samples. It counts like kPriorSamples samples.
constexpr double kPriorFactor = 1.4;
constexpr double kPriorSamples = 4;
// Limits the weight of old samples, so that the means adapt to a change of the upstreams within
// about this many calls.
constexpr double kMaxSamples = 64;
constexpr double kMaxFactor = 4.0;
// Until there are this many samples, all slots are used, because otherwise there never would be.
constexpr double kMinNearlyFullSamples = 4;
// All slots are used only if that increases the throughput by more than a tenth, because each call
// takes longer then.
constexpr double kMinFullThroughputShare = 0.9;

}  // namespace

void SaturationSlowdown::Mean::Add(Duration latency) {
  samples = std::min(samples + 1, kMaxSamples);
  mean_us += (static_cast<double>(latency.count()) - mean_us) / samples;
}

void SaturationSlowdown::OnAnswered(bool nearly_full, Duration latency) {
  (nearly_full ? nearly_full_ : not_nearly_full_).Add(latency);
}

double SaturationSlowdown::factor() const {
  if (not_nearly_full_.mean_us <= 0) {
    return kPriorFactor;
  }
  const double measured = nearly_full_.mean_us / not_nearly_full_.mean_us;
  const double factor = (kPriorFactor * kPriorSamples + measured * nearly_full_.samples) /
                        (kPriorSamples + nearly_full_.samples);
  return std::clamp(factor, 1.0, kMaxFactor);
}

int32_t SaturationSlowdown::OptimalConcurrency(int32_t slots) const {
  if (nearly_full_.samples < kMinNearlyFullSamples) {
    return slots;
  }
  const int32_t below_nearly_full = std::max(static_cast<int32_t>(kNearlyFullShare * slots), 1);
  return factor() * below_nearly_full > kMinFullThroughputShare * slots ? below_nearly_full : slots;
}

}  // namespace jd
