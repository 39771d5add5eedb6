#include "policy/permit_waits.h"

#include <cassert>

namespace jd {

void PermitWaits::Start(MonoTime now, CallId call, const EndpointId& endpoint) {
  const bool added = waits_.emplace(call, Wait{call, endpoint, now}).second;
  assert(added);
  deadlines_.emplace(now + kTimeout, call);
}

std::optional<PermitWaits::Wait> PermitWaits::Take(CallId call) {
  auto entry = waits_.extract(call);
  if (entry.empty()) {
    return std::nullopt;
  }
  deadlines_.erase({entry.mapped().started + kTimeout, call});
  return std::move(entry.mapped());
}

std::optional<PermitWaits::Wait> PermitWaits::Take(CallId call, const EndpointId& endpoint) {
  const auto found = waits_.find(call);
  if (found == waits_.end() || found->second.endpoint != endpoint) {
    return std::nullopt;
  }
  return Take(call);
}

std::optional<PermitWaits::Wait> PermitWaits::TakeExpired(MonoTime now) {
  if (deadlines_.empty() || deadlines_.begin()->first > now) {
    return std::nullopt;
  }
  return Take(deadlines_.begin()->second);
}

std::optional<MonoTime> PermitWaits::next_timer() const {
  return deadlines_.empty() ? std::nullopt : std::optional(deadlines_.begin()->first);
}

}  // namespace jd
