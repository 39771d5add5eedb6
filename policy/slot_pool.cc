#include "policy/slot_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/slot_reserve.h"

namespace jd {
namespace {

/// Time for which an idle slot is kept for the next call if no demand is unmet.
constexpr Duration kIdleTime = 20ms;
/// Time constant in microseconds of the moving average of busy slots. It is a few service times, so
/// that the average follows bursts.
constexpr double kBusyMicros = 200'000;

}  // namespace

bool HeldPool::on_reserve(MonoTime now) const {
  return heard && now >= last_heard + kReserveSilence && now >= reserve_back_at && now >= lease_end;
}

int32_t HeldPool::usable(MonoTime now, const HeldSlot& slot) const {
  if (slot.barred()) {
    return 0;
  }
  if (on_reserve(now)) {
    return slot.reserve;
  }
  return now < lease_end ? std::min(slot.held, slot.limit) : 0;
}

int32_t HeldPool::total_slots() const {
  int32_t total = 0;
  for (const auto& [endpoint, slot] : slots) {
    total += slot.view.slots;
  }
  return total;
}

int32_t HeldPool::busy() const {
  int32_t busy = waiting;
  for (const auto& [endpoint, slot] : slots) {
    busy += slot.in_flight;
  }
  return busy;
}

void HeldPool::UpdateBusy(MonoTime now) {
  const double age = static_cast<double>((now - busy_at).count());
  const double keep = std::exp(-age / kBusyMicros);
  busy_mean = busy_mean * keep + busy() * (1 - keep);
  busy_at = now;
}

int32_t HeldPool::wanted() const {
  // By Little's law the mean number of calls in flight is the arrival rate times the latency. The
  // square root of the mean is added because the number of arrivals varies by about that much.
  return static_cast<int32_t>(std::ceil(busy_mean + std::sqrt(busy_mean)));
}

void HeldPool::Expire(MonoTime now) {
  if (now < lease_end) {
    return;
  }
  for (auto& [endpoint, slot] : slots) {
    slot.held = slot.in_flight;
  }
}

bool HeldPool::ReturnIdle(MonoTime now) {
  bool any = false;
  int32_t spare = -waiting;
  if (!pressure) {
    spare -= wanted();
    for (const auto& [endpoint, slot] : slots) {
      spare += slot.held;
    }
  } else {
    for (const auto& [endpoint, slot] : slots) {
      spare += slot.held - slot.in_flight;
    }
  }
  const Duration idle_time = pressure ? Duration(0) : kIdleTime;
  for (auto& [endpoint, slot] : slots) {
    const int32_t idle = slot.held - slot.in_flight;
    if (idle <= 0 || (!slot.barred() && (spare <= 0 || slot.idle_since + idle_time > now))) {
      continue;
    }
    const int32_t returned = slot.barred() ? idle : std::min(idle, spare);
    slot.held -= returned;
    spare -= returned;
    any = true;
  }
  return any;
}

void HeldPool::AssignSlotReserve(const std::vector<GatewayId>& roster, const GatewayId& self) {
  for (auto& [endpoint, slot] : slots) {
    if (slot.assigned.size() != static_cast<size_t>(slot.view.slots)) {
      slot.assigned = AssignReserve(roster, endpoint, slot.view.slots);
    }
    slot.reserve = 0;
    for (size_t i = 0; i < slot.assigned.size(); ++i) {
      const bool mine = roster[slot.assigned[i]] == self;
      slot.reserve += mine && static_cast<int32_t>(i) < slot.bound ? 1 : 0;
    }
  }
}

}  // namespace jd
