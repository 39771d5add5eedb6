#include "policy/fill_cost.h"

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

}  // namespace

void FillCost::Mean::Add(Duration latency) {
  samples = std::min(samples + 1, kMaxSamples);
  micros += (static_cast<double>(latency.count()) - micros) / samples;
}

void FillCost::OnAnswered(bool nearly_full, Duration latency) {
  (nearly_full ? nearly_full_ : other_).Add(latency);
}

double FillCost::factor() const {
  if (other_.micros <= 0) {
    return kPriorFactor;
  }
  const double measured = nearly_full_.micros / other_.micros;
  const double factor = (kPriorFactor * kPriorSamples + measured * nearly_full_.samples) /
                        (kPriorSamples + nearly_full_.samples);
  return std::clamp(factor, 1.0, kMaxFactor);
}

int32_t FillCost::UsefulSlots(int32_t slots) const {
  const int32_t below = std::max(static_cast<int32_t>(kNearlyFull * slots), 1);
  return factor() * below > slots ? below : slots;
}

}  // namespace jd
