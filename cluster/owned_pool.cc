#include "cluster/owned_pool.h"

#include <algorithm>
#include <cassert>

#include "policy/slot_reserve.h"

namespace jd {
namespace {

/// A request is answered with a grant if the latest grant to the holder is at least this old, or if
/// there is new information for the holder.
constexpr Duration kGrantInterval = 200ms;

}  // namespace

void OwnedPool::SetView(MonoTime now,
                        const PoolView& view,
                        const std::map<ZoneId, double>& zone_shares,
                        const std::vector<GatewayId>& roster) {
  // An endpoint that is added to a known pool is assumed to be newly started, so it begins cold.
  const bool cold = !view_.endpoints.empty();
  roster_ = roster;
  std::map<EndpointId, LendableEndpoint> old = std::exchange(endpoints_, {});
  for (const EndpointView& endpoint : view.endpoints) {
    const auto before = old.find(endpoint.id);
    LendableEndpoint lendable{endpoint, 1.0, {}, EndpointHealth(endpoint.slots, cold)};
    if (before != old.end()) {
      lendable.health = before->second.health;
      lendable.health.SetSlots(endpoint.slots);
      lendable.leaving = before->second.leaving;
    }
    const auto share = zone_shares.find(endpoint.zone);
    lendable.zone_share = share == zone_shares.end() ? 1.0 : share->second;
    lendable.reserve_gateways = AssignReserve(roster_, endpoint.id, endpoint.slots);
    endpoints_.emplace(endpoint.id, std::move(lendable));
  }
  view_ = view;
  for (auto& [gateway, holder] : holders_) {
    std::erase_if(holder.loans,
                  [this](const auto& loan) { return !endpoints_.contains(loan.first); });
  }
  UpdateLoans(now);
}

void OwnedPool::SetRoster(MonoTime now, const std::vector<GatewayId>& roster) {
  roster_ = roster;
  for (auto& [endpoint, lendable] : endpoints_) {
    lendable.reserve_gateways = AssignReserve(roster_, endpoint, lendable.view.slots);
  }
  UpdateLoans(now);
}

void OwnedPool::TakeOwnership(MonoTime now) {
  if (owned_) {
    return;
  }
  owned_ = true;
  handover_pending_ = false;
  owned_since_ = now;
  holders_.clear();
  demand_queue_.clear();
  for (auto& [endpoint, lendable] : endpoints_) {
    lendable.health = EndpointHealth(lendable.view.slots, false);
  }
  UpdateLoans(now);
}

void OwnedPool::DropOwnership() {
  handover_pending_ = handover_pending_ || owned_;
  owned_ = false;
  demand_queue_.clear();
}

bool OwnedPool::InContact(MonoTime now, const Holder& holder) {
  return holder.contacted && now < holder.last_contact + kReserveContactWindow;
}

bool OwnedPool::InTakeover(MonoTime now) const {
  return now < owned_since_ + kReserveHandoverDelay;
}

void OwnedPool::UpdateLoans(MonoTime now) {
  last_update_ = std::max(last_update_, now);
  if (!owned_) {
    return;
  }
  ExpireLoans(now);
  RecountLoans();
  UpdateLoanLimits(now);
  ServeDemand(now);
}

void OwnedPool::ExpireLoans(MonoTime now) {
  for (auto& [gateway, holder] : holders_) {
    if (!holder.expired && now >= holder.loans_expire_at) {
      holder.expired = true;
      ClearDemand(gateway, &holder);
      for (auto& [endpoint, loan] : holder.loans) {
        loan.held = loan.in_flight;
        loan.unacknowledged.clear();
        loan.pending = 0;
      }
    }
    if (holder.expired) {
      std::erase_if(holder.loans,
                    [now](const auto& loan) { return now >= loan.second.busy_until; });
    }
  }
  std::erase_if(holders_, [](const auto& entry) {
    return entry.second.expired && entry.second.loans.empty();
  });
}

void OwnedPool::RecountLoans() {
  for (auto& [id, endpoint] : endpoints_) {
    endpoint.lent = 0;
    endpoint.usable_slots = 0;
  }
  for (const auto& [gateway, holder] : holders_) {
    // Both maps are ordered by endpoint ID, so they are merged in one pass. Looking up the endpoint
    // of each loan took most of the owner's CPU time under load.
    auto next = endpoints_.begin();
    for (const auto& [id, loan] : holder.loans) {
      while (next->first < id) {
        ++next;
      }
      assert(next->first == id);
      LendableEndpoint& endpoint = next->second;
      endpoint.lent += loan.total();
      // A holder whose loans have expired may not use them for new calls.
      endpoint.usable_slots += holder.expired ? 0 : loan.usable_slots();
    }
  }
}

void OwnedPool::UpdateLoanLimits(MonoTime now) {
  // For each gateway of the roster, whether slots of its reserve may be lent (first) and whether
  // loans of them may be renewed (second).
  std::vector<std::pair<bool, bool>> reserves;
  for (const GatewayId& gateway : roster_) {
    const auto holder = holders_.find(gateway);
    const bool in_contact = holder != holders_.end() && InContact(now, holder->second);
    const bool may_lend = in_contact && now >= holder->second.reserve_available_at;
    reserves.emplace_back(may_lend, may_lend || (in_contact && holder->second.handed_over));
  }
  for (auto& [id, endpoint] : endpoints_) {
    const int32_t slots = endpoint.view.slots;
    const double share = endpoint.zone_share;
    // If the zone has any share, at least one slot per endpoint stays usable, because without calls
    // there would be no evidence on which to raise the share.
    const int32_t zone_slots = share <= 0 ? 0 : std::max(1, static_cast<int32_t>(slots * share));
    endpoint.bound =
        endpoint.usable() ? std::min({slots, zone_slots, endpoint.health.bound(now)}) : 0;
    if (roster_.empty()) {
      endpoint.new_loan_limit = endpoint.renewal_limit = endpoint.bound;
      continue;
    }
    endpoint.new_loan_limit = endpoint.renewal_limit = 0;
    for (int32_t slot = 0; slot < endpoint.bound; ++slot) {
      const auto [may_lend, may_renew] =
          reserves[endpoint.reserve_gateways[static_cast<size_t>(slot)]];
      endpoint.new_loan_limit += may_lend ? 1 : 0;
      endpoint.renewal_limit += may_renew ? 1 : 0;
    }
  }
  MarkHoldersOverLimit(now);
}

void OwnedPool::MarkHoldersOverLimit(MonoTime now) {
  const bool takeover = InTakeover(now);
  if (std::none_of(endpoints_.begin(), endpoints_.end(), [takeover](const auto& entry) {
        const LendableEndpoint& endpoint = entry.second;
        return endpoint.usable_slots > (takeover ? endpoint.bound : endpoint.renewal_limit);
      })) {
    return;
  }
  for (auto& [gateway, holder] : holders_) {
    for (const auto& [id, loan] : holder.loans) {
      const LendableEndpoint& endpoint = endpoints_.at(id);
      const int32_t max_slots = takeover ? endpoint.bound : endpoint.renewal_limit;
      if (!holder.expired && loan.usable_slots() > 0 && endpoint.usable_slots > max_slots) {
        holder.grant_due = true;
      }
    }
  }
}

OwnedPool::Holder* OwnedPool::FindHolder(MonoTime now,
                                         const GatewayId& from,
                                         Incarnation incarnation) {
  const auto [entry, added] = holders_.try_emplace(from);
  Holder& holder = entry->second;
  if (!added && incarnation < holder.incarnation) {
    return nullptr;
  }
  if (added || incarnation > holder.incarnation) {
    ClearDemand(from, &holder);
    holder = Holder();
    holder.incarnation = incarnation;
    // During the takeover the holder may have unexpired loans of a former owner, which this owner
    // learns of only from the request. After the takeover such loans have expired.
    holder.expired = !InTakeover(now);
  }
  return &holder;
}

void OwnedPool::OnRequest(MonoTime now,
                          const GatewayId& from,
                          Incarnation incarnation,
                          const SlotRequest& request) {
  if (!owned_ || request.owner != incarnation_) {
    return;
  }
  ExpireLoans(now);
  Holder* const found = FindHolder(now, from, incarnation);
  if (found == nullptr || request.sequence <= found->sequence) {
    return;
  }
  Holder& holder = *found;
  holder.sequence = request.sequence;
  holder.request_sent = request.sent;
  holder.zone = request.zone;
  holder.wanted = request.wanted;
  holder.handed_over = holder.handed_over || request.handed_over;
  holder.reserve_available_at = now + request.reserve_in;
  ApplyAcknowledgement(&holder, request.last_grant);
  ApplyHeldSlots(now, &holder, request);
  holder.loans_expire_at = now + kLoanLifetimeAtOwner;
  holder.expired = false;
  ApplyEvidence(now, request);
  SetDemand(from, &holder, request.demand);
  UpdateLoans(now);
  holder.grant_due = holder.grant_due || now >= holder.granted_at + kGrantInterval ||
                     holder.sent_pressure == demand_queue_.empty();
  if (demand_queue_.empty() && now >= owned_since_ + kLoanLifetimeAtOwner &&
      CanRenewLoans(holder)) {
    LendWantedSlots(&holder);
  }
}

void OwnedPool::ApplyAcknowledgement(Holder* holder, uint64_t last_grant) {
  while (!holder->unacknowledged_grants.empty() &&
         holder->unacknowledged_grants.front().first <= last_grant) {
    holder->last_contact = holder->unacknowledged_grants.front().second;
    holder->contacted = true;
    holder->unacknowledged_grants.pop_front();
  }
  for (auto& [endpoint, loan] : holder->loans) {
    std::erase_if(loan.unacknowledged,
                  [last_grant](const auto& grant) { return grant.first <= last_grant; });
  }
}

void OwnedPool::ApplyHeldSlots(MonoTime now, Holder* holder, const SlotRequest& request) {
  for (auto& [endpoint, loan] : holder->loans) {
    loan.held = 0;
    loan.in_flight = 0;
  }
  for (const HeldSlots& held : request.held) {
    const auto endpoint = endpoints_.find(held.endpoint);
    if (endpoint == endpoints_.end()) {
      continue;
    }
    if (InTakeover(now) && held.bound < endpoint->second.view.slots) {
      endpoint->second.health.LowerWarmUpLimit(held.bound);
    }
    Loan& loan = holder->loans[held.endpoint];
    // If the loans have expired at the owner, they have expired at the holder too. Only slots with
    // calls in flight are still in use.
    loan.held = holder->expired ? held.in_flight : held.held;
    loan.in_flight = held.in_flight;
    loan.busy_until = now + held.longest_left;
  }
  for (auto& [endpoint, loan] : holder->loans) {
    if (loan.total() <= loan.limit) {
      loan.limit = kNoSlotLimit;
    }
  }
}

void OwnedPool::ApplyEvidence(MonoTime now, const SlotRequest& request) {
  std::vector<Duration> warm_latencies;
  size_t ejected = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.health.warm_latency().count() > 0) {
      warm_latencies.push_back(endpoint.health.warm_latency());
    }
    ejected += endpoint.health.ejected(now) ? 1 : 0;
  }
  if (!warm_latencies.empty()) {
    const auto middle =
        warm_latencies.begin() + static_cast<std::ptrdiff_t>(warm_latencies.size() / 2);
    std::nth_element(warm_latencies.begin(), middle, warm_latencies.end());
    median_warm_latency_ = *middle;
  }
  for (const EndpointEvidence& evidence : request.evidence) {
    const auto found = endpoints_.find(evidence.endpoint);
    if (found == endpoints_.end()) {
      continue;
    }
    EndpointHealth& health = found->second.health;
    health.OnEvidence(now, evidence, median_warm_latency_);
    if (2 * (ejected + 1) <= endpoints_.size() && health.EjectIfDue(now)) {
      ++ejected;
    }
  }
}

void OwnedPool::ClearDemand(const GatewayId& gateway, Holder* holder) {
  std::erase(demand_queue_, gateway);
  holder->demand = 0;
}

void OwnedPool::SetDemand(const GatewayId& from, Holder* holder, int32_t demand) {
  // The holder sent its demand before it received the slots that are on their way, so these are
  // subtracted.
  for (const auto& [endpoint, loan] : holder->loans) {
    demand -= loan.total() - loan.held;
  }
  demand = std::max(0, demand);
  for (; holder->demand < demand; ++holder->demand) {
    demand_queue_.push_back(from);
  }
  for (; holder->demand > demand; --holder->demand) {
    const auto last = std::find(demand_queue_.rbegin(), demand_queue_.rend(), from);
    demand_queue_.erase(std::next(last).base());
  }
}

bool OwnedPool::CanRenewLoans(const Holder& holder) const {
  return std::all_of(holder.loans.begin(), holder.loans.end(), [this](const auto& loan) {
    const LendableEndpoint& endpoint = endpoints_.at(loan.first);
    return loan.second.usable_slots() == 0 || endpoint.usable_slots <= endpoint.renewal_limit;
  });
}

}  // namespace jd
