// The part of OwnedPool that lends slots to holders with demand and builds the grants.
#include <algorithm>
#include <utility>

#include "cluster/owned_pool.h"

namespace jd {

void OwnedPool::ServeDemand(MonoTime now) {
  if (now < owned_since_ + kLoanLifetimeAtOwner) {
    return;
  }
  int32_t free = FreeSlots();
  for (auto gateway = demand_queue_.begin(); gateway != demand_queue_.end() && free > 0;) {
    Holder& holder = holders_.at(*gateway);
    // During the takeover a holder with loans that cannot be renewed gets no slots. Afterwards
    // grants limit such loans, so every holder can get slots.
    if ((InTakeover(now) && !CanRenewLoans(holder)) || !LendSlot(&holder)) {
      ++gateway;
      continue;
    }
    --holder.demand;
    --free;
    holder.grant_due = true;
    gateway = demand_queue_.erase(gateway);
  }
  if (demand_queue_.empty()) {
    return;
  }
  for (auto& [gateway, holder] : holders_) {
    for (const auto& [id, loan] : holder.loans) {
      if (!holder.sent_pressure && loan.usable_slots() > loan.in_flight) {
        holder.grant_due = true;
      }
    }
  }
}

int32_t OwnedPool::FreeSlots() const {
  int32_t free = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    free += std::max(0, endpoint.new_loan_limit - endpoint.lent);
  }
  return free;
}

bool OwnedPool::LendSlot(Holder* holder) {
  LendableEndpoint* best = nullptr;
  std::pair<bool, double> best_cost;
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.lent >= endpoint.new_loan_limit) {
      continue;
    }
    const std::pair cost(endpoint.view.zone != holder->zone,
                         static_cast<double>(endpoint.lent) / endpoint.bound);
    if (best == nullptr || cost < best_cost) {
      best = &endpoint;
      best_cost = cost;
    }
  }
  if (best == nullptr) {
    return false;
  }
  Loan& loan = holder->loans[best->view.id];
  ++loan.pending;
  ++best->lent;
  ++best->usable_slots;
  return true;
}

void OwnedPool::LendWantedSlots(Holder* holder) {
  int32_t free = FreeSlots();
  // The owner keeps some slots free, so that sudden demand of any gateway is met in one round trip.
  const auto kept_free = static_cast<int32_t>(holders_.size() / 2);
  for (int32_t total = holder->total(); total < holder->wanted && free > kept_free;
       ++total, --free) {
    if (!LendSlot(holder)) {
      return;
    }
    holder->grant_due = true;
  }
}

void OwnedPool::LimitLoan(int32_t max_slots, LendableEndpoint* endpoint, Loan* loan) {
  const int32_t before = loan->usable_slots();
  if (endpoint->usable_slots > max_slots && before > 0) {
    loan->limit = std::max(0, before - (endpoint->usable_slots - max_slots));
    endpoint->usable_slots -= before - loan->limit;
  }
}

SlotGrant OwnedPool::MakeEmptyGrant(const Holder& holder, uint64_t* sequence) const {
  SlotGrant grant;
  grant.pool = view_.id;
  grant.owner = incarnation_;
  grant.holder = holder.incarnation;
  grant.sequence = ++*sequence;
  grant.request = holder.sequence;
  grant.request_sent = holder.request_sent;
  return grant;
}

SlotGrant OwnedPool::MakeGrant(MonoTime now, Holder* holder, uint64_t* sequence) {
  SlotGrant grant = MakeEmptyGrant(*holder, sequence);
  grant.pressure = !demand_queue_.empty();
  const bool takeover = InTakeover(now);
  for (auto& [id, endpoint] : endpoints_) {
    const auto found = holder->loans.find(id);
    GrantedSlots slots{id, 0, kNoSlotLimit, endpoint.bound};
    if (found != holder->loans.end()) {
      Loan& loan = found->second;
      slots.added = std::exchange(loan.pending, 0);
      if (slots.added > 0) {
        loan.unacknowledged.emplace_back(grant.sequence, slots.added);
      }
      LimitLoan(takeover ? endpoint.bound : endpoint.renewal_limit, &endpoint, &loan);
      slots.limit = loan.limit;
    }
    int32_t& sent_bound = holder->sent_bounds.try_emplace(id, kNoSlotLimit).first->second;
    if (slots.added > 0 || slots.limit != kNoSlotLimit ||
        std::min(sent_bound, endpoint.view.slots) != endpoint.bound) {
      sent_bound = endpoint.bound;
      grant.slots.push_back(slots);
    }
  }
  grant.lifetime = CanRenewLoans(*holder) ? kLoanLifetime : Duration(0);
  holder->unacknowledged_grants.emplace_back(grant.sequence, now);
  holder->granted_at = now;
  holder->sent_pressure = grant.pressure;
  holder->grant_due = false;
  return grant;
}

void OwnedPool::TakeGrants(MonoTime now,
                           uint64_t* sequence,
                           std::vector<OutgoingSlotGrant>* grants) {
  if (handover_pending_) {
    for (const auto& [gateway, holder] : holders_) {
      SlotGrant grant = MakeEmptyGrant(holder, sequence);
      grant.handed_over = true;
      grants->push_back({gateway, std::move(grant)});
    }
    holders_.clear();
    handover_pending_ = false;
  }
  UpdateLoans(now);
  for (auto& [gateway, holder] : holders_) {
    if (holder.grant_due && !holder.expired) {
      grants->push_back({gateway, MakeGrant(now, &holder, sequence)});
    }
  }
}

std::optional<MonoTime> OwnedPool::next_timer() const {
  if (!owned_) {
    return std::nullopt;
  }
  std::optional<MonoTime> next;
  const auto add = [this, &next](MonoTime time) {
    if (time > last_update_) {
      next = next ? std::min(*next, time) : time;
    }
  };
  add(owned_since_ + kLoanLifetimeAtOwner);
  add(owned_since_ + kReserveHandoverDelay);
  for (const auto& [gateway, holder] : holders_) {
    add(holder.loans_expire_at);
    add(holder.reserve_available_at);
    add(holder.last_contact + kReserveContactWindow);
    for (const auto& [endpoint, loan] : holder.loans) {
      add(loan.busy_until);
    }
  }
  for (const auto& [endpoint, lendable] : endpoints_) {
    add(lendable.health.next_change(last_update_).value_or(MonoTime()));
  }
  return next;
}

void OwnedPool::OnHolderGone(MonoTime now, const GatewayId& gateway, bool left) {
  const auto holder = holders_.find(gateway);
  if (holder == holders_.end()) {
    return;
  }
  ClearDemand(gateway, &holder->second);
  if (left) {
    holders_.erase(holder);
  }
  UpdateLoans(now);
}

void OwnedPool::OnProbeReport(MonoTime now, const EndpointId& endpoint, const LoadReport& report) {
  int32_t in_flight = 0;
  for (const auto& [gateway, holder] : holders_) {
    const auto loan = holder.loans.find(endpoint);
    in_flight += loan == holder.loans.end() ? 0 : loan->second.in_flight;
  }
  endpoints_.at(endpoint).health.OnLoadReport(now, report, in_flight);
  UpdateLoans(now);
}

}  // namespace jd
