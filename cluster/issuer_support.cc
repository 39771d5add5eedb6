#include "cluster/issuer_support.h"

#include <algorithm>

namespace jd {
namespace {

// Number of views of a gateway that are kept. A support that began before them has to begin anew.
constexpr size_t kMaxEntries = 16;
// Time after which a peer without heartbeats is forgotten.
constexpr Duration kSilentPeerLifetime = 60s;

}  // namespace

IssuerSupport::IssuerSupport(const GatewayId& self, Duration lifetime)
    : self_(HashOf(self)), lifetime_(lifetime) {
  own_.valid_until = MonoTime::max();
}

void IssuerSupport::SetOwnView(MonoTime now, const Announcement& announcement) {
  if (UpdateViews(now, announcement, &own_)) {
    cache_.clear();
    std::erase_if(peers_, [now](const auto& peer) {
      return peer.second.valid_until + kSilentPeerLifetime < now;
    });
  }
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
    // It may have another view by now, which this gateway does not know.
    if (!supporter.entries.empty()) {
      supporter.entries.clear();
      cache_.clear();
    }
    return;
  }
  if (now >= supporter.valid_until) {
    supporter.valid_since = now;
    cache_.clear();
  }
  supporter.valid_until = std::max(supporter.valid_until, announcement.echo + lifetime_);
  if (UpdateViews(now, announcement, &supporter)) {
    cache_.clear();
  }
}

bool IssuerSupport::UpdateViews(MonoTime now,
                                const Announcement& announcement,
                                Supporter* supporter) {
  std::deque<Entry>& entries = supporter->entries;
  bool changed = false;
  if (entries.empty() || entries.back().generation != announcement.generation) {
    const bool follows =
        !entries.empty() && announcement.generation == entries.back().generation + 1;
    entries.push_back({announcement.view, announcement.generation, now, follows, std::nullopt});
    if (entries.size() > kMaxEntries) {
      entries.pop_front();
    }
    changed = true;
  }
  for (Entry& entry : entries) {
    if (!entry.settled_at && entry.generation <= announcement.settled) {
      entry.settled_at = now;
      changed = true;
    }
  }
  if (supporter->unreleased != announcement.unreleased) {
    supporter->unreleased = announcement.unreleased;
    supporter->released_at = now;
    changed = true;
  }
  return changed;
}

void IssuerSupport::Resign() {
  resigned_ = true;
  cache_.clear();
}

IssuerSupport::Support IssuerSupport::SupportFor(MonoTime now, const PoolId& pool) const {
  CachedSupport& cached = cache_[pool];
  if (now < cached.expires) {
    return cached.support;
  }
  cached = {MonoTime::max(), {}};
  const auto add = [&](const Supporter& supporter) {
    if (const std::optional<MonoTime> since = SupportedSince(now, supporter, pool)) {
      cached.expires = std::min(cached.expires, supporter.valid_until);
      ++cached.support.gateways;
      cached.support.since = std::max(cached.support.since, *since);
    }
  };
  add(own_);
  for (const auto& [id, peer] : peers_) {
    add(peer);
  }
  return cached.support;
}

size_t IssuerSupport::SupportersSince(MonoTime now, const PoolId& pool, MonoTime time) const {
  const auto lasts = [&](const Supporter& supporter) {
    const std::optional<MonoTime> since = SupportedSince(now, supporter, pool);
    return since && *since <= time;
  };
  const auto count = std::count_if(peers_.begin(), peers_.end(),
                                   [&](const auto& peer) { return lasts(peer.second); });
  return static_cast<size_t>(count) + (lasts(own_) ? 1 : 0);
}

std::optional<GatewayHash> IssuerSupport::OwnIssuer(const PoolId& pool) const {
  const std::deque<Entry>& entries = own_.entries;
  if (entries.empty() || entries.back().view->gateways().empty()) {
    return std::nullopt;
  }
  const GatewayView& latest = *entries.back().view;
  const auto settled = std::find_if(entries.rbegin(), entries.rend(), [](const Entry& entry) {
    return entry.settled_at && !entry.view->gateways().empty();
  });
  if (settled != entries.rend()) {
    const GatewayHash former = settled->view->OwnerOf(pool);
    if (latest.Contains(former) && IsUnreleased(own_, former)) {
      return former;
    }
  }
  return latest.OwnerOf(pool);
}

bool IssuerSupport::IsUnreleased(const Supporter& supporter, GatewayHash owner) {
  return std::binary_search(supporter.unreleased.begin(), supporter.unreleased.end(), owner);
}

bool IssuerSupport::FormerOwnersReleased(const Supporter& supporter,
                                         const PoolId& pool,
                                         size_t end) const {
  const std::deque<Entry>& entries = supporter.entries;
  for (size_t i = end; i > 0; --i) {
    if (!entries[i].follows) {
      return false;
    }
    const Entry& former = entries[i - 1];
    if (!former.view->gateways().empty()) {
      const GatewayHash owner = former.view->OwnerOf(pool);
      if (owner != self_ && IsUnreleased(supporter, owner)) {
        return false;
      }
    }
    if (former.settled_at) {
      return true;
    }
  }
  return false;
}

std::optional<MonoTime> IssuerSupport::SupportedSince(MonoTime now,
                                                      const Supporter& supporter,
                                                      const PoolId& pool) const {
  if (resigned_ || now >= supporter.valid_until || supporter.entries.empty()) {
    return std::nullopt;
  }
  const std::deque<Entry>& entries = supporter.entries;
  const auto supports = [&](const Entry& entry) {
    return !entry.view->gateways().empty() && entry.view->OwnerOf(pool) == self_;
  };
  std::optional<MonoTime> since;
  size_t first = entries.size();  // Of the latest views that name this gateway without a break.
  while (first > 0 && supports(entries[first - 1])) {
    --first;
    if (entries[first].settled_at) {
      since = std::min(since.value_or(MonoTime::max()), *entries[first].settled_at);
    }
    if (!entries[first].follows) {
      break;
    }
  }
  if (!since && first < entries.size() && FormerOwnersReleased(supporter, pool, first)) {
    since = std::max(entries[first].arrived, supporter.released_at);
  }
  return since ? std::optional(std::max(*since, supporter.valid_since)) : std::nullopt;
}

}  // namespace jd
