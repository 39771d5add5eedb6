#include "policy/rollout_gate.h"

#include <algorithm>

namespace jd {
namespace {

// Weight of the newest answer in the mean latency.
constexpr double kLatencyWeight = 0.1;

bool IsFailure(const AttemptResult& result) {
  switch (result.outcome) {
    case AttemptOutcome::kAnswered:
      return result.status >= 500;
    case AttemptOutcome::kConnectionLost:
    case AttemptOutcome::kInvalid:
    case AttemptOutcome::kTimedOut:
      return true;
    case AttemptOutcome::kConnectFailed:
    case AttemptOutcome::kRefused:
    case AttemptOutcome::kCancelled:
      return false;
  }
  return false;
}

bool IsEvidence(const AttemptResult& result) {
  return result.outcome == AttemptOutcome::kAnswered || IsFailure(result);
}

}  // namespace

void RolloutGate::Start(const ServiceId& service) {
  Rollout rollout;
  rollout.start = std::uniform_real_distribution<double>(0, 1)(random_);
  rollout.credit = rollout.start;
  Rollout& known = rollouts_[service];
  rollout.sides = std::move(known.sides);
  known = std::move(rollout);
}

void RolloutGate::SetShare(const ServiceId& service, const RolloutShare& share) {
  const auto found = rollouts_.find(service);
  if (found != rollouts_.end()) {
    found->second.share = share;
  }
}

void RolloutGate::Stop(const ServiceId& service) {
  rollouts_.erase(service);
}

void RolloutGate::SetService(const ServiceView& view) {
  const auto found = rollouts_.find(view.id);
  if (found == rollouts_.end()) {
    return;
  }
  found->second.sides.clear();
  for (const EndpointView& endpoint : view.endpoints) {
    found->second.sides[endpoint.id] = endpoint.side;
  }
}

void RolloutGate::SetUsualLatencies(const ServiceId& service, const RolloutCounts& counts) {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) {
    return;
  }
  for (const auto& [route, sides] : counts.routes) {
    const int64_t answers = sides.old_side.calls - sides.old_side.failures;
    if (answers >= kMinLatencySamples) {
      found->second.latencies[route].usual = sides.old_latency / answers;
    }
  }
}

VersionSide RolloutGate::Draw(const ServiceId& service) {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) {
    return VersionSide::kAny;
  }
  Rollout& rollout = found->second;
  ++rollout.calls;
  rollout.credit += rollout.share.share;
  if (rollout.credit < 1 || rollout.share.share <= 0) {
    return VersionSide::kOld;
  }
  rollout.credit -= 1;
  const double allowed =
      rollout.share.lifetime_limit * static_cast<double>(rollout.calls) + rollout.start;
  if (rollout.share.lifetime_limit < 1 && static_cast<double>(rollout.assigned + 1) > allowed) {
    return VersionSide::kOld;
  }
  ++rollout.assigned;
  return VersionSide::kNew;
}

void RolloutGate::OnNoRoom(const ServiceId& service) {
  const auto found = rollouts_.find(service);
  if (found != rollouts_.end() && found->second.assigned > 0) {
    --found->second.assigned;
  }
}

VersionSide RolloutGate::DefaultSide(const ServiceId& service) const {
  return rollouts_.contains(service) ? VersionSide::kOld : VersionSide::kAny;
}

VersionSide RolloutGate::SideOf(const Rollout& rollout, const EndpointId& endpoint) {
  const auto side = rollout.sides.find(endpoint);
  return side == rollout.sides.end() ? VersionSide::kAny : side->second;
}

void RolloutGate::OnSent(const ServiceId& service, const EndpointId& endpoint) {
  const auto found = rollouts_.find(service);
  if (found != rollouts_.end() && SideOf(found->second, endpoint) == VersionSide::kNew) {
    ++found->second.sent;
  }
}

void RolloutGate::OnAttemptEnded(const ServiceId& service,
                                 const EndpointId& endpoint,
                                 const ProfileId& route,
                                 const AttemptResult& result) {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end() || !IsEvidence(result)) {
    return;
  }
  Rollout& rollout = found->second;
  const VersionSide side = SideOf(rollout, endpoint);
  if (side == VersionSide::kAny) {
    return;
  }
  Latency& latency = rollout.latencies[route];
  CallCounts ended{1, 0, 0};
  if (IsFailure(result)) {
    ended.failures = 1;
  } else {
    const Duration own = latency.samples >= kMinLatencySamples ? latency.mean : Duration(0);
    const Duration usual = std::max(own, latency.usual);
    ended.slow = usual > Duration(0) && result.latency > Scale(usual, kSlowFactor) ? 1 : 0;
  }
  RouteCounts& counts = rollout.counts.routes[route];
  if (side == VersionSide::kNew) {
    counts.new_side += ended;
    rollout.counts.endpoints[endpoint] += ended;
    rollout.counts.endpoints_used = static_cast<int64_t>(rollout.counts.endpoints.size());
    return;
  }
  counts.old_side += ended;
  if (ended.failures == 0) {
    counts.old_latency += result.latency;
    const double weight = std::max(kLatencyWeight, 1.0 / (latency.samples + 1));
    latency.mean += Scale(result.latency - latency.mean, weight);
    ++latency.samples;
  }
}

const RolloutCounts& RolloutGate::counts(const ServiceId& service) const {
  static const RolloutCounts none;
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? none : found->second.counts;
}

int64_t RolloutGate::sent(const ServiceId& service) const {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? 0 : found->second.sent;
}

}  // namespace jd
