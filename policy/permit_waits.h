#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// Tracks the calls that wait for a permit before they are sent to an endpoint that names a limit.
class PermitWaits {
 public:
  /// Longest wait. A request to another gateway of the zone and its reply take about a millisecond.
  static constexpr Duration kTimeout = 50ms;

  /// A call that waits, and the endpoint whose slot it has acquired.
  struct Wait {
    CallId call;
    EndpointId endpoint;
    MonoTime started;
  };

  /// Adds a wait. The call must not have one.
  void Start(MonoTime now, CallId call, const EndpointId& endpoint);
  /// Removes and returns the wait of a call.
  std::optional<Wait> Take(CallId call);
  /// Removes and returns the wait of a call if it is for this endpoint.
  std::optional<Wait> Take(CallId call, const EndpointId& endpoint);
  /// Removes and returns the first wait that has taken too long, if any.
  std::optional<Wait> TakeExpired(MonoTime now);
  std::optional<MonoTime> next_timer() const;

 private:
  std::map<CallId, Wait> waits_;
  std::set<std::pair<MonoTime, CallId>> deadlines_;
};

}  // namespace jd
