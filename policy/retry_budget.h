#pragma once

#include "common/units.h"

namespace jd {

/// Bounds the retries and hedges of one service, so that a slow-down cannot become a retry storm:
/// over any time they stay below a share of the calls, plus a rate, plus a burst.
class RetryBudget {
 public:
  struct Limits {
    /// Lets a service with few calls retry at all (design, section 3.4).
    double per_second = 3.0;
    /// The burst is what the calls of about this time have earned, plus one second's rate.
    Duration memory = 10s;
    /// Greatest share of calls, whatever the profile says.
    double max_share = 1.0;
  };
  /// Returns limits under which any number of gateways together repeat at most a share of their
  /// calls in each window, without knowing of each other.
  static Limits SharedLimits(double share, Duration window);

  /// Adds what one new call earns. @param share the profile's retry_budget.
  void OnCall(MonoTime now, double share);
  /// Takes one retry or hedge. @return false if the budget is used up.
  bool TryTake(MonoTime now);
  void SetLimits(const Limits& limits) { limits_ = limits; }
  /// Gives back one that was taken but not sent.
  void Return() { tokens_ += 1.0; }

 private:
  void Advance(MonoTime now);
  double burst() const;

  MonoTime last_;
  bool started_ = false;
  Limits limits_;
  double tokens_ = Limits().per_second;
  double recent_ = 0;  ///< Tokens earned by calls, decaying over the memory.
};

}  // namespace jd
