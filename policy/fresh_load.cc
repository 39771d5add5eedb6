#include "policy/fresh_load.h"

#include <algorithm>
#include <cassert>

namespace jd {
namespace {

// Expected length of a phase in which an upstream is slow.
constexpr Duration kSlowPhaseDuration = 150ms;
// Penalty for a fully used upstream relative to an empty one, as a share of the call's usual
// service time.
constexpr double kUtilizationPenalty = 0.1;
// Delay before an endpoint that exceeded the tolerated failures is probed again. It doubles with
// each further failure, up to kMaxBackoffDoublings times.
constexpr Duration kInitialBackoff = 250ms;
constexpr int32_t kMaxBackoffDoublings = 3;
// Consecutive failures after which an endpoint is still used, because a single failure may be
// caused by the request.
constexpr int32_t kToleratedFailures = 1;

bool IsSlow(const LoadReport& report) {
  return report.slowdown_percent > LoadReport::kNormalSlowdownPercent;
}

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

std::vector<EndpointId> FreshLoad::ChooseProbeTargets(MonoTime now,
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
    const bool is_local = endpoint.zone == request.local_zone;
    if (is_local != (stage == 0)) {
      continue;
    }
    const EndpointRecord* record = FindRecord(request.service, endpoint.id);
    if (record == nullptr || !Admits(request.side, endpoint.side) ||
        IsHeld(HoldOnProbes(now, FactsOf(endpoint, *record))) ||
        std::find(request.excluded.begin(), request.excluded.end(), endpoint.id) !=
            request.excluded.end()) {
      continue;
    }
    const double jitter = std::uniform_real_distribution<double>(0, 0.2)(random);
    ranked.push_back({ProbeRank(now, *record) + jitter, &endpoint});
  }
  const size_t most_now = stage == 0 ? kProbesPerCall : kRemoteProbesPerCall;
  const bool spread = request.waiting && probe_rate_ > 0;
  const size_t most = spread ? kProbesPerWaitingCall : most_now;
  const size_t wanted = std::min(most, ranked.size());
  // A call is never sent to an endpoint whose load is unknown, so a new call has one probe at
  // least.
  const int32_t minimum = request.waiting ? 0 : 1;
  const auto count = static_cast<size_t>(
      probe_budgets_[request.service].TakeTokens(now, static_cast<int32_t>(wanted), minimum));
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
    UpdateProbeBudget(now, view);
  }
}

void FreshLoad::UpdateProbeBudget(MonoTime now, const ServiceView& view) {
  probe_budgets_[view.id].SetRate(now, probe_rate_ * static_cast<double>(view.endpoints.size()));
}

bool FreshLoad::OnProbeResult(MonoTime now, const ProbeResult& result) {
  const auto found = records_.find(result.endpoint);
  if (found == records_.end()) {
    return false;
  }
  EndpointRecord& record = found->second;
  if (!result.answered) {
    RecordFailure(now, &record);
    return false;
  }
  record.healthy = result.status >= 200 && result.status < 300;
  if (record.healthy && record.consecutive_failures <= kToleratedFailures) {
    record.consecutive_failures = 0;
  }
  if (!result.report) {
    return false;
  }
  OnLoadReport(now, result.endpoint, *result.report);
  const LoadReport& report = *result.report;
  return record.healthy && report.cold_remaining == Duration(0) && report.waiting == 0 &&
         report.slowdown_percent <= LoadReport::kNormalSlowdownPercent &&
         !SaturationSlowdown::IsNearlyFull(report.in_flight + 1, std::max(report.slots, 1));
}

