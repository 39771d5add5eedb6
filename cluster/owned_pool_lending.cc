// The part of OwnedPool that lends slots to holders with demand and builds the grants.
#include <algorithm>
#include <utility>

#include "cluster/owned_pool.h"

namespace jd {

void OwnedPool::Serve(MonoTime now) {
  if (now < taken_ + kLoanLifetimeAtOwner) {
    return;
  }
  int32_t free = FreeSlots();
  for (auto gateway = queue_.begin(); gateway != queue_.end() && free > 0;) {
    Holder& holder = holders_.at(*gateway);
    // During the takeover a holder with loans that cannot be renewed gets no slots. Afterwards
    // grants limit such loans, so every holder can get slots.
    if ((InTakeover(now) && !Renewable(holder)) || !LendOne(&holder)) {
      ++gateway;
      continue;
    }
    --holder.demand;
    --free;
    holder.grant_due = true;
    gateway = queue_.erase(gateway);
  }
  if (queue_.empty()) {
    return;
  }
  for (auto& [gateway, holder] : holders_) {
    for (const auto& [id, loan] : holder.loans) {
      if (!holder.told_pressure && loan.effective() > loan.in_flight) {
        holder.grant_due = true;
      }
    }
  }
}

int32_t OwnedPool::FreeSlots() const {
  int32_t free = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    free += std::max(0, endpoint.room - endpoint.lent);
  }
  return free;
}

bool OwnedPool::LendOne(Holder* holder) {
  Lendable* best = nullptr;
  std::pair<bool, double> best_cost;
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.lent >= endpoint.room) {
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
  ++best->effective;
  return true;
}

void OwnedPool::TopUp(Holder* holder) {
  int32_t free = FreeSlots();
  // The owner keeps some slots free, so that sudden demand of any gateway is met in one round trip.
  const auto kept = static_cast<int32_t>(holders_.size() / 2);
  for (int32_t total = holder->total(); total < holder->wanted && free > kept; ++total, --free) {
    if (!LendOne(holder)) {
      return;
    }
    holder->grant_due = true;
  }
}

void OwnedPool::LimitLoan(int32_t cap, Lendable* endpoint, Loan* loan) {
  const int32_t before = loan->effective();
  if (endpoint->effective > cap && before > 0) {
    loan->limit = std::max(0, before - (endpoint->effective - cap));
    endpoint->effective -= before - loan->limit;
  }
}

SlotGrant OwnedPool::StartGrant(const Holder& holder, uint64_t* sequence) const {
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
  SlotGrant grant = StartGrant(*holder, sequence);
  grant.pressure = !queue_.empty();
  const bool takeover = InTakeover(now);
  for (auto& [id, endpoint] : endpoints_) {
    const auto found = holder->loans.find(id);
    GrantedSlots slots{id, 0, kNoSlotLimit, endpoint.bound};
    if (found != holder->loans.end()) {
      Loan& loan = found->second;
      slots.added = std::exchange(loan.pending, 0);
      if (slots.added > 0) {
        loan.sent.emplace_back(grant.sequence, slots.added);
      }
      LimitLoan(takeover ? endpoint.bound : endpoint.renew_room, &endpoint, &loan);
      slots.limit = loan.limit;
    }
    int32_t& told = holder->told_bounds.try_emplace(id, kNoSlotLimit).first->second;
    if (slots.added > 0 || slots.limit != kNoSlotLimit ||
        std::min(told, endpoint.view.slots) != endpoint.bound) {
      told = endpoint.bound;
      grant.slots.push_back(slots);
    }
  }
  grant.lifetime = Renewable(*holder) ? kLoanLifetime : Duration(0);
  holder->grants.emplace_back(grant.sequence, now);
  holder->granted = now;
  holder->told_pressure = grant.pressure;
  holder->grant_due = false;
  return grant;
}

void OwnedPool::TakeGrants(MonoTime now,
                           uint64_t* sequence,
                           std::vector<OutgoingSlotGrant>* grants) {
  if (handing_over_) {
    for (const auto& [gateway, holder] : holders_) {
      SlotGrant grant = StartGrant(holder, sequence);
      grant.handed_over = true;
      grants->push_back({gateway, std::move(grant)});
    }
    holders_.clear();
    handing_over_ = false;
  }
  Update(now);
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
  add(taken_ + kLoanLifetimeAtOwner);
  add(taken_ + kReserveHandoverDelay);
  for (const auto& [gateway, holder] : holders_) {
    add(holder.lease_end);
    add(holder.reserve_from);
    add(holder.contact + kReserveContactWindow);
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
  Update(now);
}

void OwnedPool::OnProbeReport(MonoTime now, const EndpointId& endpoint, const LoadReport& report) {
  int32_t in_flight = 0;
  for (const auto& [gateway, holder] : holders_) {
    const auto loan = holder.loans.find(endpoint);
    in_flight += loan == holder.loans.end() ? 0 : loan->second.in_flight;
  }
  endpoints_.at(endpoint).health.OnReport(now, report, in_flight);
  Update(now);
}

}  // namespace jd
