#pragma once

#include "common/units.h"

namespace jd {

/// Bounds the retries and hedges of one service, so that a slow-down cannot become a retry storm:
/// over any time they stay below a share of the calls, plus kPerSecond, plus a burst.
class RetryBudget {
 public:
  /// Lets a service with few calls retry at all (design, section 3.4).
  static constexpr double kPerSecond = 3.0;
  /// The burst is what the calls of about this time have earned, plus kPerSecond.
  static constexpr Duration kMemory = 10s;

  /// Adds what one new call earns. @param share the profile's retry_budget.
  void OnCall(MonoTime now, double share);
  /// Takes one retry or hedge. @return false if the budget is used up.
  bool TryTake(MonoTime now);
  /// Sets the retries per second besides the share of calls; kPerSecond at first.
  void SetRate(double per_second) { per_second_ = per_second; }
  /// Gives back one that was taken but not sent.
  void Return() { tokens_ += 1.0; }

 private:
  void Advance(MonoTime now);

  MonoTime last_;
  bool started_ = false;
  double per_second_ = kPerSecond;
  double tokens_ = kPerSecond;
  double recent_ = 0;  ///< Tokens earned by calls, decaying over kMemory.
};

}  // namespace jd
