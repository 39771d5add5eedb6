#include "cluster/version_evidence.h"

#include <algorithm>
#include <vector>

namespace jd {
namespace {

// Largest number of endpoints in a message.
constexpr size_t kMaxEndpoints = 24;

int64_t Calls(const RolloutCounts& counts) {
  const RouteCounts total = counts.total();
  return total.old_side.calls + total.new_side.calls;
}

}  // namespace

void AddCounts(const RolloutCounts& from, RolloutCounts* to) {
  for (const auto& [route, counts] : from.routes) {
    to->routes[route] += counts;
  }
  // The same endpoint counts once, as far as it is named.
  to->endpoints_used += from.endpoints_used;
  for (const auto& [endpoint, counts] : from.endpoints) {
    const auto [known, added] = to->endpoints.emplace(endpoint, counts);
    if (!added) {
      known->second += counts;
      --to->endpoints_used;
    }
  }
}

RolloutCounts CountsSince(const RolloutCounts& counts, const RolloutCounts& earlier) {
  RolloutCounts since = counts;
  for (auto& [route, sides] : since.routes) {
    const auto before = earlier.routes.find(route);
    if (before != earlier.routes.end()) {
      sides = sides.Since(before->second);
    }
  }
  for (auto& [endpoint, ended] : since.endpoints) {
    const auto before = earlier.endpoints.find(endpoint);
    if (before != earlier.endpoints.end()) {
      ended = ended.Since(before->second);
    }
  }
  return since;
}

void KeepWorstEndpoints(RolloutCounts* counts) {
  if (counts->endpoints.size() <= kMaxEndpoints) {
    return;
  }
  std::vector<std::pair<int64_t, EndpointId>> ranked;
  for (const auto& [endpoint, ended] : counts->endpoints) {
    ranked.emplace_back(ended.troubled(), endpoint);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  for (size_t i = kMaxEndpoints; i < ranked.size(); ++i) {
    counts->endpoints.erase(ranked[i].second);
  }
}

void ZoneCounts::OnGateway(const GatewayId& gateway,
                           Incarnation incarnation,
                           const RolloutCounts& counts) {
  const auto [known, added] = runs_.emplace(gateway, Run{incarnation, counts});
  if (added || incarnation < known->second.incarnation) {
    return;
  }
  if (incarnation > known->second.incarnation) {
    AddCounts(known->second.counts, &earlier_runs_);
  }
  known->second = {incarnation, counts};
}

RolloutCounts ZoneCounts::sum() const {
  RolloutCounts sum = earlier_runs_;
  for (const auto& [gateway, run] : runs_) {
    AddCounts(run.counts, &sum);
  }
  return sum;
}

void RolloutEvidence::OnZoneSum(MonoTime now,
                                const ZoneId& zone,
                                const GatewayId& collector,
                                const RolloutCounts& counts) {
  std::map<GatewayId, Report>& reports = zones_[zone];
  reports[collector] = {now, counts};
  std::erase_if(reports,
                [now](const auto& entry) { return now - entry.second.heard > kCollectorTimeout; });
}

void RolloutEvidence::Advance(MonoTime now) {
  if (!history_.empty() && now - history_.back().first < kResolution) {
    return;
  }
  if (Calls(sum()) < Calls(base_)) {
    base_ = sum();
  }
  const RolloutCounts present = total();
  if (!history_.empty() && Calls(present) < Calls(history_.back().second)) {
    history_.clear();  // Another collector counts now, which knows of fewer calls.
  }
  history_.emplace_back(now, present);
  while (now - history_.front().first > kWindow) {
    history_.pop_front();
  }
}

void RolloutEvidence::Restart(bool keep_new) {
  base_ = sum();
  history_.clear();
  if (!keep_new) {
    return;
  }
  base_.endpoints.clear();
  for (auto& [route, sides] : base_.routes) {
    sides.new_side = {};
  }
}

RolloutCounts RolloutEvidence::sum() const {
  RolloutCounts total;
  for (const auto& [zone, collectors] : zones_) {
    const auto most =
        std::max_element(collectors.begin(), collectors.end(), [](const auto& a, const auto& b) {
          return Calls(a.second.counts) < Calls(b.second.counts);
        });
    AddCounts(most->second.counts, &total);
  }
  return total;
}

RolloutCounts RolloutEvidence::latest() const {
  return history_.empty() ? total() : CountsSince(total(), history_.front().second);
}

}  // namespace jd
