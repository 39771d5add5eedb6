#pragma once

#include "common/ids.h"
#include "common/state_chart.h"
#include "common/units.h"
#include "common/verdict.h"
#include "policy/attempt_result.h"

namespace jd {

/// What an attempt keeps of its call, which may end before it.
struct AttemptOrigin {
  CallId call;
  RequestId request;
  ServiceId service;
  EndpointId endpoint;
  Fingerprint fingerprint;
  bool idempotent = false;
};

/// One attempt of a call at an endpoint, from its slot to its result; driven by the state chart
/// `attempt`. It outlives its call if it was cancelled.
class Attempt {
 public:
  Attempt(MonoTime sent, AttemptOrigin origin);

  /// The gateway gives the attempt up; a result is still to come.
  /// @param expired the call's deadline passed.
  void Cancel(bool expired);
  /// Takes in the result. @return the verdict of the chart's end state.
  Verdict End(const AttemptResult& result);

  /// Returns whether a result that ended like this left the connection without a byte of response
  /// until the time limit.
  bool IsSilent(const AttemptResult& result) const;

  MonoTime sent() const { return sent_; }
  const AttemptOrigin& origin() const { return origin_; }
  bool cancelled() const { return cancelled_; }
  bool expired() const { return expired_; }

 private:
  MonoTime sent_;
  AttemptOrigin origin_;
  StateChart::Machine machine_;
  bool cancelled_ = false;
  bool expired_ = false;
};

}  // namespace jd
