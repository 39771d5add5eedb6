#include "policy/service_state.h"

#include <algorithm>
#include <utility>

namespace jd {
namespace {

constexpr Duration kDefaultRetryAfter = 1s;
constexpr Duration kMinRetryAfter = 100ms;
constexpr Duration kMaxRetryAfter = 30s;

}  // namespace

void ServiceState::SetUsable(MonoTime now, std::vector<EndpointId> endpoints) {
  if (!usable.empty() && endpoints.empty()) {
    usable_until = now;
  }
  usable = std::move(endpoints);
}

bool ServiceState::HadUsableEndpointSince(MonoTime since) const {
  return !usable.empty() || (usable_until && *usable_until > since);
}

std::vector<EndpointId> ServiceState::ExcludedEndpoints(const Call& call) const {
  const bool other = std::any_of(usable.begin(), usable.end(), [&](const EndpointId& endpoint) {
    return std::find(call.tried.begin(), call.tried.end(), endpoint) == call.tried.end();
  });
  return other ? call.tried : std::vector<EndpointId>();
}

Duration ServiceState::RetryAfter(MonoTime now) const {
  const auto wait = load.EstimateWait(now, static_cast<double>(queue.size()));
  return std::clamp(wait.value_or(kDefaultRetryAfter), kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace jd
