#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace jd {

/// The type of all durations, in whole microseconds.
using Duration = std::chrono::microseconds;

/// Tag type of the monotonic clock, which measures durations on one machine. Only the event loop
/// reads the clock; functions that make decisions receive the time as a parameter.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
};

/// Tag type of the wall clock, for timestamps that people or other machines read.
struct RealTimeClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RealTimeClock>;
};

using MonoTime = MonotonicClock::time_point;
using WallTime = RealTimeClock::time_point;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""us;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;

/// A rate of calls, in calls per second.
struct CallRate {
  double per_second = 0;
  auto operator<=>(const CallRate&) const = default;
};

/// Returns `time` in microseconds since the epoch of its clock.
constexpr int64_t Micros(MonoTime time) {
  return time.time_since_epoch().count();
}
constexpr int64_t Micros(WallTime time) {
  return time.time_since_epoch().count();
}
constexpr MonoTime MonoFromMicros(int64_t micros) {
  return MonoTime(Duration(micros));
}
constexpr WallTime WallFromMicros(int64_t micros) {
  return WallTime(Duration(micros));
}

/// Multiplies a duration by a factor and rounds toward zero.
constexpr Duration Scale(Duration interval, double factor) {
  return Duration(static_cast<int64_t>(static_cast<double>(interval.count()) * factor));
}

}  // namespace jd
