#pragma once

#include "common/ids.h"
#include "common/state_chart.h"
#include "common/units.h"
#include "common/verdict.h"
#include "policy/attempt_result.h"

namespace jd {

/// The data that an attempt keeps of its call, because the call may end before the attempt.
struct AttemptContext {
  CallId call;
  RequestId request_id;
  ServiceId service;
  EndpointId endpoint;
  Fingerprint fingerprint;
  bool idempotent = false;
};

/// One attempt of a call at an endpoint, from the acquisition of its slot to its result. Its states
/// are those of the state chart `attempt`. A cancelled attempt can outlive its call.
class Attempt {
 public:
  Attempt(MonoTime sent, AttemptContext context);

  /// Marks the attempt as cancelled by the gateway; its result is still to come.
  /// @param expired whether the call's deadline has passed.
  void Cancel(bool expired);
  /// Ends the attempt with its result. @return the verdict of the state chart's final state.
  Verdict End(const AttemptResult& result);

  /// Returns whether the request was written but no byte of the response arrived before the attempt
  /// timed out or the call's deadline passed.
  bool IsSilent(const AttemptResult& result) const;

  MonoTime sent() const { return sent_; }
  const AttemptContext& context() const { return context_; }
  bool cancelled() const { return cancelled_; }
  bool expired() const { return expired_; }

 private:
  MonoTime sent_;
  AttemptContext context_;
  StateChart::Machine machine_;
  bool cancelled_ = false;
  bool expired_ = false;
};

}  // namespace jd
