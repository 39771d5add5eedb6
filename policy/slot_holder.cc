#include "policy/slot_holder.h"

#include <algorithm>
#include <cassert>

namespace jd {
namespace {

// Weight of the latest latency in the moving average.
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

int32_t SlotHolder::usable(MonoTime now, const EndpointId& endpoint) const {
  const Pool* pool = nullptr;
  const Slot* slot = Find(endpoint, &pool);
  return slot == nullptr ? 0 : pool->usable(now, *slot);
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
    pool.Expire(now);
    for (auto& [endpoint, slot] : pool.slots) {
      if (slot.in_flight >= pool.usable(now, slot) ||
          std::find(request.excluded.begin(), request.excluded.end(), endpoint) !=
              request.excluded.end()) {
        continue;
      }
      // A random factor of up to 5% spreads calls over endpoints with about the same latency.
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
  best_pool->UpdateBusy(now);
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
  pool->UpdateBusy(now);
  --slot->in_flight;
  // It is not known which call has ended. The earliest deadline is removed, because keeping the
  // later ones never reserves the slot for too short a time.
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
  pool->Expire(now);
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
      // The loans ended when the endpoint was removed, but its calls are still running.
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
      // A former run of this gateway may have let an owner lend its reserve, so the full delay is
      // needed.
      pool.reserve_back_at = now + kReserveHandover;
      pool.next_request = now;
      pool.busy_at = now;
    }
    for (const EndpointView& endpoint : pool_view.endpoints) {
      pool.slots.insert_or_assign(endpoint.id, Unpark(endpoint, pool_view.id));
      pool_of_[endpoint.id] = pool_view.id;
    }
    pool.view = std::move(pool_view);
    pool.AssignSlotReserve(roster_, self_);
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
  // The calls of a service may run in any of its pools, so each pool gets an equal part.
  const auto count = static_cast<int32_t>(ids->second.size());
  const int32_t part = (waiting_[service] + count - 1) / count;
  for (const PoolId& id : ids->second) {
    Pool& pool = pools_.at(id);
    pool.UpdateBusy(now);
    pool.waiting = part;
    pool.urgent = pool.urgent || std::min(part, pool.total_slots()) > pool.asked;
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
  slot->draining = report.state == EndpointState::kDraining;
  if (restarted || (report.state == EndpointState::kCold && slot->bound > 1)) {
    // Reduce the load before the owner reacts: only one slot is used until its next grant.
    slot->bound = 1;
    slot->limit = std::min(slot->limit, 1);
    pool->AssignSlotReserve(roster_, self_);
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

void SlotHolder::OnEndpointServing(MonoTime, const EndpointId& endpoint) {
  Pool* pool = nullptr;
  Slot* slot = Find(endpoint, &pool);
  if (slot != nullptr) {
    slot->leaving = false;
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
    pool.AssignSlotReserve(roster_, self_);
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
    // The former owner handed the pool over after this gateway had learned of the new owner.
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
  pool.Expire(now);
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
  pool.AssignSlotReserve(roster_, self_);
  pool.asked = std::min(pool.asked, pool.waiting);
  return added;
}

SlotRequest SlotHolder::MakeRequest(MonoTime now, Pool* pool) {
  SlotRequest request;
  request.pool = pool->view.id;
  request.owner = pool->incarnation;
  request.sequence = ++pool->sequence;
  request.last_grant = pool->last_grant;
  request.sent = now;
  // The owner can't lend more slots than the pool has.
  request.demand = std::min(pool->waiting, pool->total_slots());
  request.wanted = std::min(pool->wanted(), pool->total_slots());
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
    pool.Expire(now);
    pool.UpdateBusy(now);
    const bool due = pool.urgent || now >= pool.next_request;
    // If demand is unmet at the owner, idle slots are returned at once in a separate message.
    const bool returned = (due || pool.pressure) && pool.ReturnIdle(now);
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
