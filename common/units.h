#pragma once

#include <chrono>
#include <cstdint>

namespace jd {

/// All intervals are whole microseconds.
using Duration = std::chrono::microseconds;

/// Clock tag for intervals on one machine; the event loop reads it, decisions receive it.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
};

/// Clock tag for stamps that people or other machines read.
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

/// Returns `time` as microseconds since its clock's epoch.
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

/// Multiplies an interval by a factor, rounding toward zero.
constexpr Duration Scale(Duration interval, double factor) {
  return Duration(static_cast<int64_t>(static_cast<double>(interval.count()) * factor));
}

}  // namespace jd
