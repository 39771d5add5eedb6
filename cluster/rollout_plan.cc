#include "cluster/rollout_plan.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace jd {
namespace {

// Parts of the exposure that all gateways together use: while the version is watched, and since the
// order until it is proved.
constexpr double kWatchingPart = 0.7;
constexpr double kLifetimePart = 0.8;
constexpr double kRampingShare = 0.25;
constexpr double kProvedShare = 0.5;

// When the phases may begin, as parts of the duration of the order.
constexpr double kRampingFrom = 0.5;
constexpr double kProvedAfter = 0.07;  // After the ramp began.
constexpr double kFullAfter = 0.05;    // After the version was proved.
constexpr double kOverdueFrom = 0.92;
// Calls at the new version without which it is not used further. Fewer suffice later.
constexpr int64_t kManyCalls = 40;
constexpr int64_t kFewCalls = 15;
constexpr double kFewCallsFrom = 0.6;

// Endpoints whose trouble may be their own.
constexpr size_t kSickEndpoints = 2;
// Expected rates are at least these, because the other versions may have had no trouble yet.
constexpr double kMinFailureRate = 0.01;
constexpr double kMinTroubleRate = 0.03;

// Calls of the other versions that the lowest expected rate counts as.
constexpr double kAssumedCalls = 20;

// How far a number of calls with trouble must lie above the expected one.
struct Threshold {
  double deviations;     // Standard deviations above the expected number.
  double extra;          // Calls above that.
  double rate_factor;    // The rate must be this many times the expected one,
  double rate_distance;  // and this much above it.
};
constexpr Threshold kBadFailures = {3.5, 2.0, 2.0, 0.02};
constexpr Threshold kBadTrouble = {3.5, 2.5, 2.0, 0.10};
constexpr Threshold kSuspicious = {2.0, 1.5, 1.5, 0.02};

bool Exceeds(int64_t troubled, int64_t calls, double expected_rate, const Threshold& threshold) {
  const auto count = static_cast<double>(troubled);
  const double expected = expected_rate * static_cast<double>(calls);
  const double rate = calls == 0 ? 0 : count / static_cast<double>(calls);
  return count >= expected + threshold.deviations * std::sqrt(expected) + threshold.extra &&
         rate >= threshold.rate_factor * expected_rate &&
         rate >= expected_rate + threshold.rate_distance;
}

// Returns the rate of trouble that the other versions have at the same time, rounded up while they
// have had few calls.
double ExpectedRate(int64_t troubled, int64_t calls, double minimum) {
  const double rate = (static_cast<double>(troubled) + minimum * kAssumedCalls) /
                      (static_cast<double>(calls) + kAssumedCalls);
  return std::max(rate, minimum);
}

// Returns how much of the trouble the worst endpoints may have caused.
template <typename Count>
int64_t TroubleOfWorstEndpoints(const RolloutCounts& counts, Count count) {
  if (counts.endpoints_used <= static_cast<int64_t>(kSickEndpoints)) {
    return 0;
  }
  std::vector<int64_t> worst;
  for (const auto& [endpoint, ended] : counts.endpoints) {
    worst.push_back(count(ended));
  }
  std::sort(worst.rbegin(), worst.rend());
  int64_t sum = 0;
  for (size_t i = 0; i < std::min(kSickEndpoints, worst.size()); ++i) {
    sum += worst[i];
  }
  return sum;
}

// Compares both sides over all routes together and on each route.
template <typename Count>
bool AnyExceeds(const RolloutCounts& counts,
                Count count,
                double minimum,
                const Threshold& threshold) {
  const int64_t own_trouble = TroubleOfWorstEndpoints(counts, count);
  const auto exceeds = [&](const RouteCounts& route) {
    const double expected = ExpectedRate(count(route.old_side), route.old_side.calls, minimum);
    return Exceeds(count(route.new_side) - own_trouble, route.new_side.calls, expected, threshold);
  };
  return exceeds(counts.total()) ||
         std::any_of(counts.routes.begin(), counts.routes.end(),
                     [&](const auto& route) { return exceeds(route.second); });
}

int64_t Failures(const CallCounts& counts) {
  return counts.failures;
}

int64_t Troubled(const CallCounts& counts) {
  return counts.troubled();
}

}  // namespace

bool ShowsBadVersion(const RolloutCounts& counts) {
  return AnyExceeds(counts, Failures, kMinFailureRate, kBadFailures) ||
         AnyExceeds(counts, Troubled, kMinTroubleRate, kBadTrouble);
}

bool RaisesSuspicion(const RolloutCounts& counts) {
  return AnyExceeds(counts, Failures, kMinFailureRate, kSuspicious) ||
         AnyExceeds(counts, Troubled, kMinTroubleRate, kSuspicious);
}

RolloutPhase NextPhase(const RolloutProgress& progress) {
  const int64_t wanted =
      progress.age < Scale(progress.duration, kFewCallsFrom) ? kManyCalls : kFewCalls;
  if (progress.suspicious || !progress.has_capacity || progress.new_calls < wanted) {
    return progress.phase;
  }
  switch (progress.phase) {
    case RolloutPhase::kWatching:
      return progress.age >= Scale(progress.duration, kRampingFrom) ? RolloutPhase::kRamping
                                                                    : progress.phase;
    case RolloutPhase::kRamping:
      return progress.phase_age >= Scale(progress.duration, kProvedAfter) ? RolloutPhase::kProved
                                                                          : progress.phase;
    case RolloutPhase::kProved:
      return progress.phase_age >= Scale(progress.duration, kFullAfter) ? RolloutPhase::kFull
                                                                        : progress.phase;
    case RolloutPhase::kFull:
      return progress.phase;
  }
  return progress.phase;
}

bool IsOverdue(const RolloutProgress& progress) {
  return progress.phase < RolloutPhase::kProved &&
         progress.age >= Scale(progress.duration, kOverdueFrom);
}

RolloutShare ShareIn(RolloutPhase phase, const RolloutBounds& bounds) {
  const double limit = kLifetimePart * bounds.exposure_share;
  switch (phase) {
    case RolloutPhase::kWatching:
      return {kWatchingPart * bounds.exposure_share, limit};
    case RolloutPhase::kRamping:
      return {std::max(kRampingShare, kWatchingPart * bounds.exposure_share), limit};
    case RolloutPhase::kProved:
      return {kProvedShare, 1};
    case RolloutPhase::kFull:
      return {1, 1};
  }
  return {};
}

}  // namespace jd
