#include "soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <random>

#include "common/random.h"

namespace jd {
namespace {

constexpr int64_t kLeastLengthMs = 300;
constexpr int64_t kGreatestLengthMs = 5000;
constexpr int64_t kGreatestPauseMs = 1800;
constexpr int kSeriesPercent = 30;
constexpr int kGreatestSeries = 4;

int64_t Draw(RandomEngine* random, int64_t least, int64_t greatest) {
  return std::uniform_int_distribution<int64_t>(least, greatest)(*random);
}

}  // namespace

std::vector<Fault> PlanFaults(uint64_t seed, Duration length) {
  RandomEngine random(seed);
  std::vector<Fault> faults;
  Duration at{0};
  while (at < length) {
    at += std::chrono::milliseconds(Draw(&random, 0, kGreatestPauseMs));
    Fault fault;
    fault.kind = static_cast<FaultKind>(Draw(&random, 0, static_cast<int64_t>(kLastFault)));
    fault.pick = static_cast<uint64_t>(Draw(&random, 0, 1'000'000));
    const bool series = Draw(&random, 1, 100) <= kSeriesPercent;
    const int64_t count = series ? Draw(&random, 2, kGreatestSeries) : 1;
    Duration start = at;
    for (int64_t i = 0; i < count; ++i) {
      fault.at = start;
      fault.length =
          std::chrono::milliseconds(Draw(&random, kLeastLengthMs, kGreatestLengthMs / count));
      faults.push_back(fault);
      start += fault.length + std::chrono::milliseconds(Draw(&random, 0, 500));
    }
  }
  std::stable_sort(faults.begin(), faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
  return faults;
}

const char* NameOf(FaultKind kind) {
  static constexpr std::array<const char*, static_cast<size_t>(kLastFault) + 1> names = {
      "store-reset",      "store-refuse",   "store-slow",      "store-loses-answers",
      "store-silent",     "store-forgets",  "rows-lapse",      "store-link-silent",
      "store-link-reset", "endpoint-delay", "endpoint-reset",  "endpoint-silent",
      "endpoint-one-way", "endpoint-crash", "endpoint-leaves", "zone-out",
      "configuration",    "gateway-term",   "gateway-kill",    "gateway-pause",
      "gateway-hang-up",  "all-kill"};
  return names.at(static_cast<size_t>(kind));
}

}  // namespace jd
