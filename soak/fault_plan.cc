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
constexpr int64_t kMaxLimits = 6;
constexpr int64_t kMinLimitMs = 5000;
constexpr int64_t kMaxLimitMs = 15'000;
constexpr int64_t kMaxOddRows = 6;
constexpr int64_t kMaxBusyPorts = 2;
constexpr int64_t kMaxStatements = 5;

int64_t DrawInteger(RandomEngine* random, int64_t min, int64_t max) {
  return std::uniform_int_distribution<int64_t>(min, max)(*random);
}

// Adds up to `max_count` faults of one kind, with durations in milliseconds.
void AddFaults(FaultKind kind,
               int64_t max_count,
               int64_t min_duration_ms,
               int64_t max_duration_ms,
               Duration plan_duration,
               RandomEngine* random,
               std::vector<Fault>* faults) {
  const int64_t plan_ms = std::chrono::floor<std::chrono::milliseconds>(plan_duration).count();
  const int64_t count = DrawInteger(random, 0, max_count);
  for (int64_t i = 0; i < count; ++i) {
    Fault fault;
    fault.kind = kind;
    fault.start = std::chrono::milliseconds(DrawInteger(random, 0, plan_ms));
    fault.duration =
        std::chrono::milliseconds(DrawInteger(random, min_duration_ms, max_duration_ms));
    fault.target_index = random->operator()() % 1'000'000;
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
  RandomEngine later_kinds(~seed);
  AddFaults(FaultKind::kStoreRestored, kMaxReturns, 0, kMaxOutageMs, duration, &later_kinds,
            &faults);
  AddFaults(FaultKind::kEndpointLimit, kMaxLimits, kMinLimitMs, kMaxLimitMs, duration, &later_kinds,
            &faults);
  AddFaults(FaultKind::kOddRow, kMaxOddRows, kMinFaultDurationMs, kMaxFaultDurationMs, duration,
            &later_kinds, &faults);
  AddFaults(FaultKind::kPortBusy, kMaxBusyPorts, kMinFaultDurationMs, kMaxFaultDurationMs, duration,
            &later_kinds, &faults);
  AddFaults(FaultKind::kEndpointSaysLeaving, kMaxStatements, kMinFaultDurationMs,
            kMaxFaultDurationMs, duration, &later_kinds, &faults);
  AddFaults(FaultKind::kEndpointWantsNothing, kMaxStatements, kMinFaultDurationMs,
            kMaxFaultDurationMs, duration, &later_kinds, &faults);
  std::stable_sort(faults.begin(), faults.end(),
                   [](const Fault& a, const Fault& b) { return a.start < b.start; });
  return faults;
}

const char* FaultKindName(FaultKind kind) {
  static constexpr std::array<const char*, static_cast<size_t>(kLastFaultKind) + 1> names = {
      "store-reset",
      "store-refuse",
      "store-slow",
      "store-loses-answers",
      "store-silent",
      "store-forgets",
      "rows-lapse",
      "store-link-silent",
      "store-link-reset",
      "endpoint-delay",
      "endpoint-reset",
      "endpoint-silent",
      "endpoint-one-way",
      "endpoint-crash",
      "endpoint-leaves",
      "zone-out",
      "configuration",
      "gateway-term",
      "gateway-kill",
      "gateway-pause",
      "gateway-hang-up",
      "all-kill",
      "store-restored",
      "endpoint-limit",
      "odd-row",
      "port-busy",
      "endpoint-says-leaving",
      "endpoint-wants-nothing"};
  return names.at(static_cast<size_t>(kind));
}

}  // namespace jd
