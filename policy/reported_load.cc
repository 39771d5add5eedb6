#include "policy/reported_load.h"

#include <algorithm>

namespace jd {

std::optional<EndpointId> ReportedLoad::Acquire(MonoTime,
                                                const AcquireRequest& request,
                                                RandomEngine& random) {
  const EndpointView* endpoint =
      BetterOfTwo(view_.Candidates(request), random, [this](const EndpointView& candidate) {
        const auto load = load_.find(candidate.id);
        return load == load_.end() ? 0.0 : load->second;
      });
  if (endpoint == nullptr) {
    return std::nullopt;
  }
  view_.Add(endpoint->id);
  return endpoint->id;
}

void ReportedLoad::OnLoadReport(MonoTime, const EndpointId& endpoint, const LoadReport& report) {
  load_[endpoint] = static_cast<double>(report.in_flight) / std::max(report.slots, 1);
}

}  // namespace jd
