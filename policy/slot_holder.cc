#include "policy/slot_holder.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "policy/slot_reserve.h"

namespace jd {
namespace {

/// Without pressure a slot is kept this long idle, so that the next call finds it.
constexpr Duration kIdleTime = 20ms;
/// Time constant of the mean of busy slots; a few service times, so that bursts are followed.
constexpr double kBusyMicros = 200'000;
constexpr double kLatencyWeight = 0.1;

}  // namespace

SlotHolder::Slot* SlotHolder::Find(const EndpointId& endpoint, Pool** pool) {
  const auto id = pool_of_.find(endpoint);
  if (id == pool_of_.end()) {
    return nullptr;
  }
  *pool = &pools_.at(id->second);
  return &(*pool)->slots.at(endpoint);
}

const SlotHolder::Slot* SlotHolder::Find(const EndpointId& endpoint, const Pool** pool) const {
  const auto id = pool_of_.find(endpoint);
  if (id == pool_of_.end()) {
    return nullptr;
  }
  *pool = &pools_.at(id->second);
  return &(*pool)->slots.at(endpoint);
}

bool SlotHolder::OnReserve(MonoTime now, const Pool& pool) {
  return pool.heard && now >= pool.last_heard + kReserveSilence && now >= pool.reserve_back_at &&
         now >= pool.lease_end;
}

int32_t SlotHolder::Usable(MonoTime now, const Pool& pool, const Slot& slot) {
  if (!slot.view.usable || slot.leaving) {
    return 0;
  }
  if (OnReserve(now, pool)) {
    return slot.reserve;
  }
  return now < pool.lease_end ? std::min(slot.held, slot.limit) : 0;
}

int32_t SlotHolder::usable(MonoTime now, const EndpointId& endpoint) const {
  const Pool* pool = nullptr;
  const Slot* slot = Find(endpoint, &pool);
  return slot == nullptr ? 0 : Usable(now, *pool, *slot);
}

int32_t SlotHolder::in_flight(const EndpointId& endpoint) const {
  const Pool* pool = nullptr;
  const Slot* slot = Find(endpoint, &pool);
  return slot == nullptr ? 0 : slot->in_flight;
}

std::optional<EndpointId> SlotHolder::Acquire(MonoTime now,
                                              const AcquireRequest& request,
                                              RandomEngine& random) {
  const auto service = services_.find(request.service);
  if (service == services_.end()) {
    return std::nullopt;
  }
  Pool* best_pool = nullptr;
  Slot* best = nullptr;
  std::pair<bool, double> best_cost;
  for (const PoolId& id : service->second) {
    Pool& pool = pools_.at(id);
    Expire(now, &pool);
    for (auto& [endpoint, slot] : pool.slots) {
      if (slot.in_flight >= Usable(now, pool, slot) ||
          std::find(request.excluded.begin(), request.excluded.end(), endpoint) !=
              request.excluded.end()) {
        continue;
      }
      // A jitter of 5% spreads calls over endpoints of about the same latency.
      const double jitter = 1.0 + static_cast<double>(random() % 1024) / 20480;
      const std::pair cost(slot.view.zone != request.zone, slot.latency * jitter);
      if (best == nullptr || cost < best_cost) {
        best_pool = &pool;
        best = &slot;
        best_cost = cost;
      }
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  UpdateBusy(now, best_pool);
  ++best->in_flight;
  best->held = std::max(best->held, best->in_flight);
  best->deadlines.emplace(request.deadline, 0);
  return best->view.id;
}

void SlotHolder::Release(MonoTime now, const EndpointId& endpoint, const AttemptResult& result) {
  if (const auto parked = parked_.find(endpoint); parked != parked_.end()) {
    Slot& slot = parked->second;
    slot.deadlines.erase(slot.deadlines.begin());
    if (--slot.in_flight == 0) {
      parked_.erase(parked);
    }
    return;
  }
  Pool* pool = nullptr;
  Slot* slot = Find(endpoint, &pool);
  if (slot == nullptr) {
    return;
  }
  assert(slot->in_flight > 0);
  UpdateBusy(now, pool);
  --slot->in_flight;
  // Which call ended is unknown; keeping the later deadlines reserves the slot no shorter.
  slot->deadlines.erase(slot->deadlines.begin());
  slot->idle_since = now;
  EndpointEvidence& evidence = slot->evidence;
  if (result.outcome == AttemptOutcome::kAnswered && result.status < 500) {
    ++evidence.successes;
    evidence.latency_sum += result.latency;
    evidence.latency_max = std::max(evidence.latency_max, result.latency);
    const auto latency = static_cast<double>(result.latency.count());
    slot->latency += (slot->latency == 0 ? 1.0 : kLatencyWeight) * (latency - slot->latency);
  } else if (result.outcome == AttemptOutcome::kRefused) {
    ++evidence.refusals;
  } else if (result.outcome != AttemptOutcome::kCancelled) {
    ++evidence.failures;
  }
  Expire(now, pool);
  if (slot->held > slot->limit) {
    slot->held = std::max(slot->limit, slot->in_flight);
    pool->urgent = true;
  }
}

void SlotHolder::Park(Pool* pool) {
  for (auto& [endpoint, slot] : pool->slots) {
    pool_of_.erase(endpoint);
    parked_.insert_or_assign(endpoint, std::move(slot));
  }
  pool->slots.clear();
}

SlotHolder::Slot SlotHolder::Unpark(const EndpointView& endpoint, const PoolId& pool) {
  Slot slot;
  const auto parked = parked_.find(endpoint.id);
  if (parked != parked_.end()) {
    if (parked->second.pool == pool) {
      slot = std::move(parked->second);
    } else {
      // The loans ended with the removal, but the calls run on.
      slot.in_flight = slot.held = parked->second.in_flight;
      slot.deadlines = std::move(parked->second.deadlines);
    }
    parked_.erase(parked);
  }
  slot.pool = pool;
  slot.view = endpoint;
  slot.evidence.endpoint = endpoint.id;
  return slot;
}

void SlotHolder::SetService(MonoTime now, const ServiceView& view) {
  std::vector<PoolId>& ids = services_[view.id];
  std::vector<PoolId> old_ids = std::exchange(ids, {});
  for (const PoolId& id : old_ids) {
    Park(&pools_.at(id));
  }
  for (PoolView& pool_view : SplitIntoPools(view)) {
    ids.push_back(pool_view.id);
    auto [found, added] = pools_.try_emplace(pool_view.id);
    Pool& pool = found->second;
    if (added) {
      // What a former run of this gateway delegated is unknown, so the whole time passes.
      pool.reserve_back_at = now + kReserveHandover;
      pool.next_request = now;
      pool.busy_at = now;
    }
    for (const EndpointView& endpoint : pool_view.endpoints) {
      pool.slots.insert_or_assign(endpoint.id, Unpark(endpoint, pool_view.id));
      pool_of_[endpoint.id] = pool_view.id;
    }
    pool.view = std::move(pool_view);
    AssignPoolReserve(&pool);
    std::erase(old_ids, found->first);
  }
  for (const PoolId& id : old_ids) {
    pools_.erase(id);
  }
  std::erase_if(parked_, [](const auto& entry) { return entry.second.in_flight == 0; });
  for (auto& [endpoint, slot] : parked_) {
    slot.pool = PoolId();
  }
  ShareWaiting(now, view.id);
}

void SlotHolder::RemoveService(MonoTime now, const ServiceId& service) {
  SetService(now, ServiceView{service, {}});
  services_.erase(service);
  waiting_.erase(service);
}

void SlotHolder::SetWaiting(MonoTime now, const ServiceId& service, int32_t waiting) {
  waiting_[service] = waiting;
  ShareWaiting(now, service);
}

void SlotHolder::ShareWaiting(MonoTime now, const ServiceId& service) {
  const auto ids = services_.find(service);
  if (ids == services_.end() || ids->second.empty()) {
    return;
  }
  // Calls of a service may run in any of its pools, so each is asked for an equal part.
  const auto count = static_cast<int32_t>(ids->second.size());
  const int32_t part = (waiting_[service] + count - 1) / count;
  for (const PoolId& id : ids->second) {
    Pool& pool = pools_.at(id);
    UpdateBusy(now, &pool);
    pool.waiting = part;
    pool.urgent = pool.urgent || std::min(part, TotalSlots(pool)) > pool.asked;
  }
}

void SlotHolder::OnLoadReport(MonoTime, const EndpointId& endpoint, const LoadReport& report) {
  Pool* pool = nullptr;
  Slot* slot = Find(endpoint, &pool);
  if (slot == nullptr) {
    return;
  }
  const bool restarted =
      !slot->instance.empty() && !report.instance.empty() && slot->instance != report.instance;
  const bool worse = report.state != EndpointState::kWarm &&
                     (!slot->evidence.reported || slot->evidence.state != report.state);
  slot->evidence.state = report.state;
  slot->evidence.instance = report.instance;
  slot->evidence.reported = true;
  slot->instance = report.instance;
  slot->leaving = report.state == EndpointState::kDraining;
  if (restarted || (report.state == EndpointState::kCold && slot->bound > 1)) {
    // Acts before the owner does: only one of the held slots is used until the owner answers.
    slot->bound = 1;
    slot->limit = std::min(slot->limit, 1);
    slot->reserve = std::min(slot->reserve, 1);
    pool->urgent = true;
  }
  pool->urgent = pool->urgent || worse;
}

void SlotHolder::OnEndpointLeaving(MonoTime, const EndpointId& endpoint) {
  Pool* pool = nullptr;
  Slot* slot = Find(endpoint, &pool);
  if (slot != nullptr && !slot->leaving) {
    slot->leaving = true;
    pool->urgent = true;
  }
}

void SlotHolder::SetOwner(MonoTime now,
                          const PoolId& id,
                          const GatewayId& owner,
                          Incarnation incarnation) {
  const auto found = pools_.find(id);
  if (found == pools_.end() ||
      (found->second.owner == owner && found->second.incarnation == incarnation)) {
    return;
  }
  Pool& pool = found->second;
  pool.former = pool.owner;
  pool.former_incarnation = pool.incarnation;
  pool.former_last_grant = pool.last_grant;
  pool.reserve_floor = pool.reserve_back_at;
  if (!pool.owner.empty() && pool.heard) {
    const Duration wait = pool.handed_over ? kLoanLifetimeAtOwner : kReserveHandover;
    pool.reserve_back_at = std::max(pool.reserve_back_at, pool.last_heard + wait);
  }
  pool.owner = owner;
  pool.incarnation = incarnation;
  pool.last_grant = 0;
  pool.pressure = false;
  pool.asked = 0;
  pool.urgent = true;
  pool.next_request = now;
}

void SlotHolder::SetRoster(MonoTime, std::vector<GatewayId> roster) {
  roster_ = std::move(roster);
  for (auto& [id, pool] : pools_) {
    for (auto& [endpoint, slot] : pool.slots) {
      slot.assigned.clear();
    }
    AssignPoolReserve(&pool);
  }
}

void SlotHolder::AssignPoolReserve(Pool* pool) {
  for (auto& [endpoint, slot] : pool->slots) {
    if (slot.assigned.size() != static_cast<size_t>(slot.view.slots)) {
      slot.assigned = AssignReserve(roster_, endpoint, slot.view.slots);
    }
    slot.reserve = 0;
    for (size_t i = 0; i < slot.assigned.size(); ++i) {
      const bool mine = roster_[slot.assigned[i]] == self_;
      slot.reserve += mine && static_cast<int32_t>(i) < slot.bound ? 1 : 0;
    }
  }
}

bool SlotHolder::OnGrant(MonoTime now, const GatewayId& from, const SlotGrant& grant) {
  const auto found = pools_.find(grant.pool);
  if (grant.holder != incarnation_) {
    return false;
  }
  if (found != pools_.end() && grant.handed_over && found->second.former == from &&
      found->second.former_incarnation == grant.owner && found->second.last_grant == 0 &&
      grant.sequence > found->second.former_last_grant) {
    // The former owner dropped the pool after this gateway had turned to the new one.
    found->second.handed_over = true;
    found->second.reserve_back_at =
        std::max(found->second.reserve_floor, now + kLoanLifetimeAtOwner);
    found->second.urgent = true;
    return false;
  }
  if (found == pools_.end() || found->second.owner != from ||
      found->second.incarnation != grant.owner || grant.sequence <= found->second.last_grant) {
    return false;
  }
  Pool& pool = found->second;
  Expire(now, &pool);
  pool.last_grant = grant.sequence;
  pool.last_heard = now;
  pool.heard = true;
  pool.handed_over = grant.handed_over;
  pool.pressure = grant.pressure;
  const MonoTime end = grant.request_sent + grant.lifetime;
  pool.lease_end = std::max(pool.lease_end, end);
  bool added = false;
  for (auto& [endpoint, slot] : pool.slots) {
    slot.limit = kNoSlotLimit;
  }
  for (const GrantedSlots& granted : grant.slots) {
    const auto in_pool = pool.slots.find(granted.endpoint);
    if (in_pool == pool.slots.end()) {
      continue;
    }
    Slot& slot = in_pool->second;
    if (end > now && granted.added > 0) {
      slot.held += granted.added;
      slot.idle_since = now;
      added = true;
    }
    slot.bound = granted.bound;
    slot.limit = granted.limit;
    if (slot.held > slot.limit) {
      slot.held = std::max(slot.limit, slot.in_flight);
      pool.urgent = true;
    }
  }
  AssignPoolReserve(&pool);
  pool.asked = std::min(pool.asked, pool.waiting);
  return added;
}

void SlotHolder::Expire(MonoTime now, Pool* pool) {
  if (now < pool->lease_end) {
    return;
  }
  for (auto& [endpoint, slot] : pool->slots) {
    slot.held = slot.in_flight;
  }
}

int32_t SlotHolder::TotalSlots(const Pool& pool) {
  int32_t total = 0;
  for (const auto& [endpoint, slot] : pool.slots) {
    total += slot.view.slots;
  }
  return total;
}

int32_t SlotHolder::Busy(const Pool& pool) {
  int32_t busy = pool.waiting;
  for (const auto& [endpoint, slot] : pool.slots) {
    busy += slot.in_flight;
  }
  return busy;
}

void SlotHolder::UpdateBusy(MonoTime now, Pool* pool) {
  const double age = static_cast<double>((now - pool->busy_at).count());
  const double keep = std::exp(-age / kBusyMicros);
  pool->busy_mean = pool->busy_mean * keep + Busy(*pool) * (1 - keep);
  pool->busy_at = now;
}

int32_t SlotHolder::Wanted(const Pool& pool) {
  // By Little's law the mean of calls in flight is rate times latency; arrivals vary with its root.
  return static_cast<int32_t>(std::ceil(pool.busy_mean + std::sqrt(pool.busy_mean)));
}

bool SlotHolder::ReturnIdle(MonoTime now, Pool* pool) {
  bool any = false;
  int32_t spare = -pool->waiting;
  if (!pool->pressure) {
    spare -= Wanted(*pool);
    for (const auto& [endpoint, slot] : pool->slots) {
      spare += slot.held;
    }
  } else {
    for (const auto& [endpoint, slot] : pool->slots) {
      spare += slot.held - slot.in_flight;
    }
  }
  const Duration idle_time = pool->pressure ? Duration(0) : kIdleTime;
  for (auto& [endpoint, slot] : pool->slots) {
    const bool barred = !slot.view.usable || slot.leaving;
    const int32_t idle = slot.held - slot.in_flight;
    if (idle <= 0 || (!barred && (spare <= 0 || slot.idle_since + idle_time > now))) {
      continue;
    }
    const int32_t returned = barred ? idle : std::min(idle, spare);
    slot.held -= returned;
    spare -= returned;
    any = true;
  }
  return any;
}

SlotRequest SlotHolder::MakeRequest(MonoTime now, Pool* pool) {
  SlotRequest request;
  request.pool = pool->view.id;
  request.owner = pool->incarnation;
  request.sequence = ++pool->sequence;
  request.last_grant = pool->last_grant;
  request.sent = now;
  // More than the pool has is of no use to the owner.
  request.demand = std::min(pool->waiting, TotalSlots(*pool));
  request.wanted = std::min(Wanted(*pool), TotalSlots(*pool));
  request.reserve_in = std::max(Duration(0), pool->reserve_back_at - now);
  request.handed_over = pool->handed_over;
  request.zone = zone_;
  for (auto& [endpoint, slot] : pool->slots) {
    if (slot.held > 0 || slot.bound < slot.view.slots) {
      Duration left{0};
      if (!slot.deadlines.empty()) {
        left = std::max(Duration(0), slot.deadlines.rbegin()->first - now);
      }
      request.held.push_back({endpoint, slot.held, slot.in_flight, left, slot.bound});
    }
    EndpointEvidence& evidence = slot.evidence;
    if (evidence.successes + evidence.failures + evidence.refusals > 0 || evidence.reported) {
      EndpointEvidence fresh;
      fresh.endpoint = endpoint;
      request.evidence.push_back(std::exchange(evidence, fresh));
    }
  }
  return request;
}

std::vector<OutgoingSlotRequest> SlotHolder::TakeRequests(MonoTime now) {
  std::vector<OutgoingSlotRequest> requests;
  for (auto& [id, pool] : pools_) {
    if (pool.owner.empty()) {
      continue;
    }
    Expire(now, &pool);
    UpdateBusy(now, &pool);
    const bool due = pool.urgent || now >= pool.next_request;
    // Under pressure an idle slot is worth a message of its own.
    const bool returned = (due || pool.pressure) && ReturnIdle(now, &pool);
    if (!due && !returned) {
      continue;
    }
    requests.push_back({pool.owner, MakeRequest(now, &pool)});
    pool.asked = requests.back().request.demand;
    pool.urgent = false;
    pool.next_request = now + kRenewalPeriod;
  }
  return requests;
}

std::optional<MonoTime> SlotHolder::next_timer() const {
  std::optional<MonoTime> next;
  for (const auto& [id, pool] : pools_) {
    if (!pool.owner.empty()) {
      const MonoTime due = pool.urgent ? MonoTime() : pool.next_request;
      next = next ? std::min(*next, due) : due;
    }
  }
  return next;
}

}  // namespace jd
