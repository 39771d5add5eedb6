#include "policy/reported_load.h"

#include <algorithm>

namespace jd {

std::optional<EndpointId> ReportedLoad::Acquire(MonoTime,
                                                const AcquireRequest& request,
                                                RandomEngine& random) {
  const EndpointView* endpoint = PickLowerCostOfTwo(
      view_.UsableEndpoints(request), random, [this](const EndpointView& candidate) {
        const auto load = busy_share_.find(candidate.id);
        return load == busy_share_.end() ? 0.0 : load->second;
      });
  if (endpoint == nullptr) {
    return std::nullopt;
  }
  view_.AddAttempt(endpoint->id);
  return endpoint->id;
}

void ReportedLoad::OnLoadReport(MonoTime, const EndpointId& endpoint, const LoadReport& report) {
  busy_share_[endpoint] = static_cast<double>(report.in_flight) / std::max(report.slots, 1);
}

}  // namespace jd
