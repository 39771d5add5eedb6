#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// How calls have ended. The numbers only rise while a gateway runs.
struct CallCounts {
  int64_t calls = 0;
  int64_t failures = 0;
  int64_t slow = 0;  ///< Answers that took several times as long as usual.
  bool operator==(const CallCounts&) const = default;

  /// Number of calls that failed or were slow.
  int64_t troubled() const { return failures + slow; }
  CallCounts& operator+=(const CallCounts& other) {
    calls += other.calls;
    failures += other.failures;
    slow += other.slow;
    return *this;
  }
  /// Returns the calls counted since `earlier`; no number is negative.
  CallCounts Since(const CallCounts& earlier) const {
    return {std::max<int64_t>(calls - earlier.calls, 0),
            std::max<int64_t>(failures - earlier.failures, 0),
            std::max<int64_t>(slow - earlier.slow, 0)};
  }
};

/// The calls of one route, by the side of the roll-out that they were sent to.
struct RouteCounts {
  CallCounts old_side;
  CallCounts new_side;
  /// Latencies of the answers on the old side without failure, added up.
  Duration old_latency{0};
  bool operator==(const RouteCounts&) const = default;

  RouteCounts& operator+=(const RouteCounts& other) {
    old_side += other.old_side;
    new_side += other.new_side;
    old_latency += other.old_latency;
    return *this;
  }
  /// Returns the calls counted since `earlier`.
  RouteCounts Since(const RouteCounts& earlier) const {
    return {old_side.Since(earlier.old_side), new_side.Since(earlier.new_side),
            std::max(old_latency - earlier.old_latency, Duration(0))};
  }
};

/// What one or more gateways have seen of both sides of a roll-out since the order.
struct RolloutCounts {
  std::map<ProfileId, RouteCounts> routes;
  std::map<EndpointId, CallCounts> endpoints;  ///< Of the ordered version.
  /// Number of endpoints of the ordered version that got calls; at least the size of `endpoints`.
  int64_t endpoints_used = 0;
  bool operator==(const RolloutCounts&) const = default;

  /// Returns the counts of all routes together.
  RouteCounts total() const {
    RouteCounts sum;
    for (const auto& [route, counts] : routes) {
      sum += counts;
    }
    return sum;
  }
};

}  // namespace jd