std::optional<EndpointId> FreshLoad::Acquire(MonoTime now,
                                             const AcquireRequest& request,
                                             RandomEngine& random) {
  const auto service = services_.find(request.service);
  if (service == services_.end()) {
    return std::nullopt;
  }
  const EndpointView* best = nullptr;
  EndpointRecord* best_record = nullptr;
  Duration lowest_latency{0};
  int ties = 0;
  for (const EndpointView& endpoint : service->second.endpoints) {
    EndpointRecord* record = FindRecord(request.service, endpoint.id);
    if (record == nullptr || !Admits(request.side, endpoint.side) || !record->has_report ||
        IsHeld(HoldOnCalls(now, FactsOf(endpoint, *record))) ||
        now - record->report_time > kMaxReportAge ||
        std::find(request.excluded.begin(), request.excluded.end(), endpoint.id) !=
            request.excluded.end()) {
      continue;
    }
    const Duration expected_latency =
        ExpectedLatency(*record, endpoint, request.usual_service_time);
    if (!MaySendTo(now, request, *record, endpoint, expected_latency)) {
      continue;
    }
    if (best == nullptr || expected_latency < lowest_latency) {
      best = &endpoint;
      best_record = record;
      lowest_latency = expected_latency;
      ties = 1;
    } else if (expected_latency == lowest_latency &&
               random() % static_cast<uint64_t>(++ties) == 0) {
      best = &endpoint;
      best_record = record;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  ++best_record->sent_since_report;
  best_record->in_flight.push_back(
      {now, SaturationSlowdown::IsNearlyFull(EstimatedCalls(*best_record), best->slots),
       IsSlow(best_record->report)});
  return best->id;
}

std::string FreshLoad::DescribeLoad(MonoTime now, const EndpointId& endpoint) const {
  const auto found = records_.find(endpoint);
  if (found == records_.end() || !found->second.has_report) {
    return "report=none";
  }
  const EndpointRecord& record = found->second;
  return "zone=" + record.zone.value + " running=" + std::to_string(record.report.in_flight) +
         " waiting=" + std::to_string(record.report.waiting) +
         " slots=" + std::to_string(record.report.slots) +
         " slowdown_percent=" + std::to_string(record.report.slowdown_percent) +
         " sent_since=" + std::to_string(record.sent_since_report) +
         " report_age_us=" + std::to_string((now - record.report_time).count()) +
         (record.report.limit.rate
              ? " limit_per_s=" + std::to_string(record.report.limit.rate->per_second)
              : "");
}

std::optional<CallRate> FreshLoad::KnownLimit(const EndpointId& endpoint) const {
  const auto found = records_.find(endpoint);
  return found == records_.end() ? std::nullopt : found->second.report.limit.rate;
}

void FreshLoad::OnPermitRefused(const EndpointId& endpoint, MonoTime retry_at) {
  const auto found = records_.find(endpoint);
  if (found != records_.end()) {
    found->second.permit_retry_at = retry_at;
  }
}

void FreshLoad::Release(MonoTime now, const EndpointId& endpoint, const AttemptResult& result) {
  const auto found = records_.find(endpoint);
  if (found == records_.end()) {
    return;
  }
  EndpointRecord& record = found->second;
  const MonoTime sent_at = now - result.latency;
  if (sent_at < record.created) {
    return;  // The call was sent to an earlier run of the endpoint, in another service.
  }
  const std::optional<SentCall> sent = RemoveSentCall(&record, sent_at);
  if (IsFailure(result)) {
    RecordFailure(now, &record);
  } else if (result.outcome == AttemptOutcome::kAnswered) {
    record.consecutive_failures = 0;
    if (sent && IsSaturationSample(*sent, result)) {
      saturation_slowdowns_[record.service].OnAnswered(sent->nearly_full, result.latency);
    }
  }
}

bool FreshLoad::IsSaturationSample(const SentCall& sent, const AttemptResult& result) {
  if (!result.report) {
    return true;
  }
  const LoadReport& report = *result.report;
  const int32_t calls_with_this_one = report.in_flight + 1;
  return !sent.slow && !IsSlow(report) && report.waiting == 0 &&
         sent.nearly_full ==
             SaturationSlowdown::IsNearlyFull(calls_with_this_one, std::max(report.slots, 1));
}

std::optional<FreshLoad::SentCall> FreshLoad::RemoveSentCall(EndpointRecord* record,
                                                             MonoTime sent_at) {
  const auto nearest = std::min_element(record->in_flight.begin(), record->in_flight.end(),
                                        [sent_at](const SentCall& a, const SentCall& b) {
                                          return std::chrono::abs(a.sent_at - sent_at) <
                                                 std::chrono::abs(b.sent_at - sent_at);
                                        });
  if (nearest == record->in_flight.end()) {
    return std::nullopt;
  }
  const SentCall taken = *nearest;
  record->in_flight.erase(nearest);
  return taken;
}

void FreshLoad::SetService(MonoTime now, const ServiceView& view) {
  UpdateProbeBudget(now, view);
  ServiceView& known = services_[view.id];
  for (const EndpointView& endpoint : known.endpoints) {
    const bool stays =
        std::any_of(view.endpoints.begin(), view.endpoints.end(),
                    [&](const EndpointView& other) { return other.id == endpoint.id; });
    if (!stays) {
      RemoveRecord(view.id, endpoint.id);
    }
  }
  known = view;
  for (const EndpointView& endpoint : view.endpoints) {
    EndpointRecord& record = records_[endpoint.id];
    if (record.service != view.id) {
      record = EndpointRecord();
      record.service = view.id;
      record.created = now;
    }
    record.zone = endpoint.zone;
  }
}

void FreshLoad::RemoveRecord(const ServiceId& service, const EndpointId& endpoint) {
  if (FindRecord(service, endpoint) != nullptr) {
    records_.erase(endpoint);
  }
}

FreshLoad::EndpointRecord* FreshLoad::FindRecord(const ServiceId& service,
                                                 const EndpointId& endpoint) {
  const auto found = records_.find(endpoint);
  const bool is_known = found != records_.end() && found->second.service == service;
  return is_known ? &found->second : nullptr;
}

void FreshLoad::RemoveService(MonoTime, const ServiceId& service) {
  const auto known = services_.extract(service);
  saturation_slowdowns_.erase(service);
  probe_budgets_.erase(service);
  if (known.empty()) {
    return;
  }
  for (const EndpointView& endpoint : known.mapped().endpoints) {
    RemoveRecord(service, endpoint.id);
  }
}

void FreshLoad::OnLoadReport(MonoTime now, const EndpointId& endpoint, const LoadReport& report) {
  const auto found = records_.find(endpoint);
  if (found == records_.end()) {
    return;
  }
  EndpointRecord& record = found->second;
  const NamedLimit known_limit = record.report.limit;
  record.report = report;
  if (!report.limit.readable) {
    record.report.limit = known_limit;
  }
  record.has_report = true;
  record.report_time = now;
  record.sent_since_report = 0;
  record.cold_until = now + report.cold_remaining;
}

EndpointFacts FreshLoad::FactsOf(const EndpointView& endpoint, const EndpointRecord& record) {
  EndpointFacts facts;
  facts.leaving = endpoint.hold == EndpointHold::kLeaving;
  facts.wants_nothing = endpoint.hold == EndpointHold::kWantsNothing;
  facts.zone_out = !endpoint.usable && !facts.leaving && !facts.wants_nothing;
  facts.healthy = record.healthy;
  facts.failure_retry_at = record.retry_at;
  facts.permit_retry_at = record.permit_retry_at;
  facts.cold_until = record.cold_until;
  return facts;
}

bool FreshLoad::IsHeld(EndpointHold hold) {
  ++hold_counts_.at(static_cast<size_t>(hold));
  return hold != EndpointHold::kNone;
}

double FreshLoad::ProbeRank(MonoTime now, const EndpointRecord& record) const {
  double rank = static_cast<double>(record.in_flight.size()) +
                static_cast<double>(record.consecutive_failures);
  if (!record.healthy) {
    rank += 4.0;
  }
  if (now < record.cold_until) {
    rank += 8.0;
  }
  if (record.has_report && now - record.report_time < kSlowPhaseDuration) {
    rank +=
        static_cast<double>(record.report.slowdown_percent) / LoadReport::kNormalSlowdownPercent -
        1.0;
    rank += static_cast<double>(record.report.in_flight + record.report.waiting) /
            std::max(record.report.slots, 1);
  }
  return rank;
}

Duration FreshLoad::ExpectedLatency(const EndpointRecord& record,
                                    const EndpointView& endpoint,
                                    Duration service_time) const {
  const int32_t slots = std::max(endpoint.slots, 1);
  const int32_t calls = EstimatedCalls(record);
  const double slowdown = static_cast<double>(std::max(record.report.slowdown_percent, 1)) /
                          LoadReport::kNormalSlowdownPercent;
  // A call that starts in a slow phase may stay slow until it ends.
  Duration expected_latency = Scale(service_time, slowdown);
  if (SaturationSlowdown::IsNearlyFull(calls + 1, slots)) {
    expected_latency = Scale(expected_latency, SlowdownOf(record).factor());
  }
  if (calls >= slots) {
    expected_latency += Scale(service_time, static_cast<double>(calls - slots + 1) / slots);
  }
  // Prefer the endpoint with fewer calls, even if both have a free slot.
  return expected_latency + Scale(service_time, kUtilizationPenalty * calls / slots);
}

bool FreshLoad::MaySendTo(MonoTime now,
                          const AcquireRequest& request,
                          const EndpointRecord& record,
                          const EndpointView& endpoint,
                          Duration expected_latency) const {
  const bool meets_target = now + expected_latency <= request.target_time;
  if (now + expected_latency > request.deadline) {
    return false;
  }
  // An endpoint of another zone, not probed yet, may still answer before the target time.
  if (!meets_target && !request.last_stage &&
      now + request.usual_service_time < request.target_time) {
    return false;
  }
  // What an endpoint with a limit lacks is permits, not slots.
  if (!meets_target && request.yields && !record.report.limit.rate) {
    return false;
  }
  // Calls that are expected to miss their target time may not use the last useful slot, because
  // under overload another call can use this slot and still finish in time.
  int32_t limit = SlowdownOf(record).OptimalConcurrency(endpoint.slots);
  limit -= meets_target ? 0 : 1;
  limit -= request.yields ? 1 : 0;
  return EstimatedCalls(record) < std::max(limit, 1);
}

const SaturationSlowdown& FreshLoad::SlowdownOf(const EndpointRecord& record) const {
  static const SaturationSlowdown unknown;
  const auto known = saturation_slowdowns_.find(record.service);
  return known == saturation_slowdowns_.end() ? unknown : known->second;
}

int32_t FreshLoad::EstimatedCalls(const EndpointRecord& record) {
  return record.report.in_flight + record.report.waiting + record.sent_since_report;
}

void FreshLoad::RecordFailure(MonoTime now, EndpointRecord* record) {
  ++record->consecutive_failures;
  if (record->consecutive_failures > kToleratedFailures) {
    const int32_t doublings =
        std::min(record->consecutive_failures - kToleratedFailures - 1, kMaxBackoffDoublings);
    record->retry_at = now + kInitialBackoff * (1 << doublings);
  }
}

}  // namespace jd
