#include "policy/endpoint_statements.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <string>

namespace jd {
namespace {

// Returns whether `listed` is a later run than the one that made a statement. A run that is not
// known may be the same one.
bool IsLaterRun(Incarnation listed, Incarnation stated) {
  return stated != Incarnation() && listed > stated;
}

}  // namespace

bool EndpointStatements::OnStatement(MonoTime now,
                                     const EndpointId& endpoint,
                                     Incarnation run,
                                     const UpstreamStatement& statement) {
  if (statement.empty()) {
    return false;
  }
  Entry* entry = FindOrAdd(now, endpoint, run);
  if (entry == nullptr) {
    return false;
  }
  entry->instance = statement.instance;
  if (statement.wants_nothing_for) {
    const Duration time = std::min(*statement.wants_nothing_for, kLongestWantsNothing);
    entry->wants_nothing_until = now + time;
    if (time > Duration(0)) {
      *entry->wants_nothing_until += ReturnDelay(endpoint);
    }
  }
  const bool newly_leaving = statement.leaving && !entry->leaving;
  entry->leaving = entry->leaving || statement.leaving;
  RemoveEnded(now);
  return newly_leaving;
}

bool EndpointStatements::OnLeaving(MonoTime now, const LeavingEndpoint& leaving) {
  Entry* entry = FindOrAdd(now, leaving.endpoint, leaving.run);
  return entry != nullptr && !std::exchange(entry->leaving, true);
}

auto EndpointStatements::FindOrAdd(MonoTime now, const EndpointId& endpoint, Incarnation run)
    -> Entry* {
  const auto known = entries_.find(endpoint);
  if (known != entries_.end()) {
    if (run != Incarnation() && IsLaterRun(known->second.run, run)) {
      return nullptr;
    }
    if (IsLaterRun(run, known->second.run)) {
      known->second = Entry();
    }
  } else if (entries_.size() >= kMaxEntries) {
    entries_.erase(std::min_element(
        entries_.begin(), entries_.end(),
        [](const auto& a, const auto& b) { return a.second.stated < b.second.stated; }));
  }
  Entry& entry = entries_[endpoint];
  entry.run = std::max(entry.run, run);
  entry.stated = now;
  return &entry;
}

void EndpointStatements::OnListed(const EndpointId& endpoint, Incarnation run) {
  const auto known = entries_.find(endpoint);
  if (known == entries_.end()) {
    return;
  }
  if (IsLaterRun(run, known->second.run)) {
    entries_.erase(known);
  } else {
    known->second.run = std::max(known->second.run, run);
  }
}

void EndpointStatements::OnInstance(const EndpointId& endpoint, const InstanceId& instance) {
  const auto known = entries_.find(endpoint);
  if (known != entries_.end() && !instance.empty() && !known->second.instance.empty() &&
      known->second.instance != instance) {
    entries_.erase(known);
  }
}

void EndpointStatements::RemoveEnded(MonoTime now) {
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    std::optional<MonoTime>& until = entry->second.wants_nothing_until;
    if (until && *until <= now) {
      until.reset();
    }
    entry = entry->second.leaving || until ? std::next(entry) : entries_.erase(entry);
  }
}

std::map<EndpointId, HeldEndpoint> EndpointStatements::held() const {
  std::map<EndpointId, HeldEndpoint> held;
  for (const auto& [endpoint, entry] : entries_) {
    if (entry.leaving) {
      held[endpoint] = {EndpointHold::kLeaving, {}};
    } else if (entry.wants_nothing_until) {
      held[endpoint] = {EndpointHold::kWantsNothing, *entry.wants_nothing_until};
    }
  }
  return held;
}

std::vector<LeavingEndpoint> EndpointStatements::leaving() const {
  std::vector<LeavingEndpoint> leaving;
  for (const auto& [endpoint, entry] : entries_) {
    if (entry.leaving) {
      leaving.push_back({endpoint, entry.run});
    }
  }
  return leaving;
}

std::optional<MonoTime> EndpointStatements::next_end() const {
  std::optional<MonoTime> next;
  for (const auto& [endpoint, entry] : entries_) {
    if (entry.wants_nothing_until) {
      next = std::min(next.value_or(*entry.wants_nothing_until), *entry.wants_nothing_until);
    }
  }
  return next;
}

Duration EndpointStatements::ReturnDelay(const EndpointId& endpoint) const {
  if (gateway_count_ <= 1) {
    return Duration(0);
  }
  const Duration longest =
      std::min(kReturnInterval * static_cast<int64_t>(gateway_count_), kLongestReturnDelay);
  const std::string key = gateway_.value + "/" + endpoint.value;
  const auto hash = static_cast<int64_t>(XXH3_64bits(key.data(), key.size()) >> 1);
  return Duration(hash % longest.count());
}

}  // namespace jd
