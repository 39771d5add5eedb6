#include "policy/slot_holder.h"

#include <algorithm>
#include <cassert>

namespace jd {
namespace {

// Weight of the latest latency in the moving average.
constexpr double kLatencyWeight = 0.1;

}  // namespace

EndpointSlots* SlotHolder::FindEndpoint(const EndpointId& endpoint, HeldPool** pool) {
  const auto id = pool_of_.find(endpoint);
  if (id == pool_of_.end()) {
    return nullptr;
  }
  *pool = &pools_.at(id->second);
  return &(*pool)->endpoints.at(endpoint);
}

const EndpointSlots* SlotHolder::FindEndpoint(const EndpointId& endpoint,
                                              const HeldPool** pool) const {
  const auto id = pool_of_.find(endpoint);
  if (id == pool_of_.end()) {
    return nullptr;
  }
  *pool = &pools_.at(id->second);
  return &(*pool)->endpoints.at(endpoint);
}

int32_t SlotHolder::usable_slots(MonoTime now, const EndpointId& endpoint) const {
  const HeldPool* pool = nullptr;
  const EndpointSlots* slots = FindEndpoint(endpoint, &pool);
  return slots == nullptr ? 0 : pool->usable_slots(now, *slots);
}

int32_t SlotHolder::in_flight(const EndpointId& endpoint) const {
  const HeldPool* pool = nullptr;
  const EndpointSlots* slots = FindEndpoint(endpoint, &pool);
  return slots == nullptr ? 0 : slots->in_flight;
}

std::optional<EndpointId> SlotHolder::Acquire(MonoTime now,
                                              const AcquireRequest& request,
                                              RandomEngine& random) {
  const auto service = services_.find(request.service);
  if (service == services_.end()) {
    return std::nullopt;
  }
  HeldPool* best_pool = nullptr;
  EndpointSlots* best = nullptr;
  std::pair<bool, double> best_cost;
  for (const PoolId& id : service->second) {
    HeldPool& pool = pools_.at(id);
    pool.ExpireLoans(now);
    for (auto& [endpoint, slots] : pool.endpoints) {
      if (slots.in_flight >= pool.usable_slots(now, slots) ||
          std::find(request.excluded.begin(), request.excluded.end(), endpoint) !=
              request.excluded.end()) {
        continue;
      }
      // A random factor of up to 5% spreads calls over endpoints with about the same latency.
      const double jitter = 1.0 + static_cast<double>(random() % 1024) / 20480;
      const std::pair cost(slots.view.zone != request.local_zone, slots.mean_latency_us * jitter);
      if (best == nullptr || cost < best_cost) {
        best_pool = &pool;
        best = &slots;
        best_cost = cost;
      }
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  best_pool->UpdateMeanBusy(now);
  ++best->in_flight;
  best->held = std::max(best->held, best->in_flight);
  best->deadlines.emplace(request.deadline, 0);
  return best->view.id;
}

void SlotHolder::Release(MonoTime now, const EndpointId& endpoint, const AttemptResult& result) {
  if (const auto detached = detached_.find(endpoint); detached != detached_.end()) {
    EndpointSlots& slots = detached->second;
    slots.deadlines.erase(slots.deadlines.begin());
    if (--slots.in_flight == 0) {
      detached_.erase(detached);
    }
    return;
  }
  HeldPool* pool = nullptr;
  EndpointSlots* slots = FindEndpoint(endpoint, &pool);
  if (slots == nullptr) {
    return;
  }
  assert(slots->in_flight > 0);
  pool->UpdateMeanBusy(now);
  --slots->in_flight;
  // It is not known which call has ended. The earliest deadline is removed, because keeping the
  // later ones never reserves the slot for too short a time.
  slots->deadlines.erase(slots->deadlines.begin());
  slots->idle_since = now;
  EndpointEvidence& evidence = slots->evidence;
  if (result.outcome == AttemptOutcome::kAnswered && result.status < 500) {
    ++evidence.successes;
    evidence.latency_sum += result.latency;
    evidence.latency_max = std::max(evidence.latency_max, result.latency);
    const auto latency = static_cast<double>(result.latency.count());
    slots->mean_latency_us +=
        (slots->mean_latency_us == 0 ? 1.0 : kLatencyWeight) * (latency - slots->mean_latency_us);
  } else if (result.outcome == AttemptOutcome::kRefused) {
    ++evidence.refusals;
  } else if (result.outcome != AttemptOutcome::kCancelled) {
    ++evidence.failures;
  }
  pool->ExpireLoans(now);
  if (slots->held > slots->limit) {
    slots->held = std::max(slots->limit, slots->in_flight);
    pool->request_urgent = true;
  }
}

void SlotHolder::DetachEndpoints(HeldPool* pool) {
  for (auto& [endpoint, slots] : pool->endpoints) {
    pool_of_.erase(endpoint);
    detached_.insert_or_assign(endpoint, std::move(slots));
  }
  pool->endpoints.clear();
}

void SlotHolder::DetachFromOtherPool(const EndpointId& endpoint, const PoolId& pool) {
  const auto current = pool_of_.find(endpoint);
  if (current == pool_of_.end() || current->second == pool) {
    return;
  }
  auto slots = pools_.at(current->second).endpoints.extract(endpoint);
  detached_.insert_or_assign(endpoint, std::move(slots.mapped()));
  pool_of_.erase(current);
}

EndpointSlots SlotHolder::AttachEndpoint(const EndpointView& endpoint, const PoolId& pool) {
  EndpointSlots slots;
  const auto detached = detached_.find(endpoint.id);
  if (detached != detached_.end()) {
    if (detached->second.pool == pool) {
      slots = std::move(detached->second);
    } else {
      // The loans ended when the endpoint was removed, but its calls are still running.
      slots.in_flight = slots.held = detached->second.in_flight;
      slots.deadlines = std::move(detached->second.deadlines);
    }
    detached_.erase(detached);
  }
  slots.pool = pool;
  slots.view = endpoint;
  slots.evidence.endpoint = endpoint.id;
  return slots;
}

void SlotHolder::SetService(MonoTime now, const ServiceView& view) {
  std::vector<PoolId>& ids = services_[view.id];
  std::vector<PoolId> old_ids = std::exchange(ids, {});
  for (const PoolId& id : old_ids) {
    DetachEndpoints(&pools_.at(id));
  }
  for (PoolView& pool_view : SplitIntoPools(view)) {
    ids.push_back(pool_view.id);
    auto [found, added] = pools_.try_emplace(pool_view.id);
    HeldPool& pool = found->second;
    if (added) {
      // A former run of this gateway may have let an owner lend its reserve, so the full delay is
      // needed.
      pool.reserve_available_at = now + kReserveHandoverDelay;
      pool.next_request = now;
      pool.mean_busy_updated = now;
    }
    for (const EndpointView& endpoint : pool_view.endpoints) {
      DetachFromOtherPool(endpoint.id, pool_view.id);
      pool.endpoints.insert_or_assign(endpoint.id, AttachEndpoint(endpoint, pool_view.id));
      pool_of_[endpoint.id] = pool_view.id;
    }
    pool.view = std::move(pool_view);
    pool.UpdateReserve(roster_, self_);
    std::erase(old_ids, found->first);
  }
  for (const PoolId& id : old_ids) {
    pools_.erase(id);
  }
  std::erase_if(detached_, [](const auto& entry) { return entry.second.in_flight == 0; });
  for (auto& [endpoint, slots] : detached_) {
    slots.pool = PoolId();
  }
  DistributeQueuedCalls(now, view.id);
}

void SlotHolder::RemoveService(MonoTime now, const ServiceId& service) {
  SetService(now, ServiceView{service, {}});
  services_.erase(service);
  queued_calls_.erase(service);
}

void SlotHolder::SetQueueLength(MonoTime now, const ServiceId& service, int32_t queue_length) {
  queued_calls_[service] = queue_length;
  DistributeQueuedCalls(now, service);
}

void SlotHolder::DistributeQueuedCalls(MonoTime now, const ServiceId& service) {
  const auto ids = services_.find(service);
  if (ids == services_.end() || ids->second.empty()) {
    return;
  }
  // The calls of a service may run in any of its pools, so each pool gets an equal part.
  const auto count = static_cast<int32_t>(ids->second.size());
  const int32_t part = (queued_calls_[service] + count - 1) / count;
  for (const PoolId& id : ids->second) {
    HeldPool& pool = pools_.at(id);
    pool.UpdateMeanBusy(now);
    pool.queued_calls = part;
    pool.request_urgent =
        pool.request_urgent || std::min(part, pool.total_slots()) > pool.requested_demand;
  }
}

void SlotHolder::OnLoadReport(MonoTime, const EndpointId& endpoint, const LoadReport& report) {
  HeldPool* pool = nullptr;
  EndpointSlots* slots = FindEndpoint(endpoint, &pool);
  if (slots == nullptr) {
    return;
  }
  const bool restarted =
      !slots->instance.empty() && !report.instance.empty() && slots->instance != report.instance;
  const bool worse = report.state != EndpointState::kWarm &&
                     (!slots->evidence.reported || slots->evidence.state != report.state);
  slots->evidence.state = report.state;
  slots->evidence.instance = report.instance;
  slots->evidence.reported = true;
  slots->instance = report.instance;
  slots->draining = report.state == EndpointState::kDraining;
  if (restarted || (report.state == EndpointState::kCold && slots->bound > 1)) {
    // Reduce the load before the owner reacts: only one slot is used until its next grant.
    slots->bound = 1;
    slots->limit = std::min(slots->limit, 1);
    pool->UpdateReserve(roster_, self_);
    pool->request_urgent = true;
  }
  pool->request_urgent = pool->request_urgent || worse;
}

void SlotHolder::OnEndpointLeaving(MonoTime, const EndpointId& endpoint) {
  HeldPool* pool = nullptr;
  EndpointSlots* slots = FindEndpoint(endpoint, &pool);
  if (slots != nullptr && !slots->leaving) {
    slots->leaving = true;
    pool->request_urgent = true;
  }
}

void SlotHolder::OnEndpointServing(MonoTime, const EndpointId& endpoint) {
  HeldPool* pool = nullptr;
  EndpointSlots* slots = FindEndpoint(endpoint, &pool);
  if (slots != nullptr) {
    slots->leaving = false;
  }
}

void SlotHolder::SetOwner(MonoTime now,
                          const PoolId& id,
                          const GatewayId& owner,
                          Incarnation incarnation) {
  const auto found = pools_.find(id);
  if (found == pools_.end() ||
      (found->second.owner == owner && found->second.owner_incarnation == incarnation)) {
    return;
  }
  HeldPool& pool = found->second;
  pool.former_owner = pool.owner;
  pool.former_owner_incarnation = pool.owner_incarnation;
  pool.former_owner_last_grant = pool.last_grant;
  pool.previous_reserve_available_at = pool.reserve_available_at;
  if (!pool.owner.empty() && pool.heard_from_owner) {
    const Duration wait = pool.handed_over ? kLoanLifetimeAtOwner : kReserveHandoverDelay;
    pool.reserve_available_at =
        std::max(pool.reserve_available_at, pool.last_grant_received + wait);
  }
  pool.owner = owner;
  pool.owner_incarnation = incarnation;
  pool.last_grant = 0;
  pool.pressure = false;
  pool.requested_demand = 0;
  pool.request_urgent = true;
  pool.next_request = now;
}

void SlotHolder::SetRoster(MonoTime, std::vector<GatewayId> roster) {
  roster_ = std::move(roster);
  for (auto& [id, pool] : pools_) {
    for (auto& [endpoint, slots] : pool.endpoints) {
      slots.reserve_gateways.clear();
    }
    pool.UpdateReserve(roster_, self_);
  }
}

bool SlotHolder::OnGrant(MonoTime now, const GatewayId& from, const SlotGrant& grant) {
  const auto found = pools_.find(grant.pool);
  if (grant.holder != incarnation_) {
    return false;
  }
  if (found != pools_.end() && grant.handed_over && found->second.former_owner == from &&
      found->second.former_owner_incarnation == grant.owner && found->second.last_grant == 0 &&
      grant.sequence > found->second.former_owner_last_grant) {
    // The former owner handed the pool over after this gateway had learned of the new owner.
    found->second.handed_over = true;
    found->second.reserve_available_at =
        std::max(found->second.previous_reserve_available_at, now + kLoanLifetimeAtOwner);
    found->second.request_urgent = true;
    return false;
  }
  if (found == pools_.end() || found->second.owner != from ||
      found->second.owner_incarnation != grant.owner ||
      grant.sequence <= found->second.last_grant) {
    return false;
  }
  HeldPool& pool = found->second;
  pool.ExpireLoans(now);
  pool.last_grant = grant.sequence;
  pool.last_grant_received = now;
  pool.heard_from_owner = true;
  pool.handed_over = grant.handed_over;
  pool.pressure = grant.pressure;
  const MonoTime end = grant.request_sent + grant.lifetime;
  pool.loans_expire_at = std::max(pool.loans_expire_at, end);
  bool added = false;
  for (auto& [endpoint, slots] : pool.endpoints) {
    slots.limit = kNoSlotLimit;
  }
  for (const GrantedSlots& granted : grant.slots) {
    const auto in_pool = pool.endpoints.find(granted.endpoint);
    if (in_pool == pool.endpoints.end()) {
      continue;
    }
    EndpointSlots& slots = in_pool->second;
    if (end > now && granted.added > 0) {
      slots.held += granted.added;
      slots.idle_since = now;
      added = true;
    }
    slots.bound = granted.bound;
    slots.limit = granted.limit;
    if (slots.held > slots.limit) {
      slots.held = std::max(slots.limit, slots.in_flight);
      pool.request_urgent = true;
    }
  }
  pool.UpdateReserve(roster_, self_);
  pool.requested_demand = std::min(pool.requested_demand, pool.queued_calls);
  return added;
}

SlotRequest SlotHolder::MakeRequest(MonoTime now, HeldPool* pool) {
  SlotRequest request;
  request.pool = pool->view.id;
  request.owner = pool->owner_incarnation;
  request.sequence = ++pool->sequence;
  request.last_grant = pool->last_grant;
  request.sent = now;
  // The owner can't lend more slots than the pool has.
  request.demand = std::min(pool->queued_calls, pool->total_slots());
  request.wanted = std::min(pool->wanted_slots(), pool->total_slots());
  request.reserve_in = std::max(Duration(0), pool->reserve_available_at - now);
  request.handed_over = pool->handed_over;
  request.zone = zone_;
  for (auto& [endpoint, slots] : pool->endpoints) {
    if (slots.held > 0 || slots.bound < slots.view.slots) {
      Duration left{0};
      if (!slots.deadlines.empty()) {
        left = std::max(Duration(0), slots.deadlines.rbegin()->first - now);
      }
      request.held.push_back({endpoint, slots.held, slots.in_flight, left, slots.bound});
    }
    EndpointEvidence& evidence = slots.evidence;
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
    pool.ExpireLoans(now);
    pool.UpdateMeanBusy(now);
    const bool due = pool.request_urgent || now >= pool.next_request;
    // If demand is unmet at the owner, idle slots are returned at once, even if no request is due.
    const bool returned = (due || pool.pressure) && pool.ReturnIdleSlots(now);
    if (!due && !returned) {
      continue;
    }
    requests.push_back({pool.owner, MakeRequest(now, &pool)});
    pool.requested_demand = requests.back().request.demand;
    pool.request_urgent = false;
    pool.next_request = now + kRenewalPeriod;
  }
  return requests;
}

std::optional<MonoTime> SlotHolder::next_timer() const {
  std::optional<MonoTime> next;
  for (const auto& [id, pool] : pools_) {
    if (!pool.owner.empty()) {
      const MonoTime due = pool.request_urgent ? MonoTime() : pool.next_request;
      next = next ? std::min(*next, due) : due;
    }
  }
  return next;
}

}  // namespace jd
