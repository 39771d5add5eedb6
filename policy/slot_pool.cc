#include "policy/slot_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/slot_reserve.h"

namespace jd {
namespace {

/// Time for which an idle slot is kept for the next call if no demand is unmet.
constexpr Duration kIdleRetention = 20ms;
/// Time constant in microseconds of the moving average of busy slots. It is a few service times, so
/// that the average follows bursts.
constexpr double kBusyTimeConstantUs = 200'000;

}  // namespace

bool HeldPool::uses_reserve(MonoTime now) const {
  return heard_from_owner && now >= last_grant_received + kOwnerSilenceTimeout &&
         now >= reserve_available_at && now >= loans_expire_at;
}

int32_t HeldPool::usable_slots(MonoTime now, const EndpointSlots& slots) const {
  if (slots.closed_to_new_calls()) {
    return 0;
  }
  if (uses_reserve(now)) {
    return slots.reserve;
  }
  return now < loans_expire_at ? std::min(slots.held, slots.limit) : 0;
}

int32_t HeldPool::total_slots() const {
  int32_t total = 0;
  for (const auto& [endpoint, slots] : endpoints) {
    total += slots.view.slots;
  }
  return total;
}

int32_t HeldPool::busy_calls() const {
  int32_t busy = queued_calls;
  for (const auto& [endpoint, slots] : endpoints) {
    busy += slots.in_flight;
  }
  return busy;
}

void HeldPool::UpdateMeanBusy(MonoTime now) {
  const double age = static_cast<double>((now - mean_busy_updated).count());
  const double keep = std::exp(-age / kBusyTimeConstantUs);
  mean_busy = mean_busy * keep + busy_calls() * (1 - keep);
  mean_busy_updated = now;
}

int32_t HeldPool::wanted_slots() const {
  // By Little's law the mean number of calls in flight is the arrival rate times the latency. The
  // square root of the mean is added because the number of arrivals varies by about that much.
  return static_cast<int32_t>(std::ceil(mean_busy + std::sqrt(mean_busy)));
}

void HeldPool::ExpireLoans(MonoTime now) {
  if (now < loans_expire_at) {
    return;
  }
  for (auto& [endpoint, slots] : endpoints) {
    slots.held = slots.in_flight;
  }
}

bool HeldPool::ReturnIdleSlots(MonoTime now) {
  bool any = false;
  int32_t spare = -queued_calls;
  if (!pressure) {
    spare -= wanted_slots();
    for (const auto& [endpoint, slots] : endpoints) {
      spare += slots.held;
    }
  } else {
    for (const auto& [endpoint, slots] : endpoints) {
      spare += slots.held - slots.in_flight;
    }
  }
  const Duration idle_time = pressure ? Duration(0) : kIdleRetention;
  for (auto& [endpoint, slots] : endpoints) {
    const int32_t idle = slots.held - slots.in_flight;
    if (idle <= 0 ||
        (!slots.closed_to_new_calls() && (spare <= 0 || slots.idle_since + idle_time > now))) {
      continue;
    }
    const int32_t returned = slots.closed_to_new_calls() ? idle : std::min(idle, spare);
    slots.held -= returned;
    spare -= returned;
    any = true;
  }
  return any;
}

void HeldPool::UpdateReserve(const std::vector<GatewayId>& roster, const GatewayId& self) {
  for (auto& [endpoint, slots] : endpoints) {
    if (slots.reserve_gateways.size() != static_cast<size_t>(slots.view.slots)) {
      slots.reserve_gateways = AssignReserve(roster, endpoint, slots.view.slots);
    }
    slots.reserve = 0;
    for (size_t i = 0; i < slots.reserve_gateways.size(); ++i) {
      const bool is_own = roster[slots.reserve_gateways[i]] == self;
      slots.reserve += is_own && static_cast<int32_t>(i) < slots.bound ? 1 : 0;
    }
  }
}

}  // namespace jd
