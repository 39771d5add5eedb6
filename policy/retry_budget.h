#pragma once

#include "common/units.h"

namespace jd {

/// A token bucket that limits the retries and hedges of one service, so that a slowdown cannot
/// become a retry storm. In any period they stay below a share of the calls, plus a constant rate,
/// plus a burst.
class RetryBudget {
 public:
  struct Limits {
    /// Tokens added per second regardless of calls, so that a service with few calls can retry at
    /// all (design, section 3.4).
    double per_second = 3.0;
    /// Time constant with which the burst allowance earned by calls decays. The bucket holds about
    /// the tokens that the calls of this period have earned, plus one second's rate.
    Duration decay_time = 10s;
    /// Upper limit of the tokens earned per call, even if the profile's retry_budget is higher.
    double max_share = 1.0;
  };
  /// Returns limits under which any number of gateways together retry at most a share of their
  /// calls in each window, without coordination between the gateways.
  static Limits SharedLimits(double share, Duration window);

  /// Adds the tokens that one new call earns. @param share the profile's retry_budget.
  void EarnTokens(MonoTime now, double share);
  /// Takes the token for one retry or hedge. @return false if the budget is used up.
  bool TryTakeToken(MonoTime now);
  void SetLimits(const Limits& limits) { limits_ = limits; }
  /// Gives back a token that was taken for a retry or hedge that was not sent.
  void Refund() { tokens_ += 1.0; }

 private:
  /// Refills the bucket at the constant rate and decays the burst allowance.
  void Refill(MonoTime now);
  /// Returns the capacity of the bucket.
  double burst() const;

  MonoTime last_;
  bool started_ = false;
  Limits limits_;
  double tokens_ = Limits().per_second;
  double recent_earned_ = 0;  ///< Tokens earned by calls, decaying with Limits::decay_time.
};

}  // namespace jd
