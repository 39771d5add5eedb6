#include "policy/fresh_load.h"

#include <algorithm>
#include <cassert>

namespace jd {
namespace {

// Expected length of a phase in which an upstream is slow. The speed of an upstream changes several
// times a second, so a slow phase delays a call by no more than about this time.
constexpr Duration kSlowPhase = 150ms;
// Penalty for a fully used upstream relative to an empty one, as a share of the call's usual
// service time.
constexpr double kFillPreference = 0.1;
// Delay before an endpoint that exceeded the tolerated failures is probed again. It doubles with
// each further failure, up to kMaxBackoffDoublings times.
constexpr Duration kFirstBackoff = 250ms;
constexpr int32_t kMaxBackoffDoublings = 3;
// Consecutive failures after which an endpoint is still used, because a single failure may be
// caused by the request.
constexpr int32_t kToleratedFailures = 1;

bool IsFailure(const AttemptResult& result) {
  switch (result.outcome) {
    case AttemptOutcome::kConnectFailed:
    case AttemptOutcome::kConnectionLost:
    case AttemptOutcome::kInvalid:
    case AttemptOutcome::kTimedOut:
      return true;
    case AttemptOutcome::kAnswered:
      return result.status >= 500;
    case AttemptOutcome::kRefused:
    case AttemptOutcome::kCancelled:
      return false;
  }
  return false;
}

}  // namespace

std::vector<EndpointId> FreshLoad::Candidates(MonoTime now,
                                              const AcquireRequest& request,
                                              int stage,
                                              RandomEngine& random) {
  struct Ranked {
    double rank;
    const EndpointView* endpoint;
  };
  const auto service = services_.find(request.service);
  if (service == services_.end()) {
    return {};
  }
  std::vector<Ranked> ranked;
  for (const EndpointView& endpoint : service->second.endpoints) {
    const bool own_zone = endpoint.zone == request.zone;
    if (own_zone != (stage == 0) || !Usable(now, endpoint) ||
        std::find(request.excluded.begin(), request.excluded.end(), endpoint.id) !=
            request.excluded.end()) {
      continue;
    }
    const double jitter = std::uniform_real_distribution<double>(0, 0.2)(random);
    ranked.push_back({RankOf(now, seen_.at(endpoint.id)) + jitter, &endpoint});
  }
  const size_t wanted = std::min(stage == 0 ? kCandidates : kRemoteCandidates, ranked.size());
  const auto count =
      static_cast<size_t>(probe_budgets_[request.service].Take(now, static_cast<int32_t>(wanted)));
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(count), ranked.end(),
                    [](const Ranked& a, const Ranked& b) { return a.rank < b.rank; });
  std::vector<EndpointId> candidates;
  for (size_t i = 0; i < count; ++i) {
    candidates.push_back(ranked[i].endpoint->id);
  }
  return candidates;
}

void FreshLoad::SetProbeRate(MonoTime now, double rate) {
  probe_rate_ = rate;
  for (const auto& [id, view] : services_) {
    UpdateBudget(now, view);
  }
}

void FreshLoad::UpdateBudget(MonoTime now, const ServiceView& view) {
  probe_budgets_[view.id].SetRate(now, probe_rate_ * static_cast<double>(view.endpoints.size()));
}

bool FreshLoad::OnProbe(MonoTime now, const ProbeResult& result) {
  const auto found = seen_.find(result.endpoint);
  if (found == seen_.end()) {
    return false;
  }
  Seen& seen = found->second;
  if (!result.answered) {
    Fail(now, &seen);
    return false;
  }
  seen.healthy = result.status >= 200 && result.status < 300;
  if (seen.healthy && seen.failures <= kToleratedFailures) {
    seen.failures = 0;
  }
  if (!result.report) {
    return false;
  }
  OnLoadReport(now, result.endpoint, *result.report);
  const LoadReport& report = *result.report;
  return seen.healthy && report.cold_for == Duration(0) && report.waiting == 0 &&
         report.slowdown_percent <= LoadReport::kUsualSpeed &&
         !FillCost::IsNearlyFull(report.in_flight + 1, std::max(report.slots, 1));
}

