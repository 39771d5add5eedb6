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
  const bool other_endpoint = suspect.endpoint != loss.endpoint;
  const bool resent = !loss.idempotent && !same_call;
  return (other_endpoint || resent) && (same_call || loss.sent >= suspect.lost);
}

bool CrashGuard::AddRecentLoss(MonoTime now, const ConnectionLoss& loss, bool repeated) {
  while (!recent_.empty() &&
         (now - recent_.front().lost > kLossWindow || recent_.size() >= kMaxEntries)) {
    recent_.pop_front();
  }
  bool only_loss = true;
  for (const RecentLoss& other : recent_) {
    if (other.service == loss.service && other.fingerprint != loss.fingerprint) {
      only_loss = false;
      const auto suspect = suspects_.find(other.fingerprint);
      if (suspect != suspects_.end() && now - suspect->second.lost <= kLossWindow) {
        suspect->second.only_loss = false;
      }
    }
  }
  recent_.push_back({now, loss.fingerprint, loss.service, repeated});
  return only_loss;
}

void CrashGuard::OnConnectionLost(MonoTime now, const ConnectionLoss& loss) {
  auto suspect = suspects_.find(loss.fingerprint);
  if (suspect != suspects_.end() && now - suspect->second.lost >= kEntryLifetime) {
    suspects_.erase(suspect);
    suspect = suspects_.end();
  }
  const bool repeated = suspect != suspects_.end() && Confirms(suspect->second, loss);
  const bool only_loss = AddRecentLoss(now, loss, repeated);
  if (suspect == suspects_.end()) {
    MakeRoom(
        now, kEntryLifetime, kMaxEntries, [](const auto& entry) { return entry.second.lost; },
        &suspects_);
    suspects_[loss.fingerprint] = {now, loss.call, loss.service, loss.endpoint, only_loss};
  } else if (repeated && only_loss && suspect->second.only_loss) {
    Block(now, loss.fingerprint);
  } else if (repeated && candidates_.size() < kMaxEntries) {
    candidates_.push_back({now + kDecisionDelay, loss.fingerprint, loss.service});
  }
}

void CrashGuard::BlockFromPeer(MonoTime now, Fingerprint fingerprint) {
  // A repeated notice from a peer must not extend the time for which the request is blocked.
  if (Blocks(now, fingerprint)) {
    return;
  }
  MakeRoom(
      now, kEntryLifetime, kMaxEntries, [](const auto& entry) { return entry.second; }, &blocked_);
  blocked_[fingerprint] = now;
}

void CrashGuard::Block(MonoTime now, Fingerprint fingerprint) {
  suspects_.erase(fingerprint);
  if (Blocks(now, fingerprint)) {
    return;
  }
  MakeRoom(
      now, kEntryLifetime, kMaxEntries, [](const auto& entry) { return entry.second; }, &blocked_);
  blocked_[fingerprint] = now;
  newly_blocked_.push_back(fingerprint);
}

void CrashGuard::DecideCandidate(MonoTime now, const Candidate& candidate) {
  if (!suspects_.contains(candidate.fingerprint)) {
    return;  // The request was answered or blocked in the meantime.
  }
  const bool ambiguous = std::any_of(recent_.begin(), recent_.end(), [&](const RecentLoss& loss) {
    return loss.repeated && loss.service == candidate.service &&
           loss.fingerprint != candidate.fingerprint && candidate.due - loss.lost <= kLossWindow;
  });
  if (!ambiguous) {
    Block(now, candidate.fingerprint);
  }
}

std::vector<Fingerprint> CrashGuard::TakeNewlyBlocked(MonoTime now) {
  while (!candidates_.empty() && candidates_.front().due <= now) {
    const Candidate candidate = candidates_.front();
    candidates_.pop_front();
    DecideCandidate(now, candidate);
  }
  return std::exchange(newly_blocked_, {});
}

bool CrashGuard::Blocks(MonoTime now, Fingerprint fingerprint) const {
  const auto blocked = blocked_.find(fingerprint);
  return blocked != blocked_.end() && now - blocked->second < kEntryLifetime;
}

std::optional<MonoTime> CrashGuard::next_timer() const {
  return candidates_.empty() ? std::nullopt : std::optional(candidates_.front().due);
}

}  // namespace jd
