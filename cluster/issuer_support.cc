#include "cluster/issuer_support.h"

#include <algorithm>
#include <utility>

namespace jd {
namespace {

// Time for which earlier views of a gateway are kept. It bounds how far back SupportersSince sees.
constexpr Duration kHistory = 10s;
constexpr size_t kMaxEntries = 16;

}  // namespace

IssuerSupport::IssuerSupport(const GatewayId& self, Duration lifetime)
    : self_(HashOf(self)), lifetime_(lifetime) {}

void IssuerSupport::SetOwnView(MonoTime now, GatewayViewPtr view, bool alone) {
  std::deque<Entry>& entries = own_.entries;
  const bool same = !entries.empty() && *entries.back().view == *view;
  if (same && alone == alone_) {
    return;
  }
  alone_ = alone;
  cache_.clear();
  if (same) {
    return;
  }
  DropOld(now, &entries);
  if (!entries.empty()) {
    entries.back().until = now + lifetime_;
  }
  const bool follows = !entries.empty();
  entries.push_back({std::move(view), now, MonoTime::max(), follows});
  std::erase_if(peers_, [now](const auto& peer) {
    const std::deque<Entry>& theirs = peer.second.entries;
    return theirs.empty() || theirs.back().until + kHistory < now;
  });
}

void IssuerSupport::OnAnnouncement(MonoTime now,
                                   const GatewayId& peer,
                                   const Announcement& announcement) {
  Supporter& supporter = peers_[peer];
  if (supporter.incarnation != announcement.incarnation) {
    supporter = {};
    supporter.incarnation = announcement.incarnation;
    cache_.clear();
  }
  if (announcement.view == nullptr) {
    return;  // The support for the former view runs out.
  }
  std::deque<Entry>& entries = supporter.entries;
  const MonoTime until = announcement.echo + lifetime_;
  if (entries.empty() || now >= entries.back().until) {
    supporter.valid_since = now;
    cache_.clear();
  }
  if (!entries.empty() && announcement.generation == supporter.generation) {
    entries.back().until = std::max(entries.back().until, until);
    return;
  }
  DropOld(now, &entries);
  const bool follows = !entries.empty() && announcement.generation == supporter.generation + 1;
  supporter.generation = announcement.generation;
  entries.push_back({announcement.view, now, until, follows});
  cache_.clear();
}

IssuerSupport::Support IssuerSupport::SupportFor(MonoTime now, const PoolId& pool) const {
  CachedSupport& cached = cache_[pool];
  if (now < cached.expires) {
    return cached.support;
  }
  cached = {MonoTime::max(), {}};
  const auto add = [&](const Supporter& supporter) {
    const std::optional<Interval> interval = IntervalOf(now, supporter, pool);
    if (!interval) {
      return;
    }
    if (now < interval->since) {
      cached.expires = std::min(cached.expires, interval->since);
      return;
    }
    cached.expires = std::min(cached.expires, interval->until);
    ++cached.support.gateways;
    cached.support.since = std::max(cached.support.since, interval->since);
  };
  add(own_);
  for (const auto& [id, peer] : peers_) {
    add(peer);
  }
  return cached.support;
}

size_t IssuerSupport::SupportersSince(MonoTime now, const PoolId& pool, MonoTime time) const {
  const auto lasts = [&](const Supporter& supporter) {
    const std::optional<Interval> interval = IntervalOf(now, supporter, pool);
    return interval && interval->since <= std::min(now, time);
  };
  const auto count = std::count_if(peers_.begin(), peers_.end(),
                                   [&](const auto& peer) { return lasts(peer.second); });
  return static_cast<size_t>(count) + (lasts(own_) ? 1 : 0);
}

std::optional<GatewayHash> IssuerSupport::OwnIssuer(MonoTime now, const PoolId& pool) const {
  const std::deque<Entry>& entries = own_.entries;
  if (entries.empty() || entries.back().view->gateways().empty()) {
    return std::nullopt;
  }
  const GatewayView& latest = *entries.back().view;
  const auto in_force = std::find_if(entries.rbegin(), entries.rend(), [&](const Entry& entry) {
    return entry.since + delay() <= now;
  });
  if (in_force != entries.rend() && !in_force->view->gateways().empty()) {
    const GatewayHash former = in_force->view->OwnerOf(pool);
    if (latest.Contains(former)) {
      return former;
    }
  }
  return latest.OwnerOf(pool);
}

std::optional<IssuerSupport::Interval> IssuerSupport::IntervalOf(MonoTime now,
                                                                 const Supporter& supporter,
                                                                 const PoolId& pool) const {
  const std::deque<Entry>& entries = supporter.entries;
  const auto supports = [&](size_t i) {
    return !entries[i].view->gateways().empty() && entries[i].view->OwnerOf(pool) == self_;
  };
  std::optional<Interval> next;
  for (size_t end = entries.size(); end > 0;) {
    size_t first = end - 1;
    if (!supports(first)) {
      end = first;
      continue;
    }
    while (first > 0 && entries[first].follows && supports(first - 1)) {
      --first;
    }
    const Duration wait = alone_ ? Duration(0) : delay();
    const Interval interval{std::max(entries[first].since + wait, supporter.valid_since),
                            entries[end - 1].until};
    if (interval.since <= now && now < interval.until) {
      return interval;
    }
    if (now < interval.since) {
      next = interval;
    }
    end = first;
  }
  return next;
}

void IssuerSupport::DropOld(MonoTime now, std::deque<Entry>* entries) {
  while (entries->size() > 1 && (*entries)[1].since + kHistory <= now) {
    entries->pop_front();
  }
  while (entries->size() > kMaxEntries) {
    entries->pop_front();
  }
}

}  // namespace jd
