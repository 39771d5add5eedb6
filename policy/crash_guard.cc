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

bool CrashGuard::Confirms(const ObservedLoss& first, const ConnectionLoss& loss) {
  const bool same_call = first.loss.call == loss.call && first.loss.gateway == loss.gateway;
  const bool other_endpoint = first.loss.endpoint != loss.endpoint;
  const bool resent = !loss.idempotent && !same_call;
  return (other_endpoint || resent) && (same_call || loss.sent >= first.lost);
}

bool CrashGuard::AddRecentLoss(const ObservedLoss& observed, bool repeated) {
  const ConnectionLoss& loss = observed.loss;
  while (!recent_.empty() &&
         (observed.lost - recent_.front().lost > kLossWindow || recent_.size() >= kMaxEntries)) {
    recent_.pop_front();
  }
  bool only_loss = true;
  for (const RecentLoss& other : recent_) {
    if (other.service == loss.service && other.fingerprint != loss.fingerprint) {
      only_loss = false;
      const auto suspect = suspects_.find(other.fingerprint);
      if (suspect != suspects_.end() && observed.lost - suspect->second.first.lost <= kLossWindow) {
        suspect->second.only_loss = false;
      }
    }
  }
  recent_.push_back({observed.lost, loss.fingerprint, loss.service, loss.endpoint, repeated});
  return only_loss;
}

void CrashGuard::OnConnectionLost(MonoTime now, const ConnectionLoss& loss) {
  const ObservedLoss observed{loss, now};
  RecordLoss(now, observed, false);
  if (has_peers_ && untold_.losses.size() < kMaxToldAtOnce) {
    Untold(now).losses.push_back(observed);
  }
}

CrashEvidence& CrashGuard::Untold(MonoTime now) {
  if (untold_.empty()) {
    next_tell_ = std::max(next_tell_, now + kTellDelay);
  }
  return untold_;
}

void CrashGuard::RecordLoss(MonoTime now, const ObservedLoss& observed, bool from_peer) {
  const ConnectionLoss& loss = observed.loss;
  auto suspect = suspects_.find(loss.fingerprint);
  if (suspect != suspects_.end() && now - suspect->second.first.lost >= kEntryLifetime) {
    suspects_.erase(suspect);
    suspect = suspects_.end();
  }
  const bool repeated = suspect != suspects_.end() && Confirms(suspect->second.first, loss);
  const bool is_old = now - observed.lost > kLossWindow;
  const bool only_loss = is_old || AddRecentLoss(observed, repeated);
  if (suspect == suspects_.end()) {
    MakeRoom(
        now, kEntryLifetime, kMaxEntries, [](const auto& entry) { return entry.second.first.lost; },
        &suspects_);
    suspects_[loss.fingerprint] = {observed, only_loss};
  } else if (repeated && !has_peers_ && only_loss && suspect->second.only_loss) {
    Block(now, loss.fingerprint, true);
  } else if (repeated && candidates_.size() < kMaxEntries) {
    const bool separate = observed.lost - suspect->second.first.lost > kLossWindow;
    candidates_.push_back({now + kDecisionDelay, loss.fingerprint, loss.service, loss.endpoint,
                           separate, !from_peer});
  }
}

void CrashGuard::OnAnswered(MonoTime now, Fingerprint fingerprint) {
  if (suspects_.erase(fingerprint) > 0 && has_peers_ && untold_.answered.size() < kMaxToldAtOnce) {
    Untold(now).answered.push_back(fingerprint);
  }
}

void CrashGuard::OnPeerEvidence(MonoTime now, const CrashEvidence& evidence) {
  const Duration offset = now - evidence.told;  // Between the clocks of two gateways.
  for (ObservedLoss observed : evidence.losses) {
    if (observed.lost > evidence.told) {
      continue;
    }
    observed.lost += offset;
    observed.loss.sent += offset;
    if (now - observed.lost < kEntryLifetime && !Blocks(now, observed.loss.fingerprint)) {
      RecordLoss(now, observed, true);
    }
  }
  for (const Fingerprint fingerprint : evidence.answered) {
    suspects_.erase(fingerprint);
  }
  for (const BlockedRequest& blocked : evidence.blocked) {
    if (evidence.told - blocked.since < kEntryLifetime) {
      BlockFromPeer(blocked.since + offset, blocked.fingerprint);
    }
  }
}

void CrashGuard::BlockFromPeer(MonoTime now, Fingerprint fingerprint) {
  Block(now, fingerprint, false);
}

void CrashGuard::Block(MonoTime now, Fingerprint fingerprint, bool announce) {
  suspects_.erase(fingerprint);
  // A repeated notice from a peer must not extend the time for which the request is blocked.
  if (Blocks(now, fingerprint)) {
    return;
  }
  MakeRoom(
      now, kEntryLifetime, kMaxEntries, [](const auto& entry) { return entry.second; }, &blocked_);
  blocked_[fingerprint] = now;
  if (announce) {
    newly_blocked_.push_back(fingerprint);
  }
}

bool CrashGuard::HasOtherCause(const Candidate& candidate) const {
  std::set<Fingerprint> others;
  bool together = false;
  for (const RecentLoss& loss : recent_) {
    if (!loss.repeated || loss.service != candidate.service ||
        loss.fingerprint == candidate.fingerprint || candidate.due - loss.lost > kLossWindow) {
      continue;
    }
    others.insert(loss.fingerprint);
    together = together || loss.endpoint == candidate.endpoint;
  }
  if (others.empty()) {
    return false;
  }
  return !candidate.separate || together || others.size() >= kMaxCrashingTogether;
}

void CrashGuard::DecideCandidate(MonoTime now, const Candidate& candidate) {
  if (!suspects_.contains(candidate.fingerprint)) {
    return;  // The request was answered or blocked in the meantime.
  }
  if (!HasOtherCause(candidate)) {
    Block(now, candidate.fingerprint, candidate.announce);
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

CrashEvidence CrashGuard::TakeEvidence(MonoTime now) {
  if (untold_.empty() || now < next_tell_) {
    return {};
  }
  const bool full = untold_.losses.size() >= kMaxToldAtOnce;
  next_tell_ = now + (full ? kTellIntervalAfterFull : kTellInterval);
  untold_.told = now;
  return std::exchange(untold_, {});
}

CrashEvidence CrashGuard::Snapshot(MonoTime now) const {
  CrashEvidence snapshot;
  snapshot.told = now;
  for (const auto& [fingerprint, suspect] : suspects_) {
    if (snapshot.losses.size() < kMaxToldAtStart && now - suspect.first.lost < kEntryLifetime) {
      snapshot.losses.push_back(suspect.first);
    }
  }
  for (const auto& [fingerprint, since] : blocked_) {
    if (snapshot.blocked.size() < kMaxToldAtStart && now - since < kEntryLifetime) {
      snapshot.blocked.push_back({fingerprint, since});
    }
  }
  return snapshot;
}

bool CrashGuard::Blocks(MonoTime now, Fingerprint fingerprint) const {
  const auto blocked = blocked_.find(fingerprint);
  return blocked != blocked_.end() && now - blocked->second < kEntryLifetime;
}

std::optional<MonoTime> CrashGuard::next_timer() const {
  std::optional<MonoTime> next;
  if (!candidates_.empty()) {
    next = candidates_.front().due;
  }
  if (!untold_.empty()) {
    next = std::min(next.value_or(next_tell_), next_tell_);
  }
  return next;
}

}  // namespace jd