std::optional<EndpointId> FreshLoad::Acquire(MonoTime now,
                                             const AcquireRequest& request,
                                             RandomEngine& random) {
  const auto service = services_.find(request.service);
  if (service == services_.end()) {
    return std::nullopt;
  }
  const EndpointView* best = nullptr;
  Duration best_finish{0};
  int ties = 0;
  for (const EndpointView& endpoint : service->second.endpoints) {
    const Seen& seen = seen_.at(endpoint.id);
    if (!Usable(now, endpoint) || !seen.has_report || !seen.healthy || now - seen.at > kFreshFor ||
        now < seen.cold_until ||
        std::find(request.excluded.begin(), request.excluded.end(), endpoint.id) !=
            request.excluded.end()) {
      continue;
    }
    const Duration finish = FinishOf(seen, endpoint, request.work);
    if (!HasRoom(now, request, seen, endpoint, finish)) {
      continue;
    }
    if (best == nullptr || finish < best_finish) {
      best = &endpoint;
      best_finish = finish;
      ties = 1;
    } else if (finish == best_finish && random() % static_cast<uint64_t>(++ties) == 0) {
      best = &endpoint;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  Seen& seen = seen_.at(best->id);
  ++seen.sent_since;
  seen.sent.push_back({now, FillCost::IsNearlyFull(AheadOf(seen), best->slots)});
  return best->id;
}

std::string FreshLoad::Describe(MonoTime now, const EndpointId& endpoint) const {
  const auto found = seen_.find(endpoint);
  if (found == seen_.end() || !found->second.has_report) {
    return "report=none";
  }
  const Seen& seen = found->second;
  return "zone=" + seen.zone.value + " running=" + std::to_string(seen.report.in_flight) +
         " waiting=" + std::to_string(seen.report.waiting) +
         " slots=" + std::to_string(seen.report.slots) +
         " slowdown_percent=" + std::to_string(seen.report.slowdown_percent) +
         " sent_since=" + std::to_string(seen.sent_since) +
         " report_age_us=" + std::to_string((now - seen.at).count());
}

void FreshLoad::Release(MonoTime now, const EndpointId& endpoint, const AttemptResult& result) {
  const auto found = seen_.find(endpoint);
  if (found == seen_.end()) {
    return;
  }
  Seen& seen = found->second;
  const std::optional<SentCall> sent = TakeSent(&seen, now - result.latency);
  if (IsFailure(result)) {
    Fail(now, &seen);
  } else if (result.outcome == AttemptOutcome::kAnswered) {
    seen.failures = 0;
    if (sent) {
      fill_costs_[seen.service].OnAnswered(sent->nearly_full, result.latency);
    }
  }
}

std::optional<FreshLoad::SentCall> FreshLoad::TakeSent(Seen* seen, MonoTime sent) {
  const auto nearest = std::min_element(
      seen->sent.begin(), seen->sent.end(), [sent](const SentCall& a, const SentCall& b) {
        return std::chrono::abs(a.sent - sent) < std::chrono::abs(b.sent - sent);
      });
  if (nearest == seen->sent.end()) {
    return std::nullopt;
  }
  const SentCall taken = *nearest;
  seen->sent.erase(nearest);
  return taken;
}

void FreshLoad::SetService(MonoTime now, const ServiceView& view) {
  UpdateBudget(now, view);
  ServiceView& known = services_[view.id];
  for (const EndpointView& endpoint : known.endpoints) {
    const bool stays =
        std::any_of(view.endpoints.begin(), view.endpoints.end(),
                    [&](const EndpointView& other) { return other.id == endpoint.id; });
    if (!stays) {
      seen_.erase(endpoint.id);
    }
  }
  known = view;
  for (const EndpointView& endpoint : view.endpoints) {
    Seen& seen = seen_[endpoint.id];
    seen.service = view.id;
    seen.zone = endpoint.zone;
  }
}

void FreshLoad::RemoveService(MonoTime, const ServiceId& service) {
  const auto known = services_.extract(service);
  fill_costs_.erase(service);
  probe_budgets_.erase(service);
  if (known.empty()) {
    return;
  }
  for (const EndpointView& endpoint : known.mapped().endpoints) {
    seen_.erase(endpoint.id);
  }
}

void FreshLoad::OnLoadReport(MonoTime now, const EndpointId& endpoint, const LoadReport& report) {
  const auto found = seen_.find(endpoint);
  if (found == seen_.end()) {
    return;
  }
  Seen& seen = found->second;
  seen.report = report;
  seen.has_report = true;
  seen.at = now;
  seen.sent_since = 0;
  seen.cold_until = now + report.cold_for;
}

bool FreshLoad::Usable(MonoTime now, const EndpointView& endpoint) const {
  const Seen& seen = seen_.at(endpoint.id);
  return endpoint.usable && now >= seen.retry_at;
}

double FreshLoad::RankOf(MonoTime now, const Seen& seen) const {
  double rank = static_cast<double>(seen.sent.size()) + static_cast<double>(seen.failures);
  if (!seen.healthy) {
    rank += 4.0;
  }
  if (now < seen.cold_until) {
    rank += 8.0;
  }
  if (seen.has_report && now - seen.at < kSlowPhase) {
    rank += static_cast<double>(seen.report.slowdown_percent) / LoadReport::kUsualSpeed - 1.0;
    rank += static_cast<double>(seen.report.in_flight + seen.report.waiting) /
            std::max(seen.report.slots, 1);
  }
  return rank;
}

Duration FreshLoad::FinishOf(const Seen& seen, const EndpointView& endpoint, Duration work) const {
  const int32_t slots = std::max(endpoint.slots, 1);
  const int32_t ahead = AheadOf(seen);
  const double slowdown =
      static_cast<double>(std::max(seen.report.slowdown_percent, 1)) / LoadReport::kUsualSpeed;
  Duration finish = std::min(Scale(work, slowdown), work + kSlowPhase);
  if (FillCost::IsNearlyFull(ahead + 1, slots)) {
    finish = Scale(finish, CostOf(seen).factor());
  }
  if (ahead >= slots) {
    finish += Scale(work, static_cast<double>(ahead - slots + 1) / slots);
  }
  // Prefer the endpoint with fewer calls, even if both have a free slot.
  return finish + Scale(work, kFillPreference * ahead / slots);
}

bool FreshLoad::HasRoom(MonoTime now,
                        const AcquireRequest& request,
                        const Seen& seen,
                        const EndpointView& endpoint,
                        Duration finish) const {
  const bool in_time = now + finish <= request.target;
  if (now + finish > request.deadline) {
    return false;
  }
  if (request.priority == Priority::kHigh && in_time) {
    return true;
  }
  // An endpoint of another zone, not probed yet, may still answer before the target time.
  if (!in_time && !request.last_stage && now + request.work < request.target) {
    return false;
  }
  // Calls that are expected to miss their target time may not use the last useful slot, because
  // under overload another call can use this slot and still finish in time.
  int32_t limit = CostOf(seen).UsefulSlots(endpoint.slots);
  limit -= in_time ? 0 : 1;
  return AheadOf(seen) < std::max(limit, 1);
}

const FillCost& FreshLoad::CostOf(const Seen& seen) const {
  static const FillCost unknown;
  const auto known = fill_costs_.find(seen.service);
  return known == fill_costs_.end() ? unknown : known->second;
}

int32_t FreshLoad::AheadOf(const Seen& seen) {
  return seen.report.in_flight + seen.report.waiting + seen.sent_since;
}

void FreshLoad::Fail(MonoTime now, Seen* seen) {
  ++seen->failures;
  if (seen->failures > kToleratedFailures) {
    const int32_t doublings =
        std::min(seen->failures - kToleratedFailures - 1, kMaxBackoffDoublings);
    seen->retry_at = now + kFirstBackoff * (1 << doublings);
  }
}

}  // namespace jd
