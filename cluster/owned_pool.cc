#include "cluster/owned_pool.h"

#include <algorithm>
#include <cassert>

#include "policy/slot_reserve.h"

namespace jd {
namespace {

/// A request is answered with a grant if the latest grant to the holder is at least this old, or if
/// there is new information for the holder.
constexpr Duration kAnswerPeriod = 200ms;

}  // namespace

void OwnedPool::SetView(MonoTime now,
                        const PoolView& view,
                        const std::map<ZoneId, double>& zone_shares,
                        const std::vector<GatewayId>& roster) {
  // An endpoint that is added to a known pool is assumed to be newly started, so it begins cold.
  const bool cold = !view_.endpoints.empty();
  roster_ = roster;
  std::map<EndpointId, Lendable> old = std::exchange(endpoints_, {});
  for (const EndpointView& endpoint : view.endpoints) {
    const auto before = old.find(endpoint.id);
    Lendable lendable{endpoint, 1.0, {}, EndpointHealth(endpoint.slots, cold)};
    if (before != old.end()) {
      lendable.health = before->second.health;
      lendable.health.SetSlots(endpoint.slots);
      lendable.leaving = before->second.leaving;
    }
    const auto share = zone_shares.find(endpoint.zone);
    lendable.zone_share = share == zone_shares.end() ? 1.0 : share->second;
    lendable.assigned = AssignReserve(roster_, endpoint.id, endpoint.slots);
    endpoints_.emplace(endpoint.id, std::move(lendable));
  }
  view_ = view;
  for (auto& [gateway, holder] : holders_) {
    std::erase_if(holder.loans,
                  [this](const auto& loan) { return !endpoints_.contains(loan.first); });
  }
  Update(now);
}

void OwnedPool::SetRoster(MonoTime now, const std::vector<GatewayId>& roster) {
  roster_ = roster;
  for (auto& [endpoint, lendable] : endpoints_) {
    lendable.assigned = AssignReserve(roster_, endpoint, lendable.view.slots);
  }
  Update(now);
}

void OwnedPool::Take(MonoTime now) {
  if (owned_) {
    return;
  }
  owned_ = true;
  handing_over_ = false;
  taken_ = now;
  holders_.clear();
  queue_.clear();
  for (auto& [endpoint, lendable] : endpoints_) {
    lendable.health = EndpointHealth(lendable.view.slots, false);
  }
  Update(now);
}

void OwnedPool::Drop() {
  handing_over_ = handing_over_ || owned_;
  owned_ = false;
  queue_.clear();
}

bool OwnedPool::InContact(MonoTime now, const Holder& holder) {
  return holder.in_contact && now < holder.contact + kReserveContactWindow;
}

bool OwnedPool::InTakeover(MonoTime now) const {
  return now < taken_ + kReserveHandoverDelay;
}

void OwnedPool::Update(MonoTime now) {
  last_update_ = std::max(last_update_, now);
  if (!owned_) {
    return;
  }
  Expire(now);
  Recount();
  UpdateRooms(now);
  Serve(now);
}

void OwnedPool::Expire(MonoTime now) {
  for (auto& [gateway, holder] : holders_) {
    if (!holder.expired && now >= holder.lease_end) {
      holder.expired = true;
      ClearDemand(gateway, &holder);
      for (auto& [endpoint, loan] : holder.loans) {
        loan.claimed = loan.in_flight;
        loan.sent.clear();
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

void OwnedPool::Recount() {
  for (auto& [id, endpoint] : endpoints_) {
    endpoint.lent = 0;
    endpoint.effective = 0;
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
      Lendable& endpoint = next->second;
      endpoint.lent += loan.total();
      // A holder whose loans have expired may not use them for new calls.
      endpoint.effective += holder.expired ? 0 : loan.effective();
    }
  }
}

void OwnedPool::UpdateRooms(MonoTime now) {
  // For each gateway of the roster, whether slots of its reserve may be lent (first) and whether
  // loans of them may be renewed (second).
  std::vector<std::pair<bool, bool>> backs;
  for (const GatewayId& gateway : roster_) {
    const auto holder = holders_.find(gateway);
    const bool contact = holder != holders_.end() && InContact(now, holder->second);
    const bool free = contact && now >= holder->second.reserve_from;
    backs.emplace_back(free, free || (contact && holder->second.handed_over));
  }
  for (auto& [id, endpoint] : endpoints_) {
    const int32_t slots = endpoint.view.slots;
    const double share = endpoint.zone_share;
    // If the zone has any share, at least one slot per endpoint stays usable, because without calls
    // there would be no evidence on which to raise the share.
    const int32_t zone = share <= 0 ? 0 : std::max(1, static_cast<int32_t>(slots * share));
    endpoint.bound = endpoint.usable() ? std::min({slots, zone, endpoint.health.bound(now)}) : 0;
    if (roster_.empty()) {
      endpoint.room = endpoint.renew_room = endpoint.bound;
      continue;
    }
    endpoint.room = endpoint.renew_room = 0;
    for (int32_t slot = 0; slot < endpoint.bound; ++slot) {
      const auto [lend, renew] = backs[endpoint.assigned[static_cast<size_t>(slot)]];
      endpoint.room += lend ? 1 : 0;
      endpoint.renew_room += renew ? 1 : 0;
    }
  }
  MarkLimited(now);
}

void OwnedPool::MarkLimited(MonoTime now) {
  const bool takeover = InTakeover(now);
  if (std::none_of(endpoints_.begin(), endpoints_.end(), [takeover](const auto& entry) {
        const Lendable& endpoint = entry.second;
        return endpoint.effective > (takeover ? endpoint.bound : endpoint.renew_room);
      })) {
    return;
  }
  for (auto& [gateway, holder] : holders_) {
    for (const auto& [id, loan] : holder.loans) {
      const Lendable& endpoint = endpoints_.at(id);
      const int32_t cap = takeover ? endpoint.bound : endpoint.renew_room;
      if (!holder.expired && loan.effective() > 0 && endpoint.effective > cap) {
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
  Expire(now);
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
  holder.reserve_from = now + request.reserve_in;
  TakeAcknowledgement(&holder, request.last_grant);
  TakeClaims(now, &holder, request);
  holder.lease_end = now + kLoanLifetimeAtOwner;
  holder.expired = false;
  TakeEvidence(now, request);
  TakeDemand(from, &holder, request.demand);
  Update(now);
  holder.grant_due = holder.grant_due || now >= holder.granted + kAnswerPeriod ||
                     holder.told_pressure == queue_.empty();
  if (queue_.empty() && now >= taken_ + kLoanLifetimeAtOwner && Renewable(holder)) {
    TopUp(&holder);
  }
}

void OwnedPool::TakeAcknowledgement(Holder* holder, uint64_t last_grant) {
  while (!holder->grants.empty() && holder->grants.front().first <= last_grant) {
    holder->contact = holder->grants.front().second;
    holder->in_contact = true;
    holder->grants.pop_front();
  }
  for (auto& [endpoint, loan] : holder->loans) {
    std::erase_if(loan.sent, [last_grant](const auto& grant) { return grant.first <= last_grant; });
  }
}

void OwnedPool::TakeClaims(MonoTime now, Holder* holder, const SlotRequest& request) {
  for (auto& [endpoint, loan] : holder->loans) {
    loan.claimed = 0;
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
    loan.claimed = holder->expired ? held.in_flight : held.held;
    loan.in_flight = held.in_flight;
    loan.busy_until = now + held.longest_left;
  }
  for (auto& [endpoint, loan] : holder->loans) {
    if (loan.total() <= loan.limit) {
      loan.limit = kNoSlotLimit;
    }
  }
}

void OwnedPool::TakeEvidence(MonoTime now, const SlotRequest& request) {
  std::vector<Duration> warm;
  size_t ejected = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.health.warm_latency().count() > 0) {
      warm.push_back(endpoint.health.warm_latency());
    }
    ejected += endpoint.health.ejected(now) ? 1 : 0;
  }
  if (!warm.empty()) {
    const auto middle = warm.begin() + static_cast<std::ptrdiff_t>(warm.size() / 2);
    std::nth_element(warm.begin(), middle, warm.end());
    median_ = *middle;
  }
  for (const EndpointEvidence& evidence : request.evidence) {
    const auto found = endpoints_.find(evidence.endpoint);
    if (found == endpoints_.end()) {
      continue;
    }
    EndpointHealth& health = found->second.health;
    health.OnEvidence(now, evidence, median_);
    if (2 * (ejected + 1) <= endpoints_.size() && health.EjectIfDue(now)) {
      ++ejected;
    }
  }
}

void OwnedPool::ClearDemand(const GatewayId& gateway, Holder* holder) {
  std::erase(queue_, gateway);
  holder->demand = 0;
}

void OwnedPool::TakeDemand(const GatewayId& from, Holder* holder, int32_t demand) {
  // The holder sent its demand before it received the slots that are on their way, so these are
  // subtracted.
  for (const auto& [endpoint, loan] : holder->loans) {
    demand -= loan.total() - loan.claimed;
  }
  demand = std::max(0, demand);
  for (; holder->demand < demand; ++holder->demand) {
    queue_.push_back(from);
  }
  for (; holder->demand > demand; --holder->demand) {
    const auto last = std::find(queue_.rbegin(), queue_.rend(), from);
    queue_.erase(std::next(last).base());
  }
}

bool OwnedPool::Renewable(const Holder& holder) const {
  return std::all_of(holder.loans.begin(), holder.loans.end(), [this](const auto& loan) {
    const Lendable& endpoint = endpoints_.at(loan.first);
    return loan.second.effective() == 0 || endpoint.effective <= endpoint.renew_room;
  });
}

}  // namespace jd
