#include "soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <random>

#include "common/random.h"

namespace jd {
namespace {

constexpr int64_t kMinFaultDurationMs = 300;
constexpr int64_t kMaxFaultDurationMs = 5000;
constexpr int64_t kMaxPauseMs = 1800;
constexpr int kSeriesPercent = 30;
constexpr int kMaxSeriesLength = 4;
// Later kinds are planned apart, so that the other faults of a seed stay the same.
constexpr FaultKind kLastDrawnKind = FaultKind::kAllKilled;
constexpr int64_t kMaxReturns = 3;
constexpr int64_t kMaxOutageMs = 2500;

int64_t DrawInteger(RandomEngine* random, int64_t min, int64_t max) {
  return std::uniform_int_distribution<int64_t>(min, max)(*random);
}

// Adds returns of the store from a copy.
void AddReturns(uint64_t seed, Duration duration, std::vector<Fault>* faults) {
  RandomEngine random(~seed);
  const int64_t duration_ms = std::chrono::floor<std::chrono::milliseconds>(duration).count();
  const int64_t count = DrawInteger(&random, 0, kMaxReturns);
  for (int64_t i = 0; i < count; ++i) {
    Fault fault;
    fault.kind = FaultKind::kStoreRestored;
    fault.start = std::chrono::milliseconds(DrawInteger(&random, 0, duration_ms));
    fault.duration = std::chrono::milliseconds(DrawInteger(&random, 0, kMaxOutageMs));
    faults->push_back(fault);
  }
}

}  // namespace

std::vector<Fault> PlanFaults(uint64_t seed, Duration duration) {
  RandomEngine random(seed);
  std::vector<Fault> faults;
  Duration at{0};
  while (at < duration) {
    at += std::chrono::milliseconds(DrawInteger(&random, 0, kMaxPauseMs));
    Fault fault;
    fault.kind =
        static_cast<FaultKind>(DrawInteger(&random, 0, static_cast<int64_t>(kLastDrawnKind)));
    fault.target_index = static_cast<uint64_t>(DrawInteger(&random, 0, 1'000'000));
    const bool series = DrawInteger(&random, 1, 100) <= kSeriesPercent;
    const int64_t count = series ? DrawInteger(&random, 2, kMaxSeriesLength) : 1;
    Duration start = at;
    for (int64_t i = 0; i < count; ++i) {
      fault.start = start;
      fault.duration = std::chrono::milliseconds(
          DrawInteger(&random, kMinFaultDurationMs, kMaxFaultDurationMs / count));
      faults.push_back(fault);
      start += fault.duration + std::chrono::milliseconds(DrawInteger(&random, 0, 500));
    }
  }
  AddReturns(seed, duration, &faults);
  std::stable_sort(faults.begin(), faults.end(),
                   [](const Fault& a, const Fault& b) { return a.start < b.start; });
  return faults;
}

const char* FaultKindName(FaultKind kind) {
  static constexpr std::array<const char*, static_cast<size_t>(kLastFaultKind) + 1> names = {
      "store-reset",      "store-refuse",   "store-slow",      "store-loses-answers",
      "store-silent",     "store-forgets",  "rows-lapse",      "store-link-silent",
      "store-link-reset", "endpoint-delay", "endpoint-reset",  "endpoint-silent",
      "endpoint-one-way", "endpoint-crash", "endpoint-leaves", "zone-out",
      "configuration",    "gateway-term",   "gateway-kill",    "gateway-pause",
      "gateway-hang-up",  "all-kill",       "store-restored"};
  return names.at(static_cast<size_t>(kind));
}

}  // namespace jd
