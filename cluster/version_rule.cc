#include "cluster/version_rule.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

namespace jd {
namespace {

// Fewer endpoints would not show whether trouble is one endpoint's own.
constexpr size_t kMinWatchedEndpoints = 3;

// Makes only some endpoints of the ordered version usable in each zone.
void LimitWatchedEndpoints(const VersionRule& rule, ServiceView* view) {
  std::map<ZoneId, std::vector<std::pair<uint64_t, EndpointView*>>> zones;
  for (EndpointView& endpoint : view->endpoints) {
    if (endpoint.side == VersionSide::kNew && endpoint.usable) {
      const std::string& id = endpoint.id.value;
      zones[endpoint.zone].emplace_back(XXH3_64bits_withSeed(id.data(), id.size(), rule.rotation),
                                        &endpoint);
    }
  }
  for (auto& [zone, endpoints] : zones) {
    std::sort(endpoints.begin(), endpoints.end());
    const auto share =
        static_cast<size_t>(std::ceil(rule.share * static_cast<double>(endpoints.size())));
    for (size_t i = std::max(share, kMinWatchedEndpoints); i < endpoints.size(); ++i) {
      endpoints[i].second->usable = false;
    }
  }
}

}  // namespace

void ApplyVersionRule(const Service& service, const VersionRule& rule, ServiceView* view) {
  size_t new_endpoints = 0;
  size_t old_endpoints = 0;
  for (size_t i = 0; i < service.endpoints.size(); ++i) {
    const SoftwareVersion& version = service.endpoints[i].version;
    EndpointView& endpoint = view->endpoints[i];
    if (rule.blocked.contains(version)) {
      endpoint.usable = false;
      continue;
    }
    const bool is_new = version == rule.to;
    endpoint.side = is_new ? VersionSide::kNew : VersionSide::kOld;
    ++(is_new ? new_endpoints : old_endpoints);
  }
  if (rule.to.empty() ||
      (rule.use != RolloutUse::kOldOnly && (old_endpoints == 0 || new_endpoints == 0))) {
    // There is nothing to divide. Endpoints of one side must serve all calls.
    for (EndpointView& endpoint : view->endpoints) {
      endpoint.side = VersionSide::kAny;
    }
    return;
  }
  if (rule.use == RolloutUse::kSplit) {
    LimitWatchedEndpoints(rule, view);
    return;
  }
  const VersionSide unused =
      rule.use == RolloutUse::kOldOnly ? VersionSide::kNew : VersionSide::kOld;
  for (EndpointView& endpoint : view->endpoints) {
    if (endpoint.side == unused) {
      endpoint.usable = false;
    }
    endpoint.side = VersionSide::kAny;
  }
}

}  // namespace jd
