#include "policy/crash_guard.h"

#include <algorithm>
#include <utility>

namespace jd {
namespace {

/// Removes entries older than `lifetime`, and the oldest one if the map is still full.
template <typename Map, typename TimeOf>
void MakeRoom(MonoTime now, Duration lifetime, size_t capacity, TimeOf time_of, Map* map) {
  if (map->size() < capacity) {
    return;
  }
  std::erase_if(*map, [&](const auto& entry) { return now - time_of(entry) >= lifetime; });
  if (map->size() >= capacity) {
    map->erase(std::min_element(map->begin(), map->end(), [&](const auto& a, const auto& b) {
      return time_of(a) < time_of(b);
    }));
  }
}

}  // namespace

bool CrashGuard::Confirms(const Suspect& suspect, const ConnectionLoss& loss) {
  const bool same_call = suspect.call == loss.call;
  const bool elsewhere = suspect.endpoint != loss.endpoint;
  const bool resent = !loss.idempotent && !same_call;
  return (elsewhere || resent) && (same_call || loss.sent >= suspect.lost);
}

bool CrashGuard::AddRecent(MonoTime now, const ConnectionLoss& loss, bool repeated) {
  while (!recent_.empty() &&
         (now - recent_.front().lost > kWindow || recent_.size() >= kMaxEntries)) {
    recent_.pop_front();
  }
  bool alone = true;
  for (const RecentLoss& other : recent_) {
    if (other.service == loss.service && other.fingerprint != loss.fingerprint) {
      alone = false;
      const auto suspect = suspects_.find(other.fingerprint);
      if (suspect != suspects_.end() && now - suspect->second.lost <= kWindow) {
        suspect->second.alone = false;
      }
    }
  }
  recent_.push_back({now, loss.fingerprint, loss.service, repeated});
  return alone;
}

void CrashGuard::OnConnectionLost(MonoTime now, const ConnectionLoss& loss) {
  auto suspect = suspects_.find(loss.fingerprint);
  if (suspect != suspects_.end() && now - suspect->second.lost >= kLifetime) {
    suspects_.erase(suspect);
    suspect = suspects_.end();
  }
  const bool repeated = suspect != suspects_.end() && Confirms(suspect->second, loss);
  const bool alone = AddRecent(now, loss, repeated);
  if (suspect == suspects_.end()) {
    MakeRoom(
        now, kLifetime, kMaxEntries, [](const auto& entry) { return entry.second.lost; },
        &suspects_);
    suspects_[loss.fingerprint] = {now, loss.call, loss.service, loss.endpoint, alone};
  } else if (repeated && alone && suspect->second.alone) {
    Block(now, loss.fingerprint);
  } else if (repeated && candidates_.size() < kMaxEntries) {
    candidates_.push_back({now + kSettle, loss.fingerprint, loss.service});
  }
}

void CrashGuard::AddFromPeer(MonoTime now, Fingerprint fingerprint) {
  // A repeated notice from a peer must not extend the time for which the request is blocked.
  if (Blocks(now, fingerprint)) {
    return;
  }
  MakeRoom(
      now, kLifetime, kMaxEntries, [](const auto& entry) { return entry.second; }, &blocked_);
  blocked_[fingerprint] = now;
}

void CrashGuard::Block(MonoTime now, Fingerprint fingerprint) {
  suspects_.erase(fingerprint);
  if (Blocks(now, fingerprint)) {
    return;
  }
  MakeRoom(
      now, kLifetime, kMaxEntries, [](const auto& entry) { return entry.second; }, &blocked_);
  blocked_[fingerprint] = now;
  found_.push_back(fingerprint);
}

void CrashGuard::Settle(MonoTime now, const Candidate& candidate) {
  if (!suspects_.contains(candidate.fingerprint)) {
    return;  // The request was answered or blocked in the meantime.
  }
  const bool ambiguous = std::any_of(recent_.begin(), recent_.end(), [&](const RecentLoss& loss) {
    return loss.repeated && loss.service == candidate.service &&
           loss.fingerprint != candidate.fingerprint && candidate.due - loss.lost <= kWindow;
  });
  if (!ambiguous) {
    Block(now, candidate.fingerprint);
  }
}

std::vector<Fingerprint> CrashGuard::TakeFound(MonoTime now) {
  while (!candidates_.empty() && candidates_.front().due <= now) {
    const Candidate candidate = candidates_.front();
    candidates_.pop_front();
    Settle(now, candidate);
  }
  return std::exchange(found_, {});
}

bool CrashGuard::Blocks(MonoTime now, Fingerprint fingerprint) const {
  const auto blocked = blocked_.find(fingerprint);
  return blocked != blocked_.end() && now - blocked->second < kLifetime;
}

std::optional<MonoTime> CrashGuard::next_timer() const {
  return candidates_.empty() ? std::nullopt : std::optional(candidates_.front().due);
}

}  // namespace jd
