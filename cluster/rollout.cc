#include "cluster/rollout.h"

#include <algorithm>

namespace jd {
namespace {

constexpr bool IsFinal(RolloutState state) {
  return state != RolloutState::kRunning;
}

}  // namespace

Rollout::Rollout(MonoTime now, RolloutMember self, RolloutOrder order)
    : self_(std::move(self)), order_(std::move(order)) {
  Reset(now);
}

void Rollout::Reset(MonoTime now) {
  ++generation_;
  finished_since_.reset();
  over_ = false;
  started_ = now;
  phase_ = RolloutPhase::kWatching;
  phase_since_ = now;
  bad_ = false;
  withdrawn_ = false;
  only_new_since_.reset();
  heard_sum_.reset();
  next_tick_ = now;
  zone_evidence_ = {};
  reporters_.clear();
  evidence_ = {};
  compares_ = false;
  shown_since_.reset();
  zone_reports_.clear();
  reported_at_.reset();
  summed_at_.reset();
  recorded_.reset();
  outcome_.reset();
  status_row_ = {};
  wanted_.reset();
  next_write_ = now;
}

void Rollout::OnOrder(MonoTime now, const RolloutOrder& order) {
  withdrawn_ = false;
  if (order == order_) {
    return;
  }
  const bool again = outcome_ && order.era == order_.era && order.row > order_.row;
  if (order.era != order_.era) {
    status_row_ = {};
  }
  order_ = order;
  if (again) {
    Reset(now);
    return;
  }
  // The status row must be newer than the order's row, so it is written again.
  recorded_.reset();
  wanted_.reset();
  next_tick_ = now;
}

void Rollout::RaisePhase(MonoTime now, RolloutPhase phase) {
  if (phase > phase_) {
    phase_ = phase;
    phase_since_ = now;
    evidence_.Restart(false);
  }
}

void Rollout::OnEvidence(MonoTime now,
                         const GatewayId& from,
                         Incarnation incarnation,
                         const VersionEvidence& evidence,
                         RolloutOutput* output) {
  if (evidence.rollout != id()) {
    return;
  }
  if (outcome_) {
    if (finished() && !evidence.zone_sum) {
      output->replies.emplace_back(from, RolloutNotice{id(), *outcome_, status_row_});
    }
    return;
  }
  started_ = std::min(started_, now - std::max(evidence.age, Duration(0)));
  bad_ = bad_ || evidence.bad;
  RaisePhase(now, evidence.phase);
  if (!evidence.zone_sum) {
    zone_evidence_.OnGateway(from, incarnation, evidence.counts);
    reporters_[from] = {now, evidence.gateways_on_old > 0};
    return;
  }
  heard_sum_ = now;
  evidence_.OnZoneSum(now, evidence.zone, from, evidence.counts);
  zone_reports_[evidence.zone][from] = {now, evidence.gateways_on_old};
}

void Rollout::Adopt(RolloutState state, RowVersion row) {
  recorded_ = state;
  status_row_ = row;
  if (IsFinal(state)) {
    outcome_ = state;
    bad_ = state == RolloutState::kReverted;
  }
}

void Rollout::OnNotice(const RolloutNotice& notice) {
  // A notice of an earlier state may arrive late.
  if (notice.rollout == id() && notice.status_row > status_row_ && !outcome_) {
    Adopt(notice.state, notice.status_row);
  }
}

void Rollout::OnWriteResult(MonoTime now, const RolloutWriteResult& result, RolloutOutput* output) {
  writing_ = false;
  if (result.write.rollout != id()) {
    return;
  }
  switch (result.outcome) {
    case RolloutWriteOutcome::kWritten:
      Adopt(result.write.state, result.row.version);
      output->notices.push_back({id(), result.write.state, status_row_});
      break;
    case RolloutWriteOutcome::kConflict: {
      const bool belongs = result.row.to == order_.to && result.row.version > order_.row;
      // A store that was restored from a copy may show an earlier state.
      const bool outdated = outcome_ && !IsFinal(result.row.state);
      if (belongs && !outdated) {
        Adopt(result.row.state, result.row.version);
        output->notices.push_back({id(), result.row.state, status_row_});
      } else {
        status_row_ = result.row.version;
      }
      next_write_ = now;
      break;
    }
    case RolloutWriteOutcome::kFailed:
      next_write_ = now + kWriteRetry;
      break;
  }
  next_tick_ = now;
}

bool Rollout::Hears(MonoTime now) const {
  return alone_ || (heard_sum_ && now - *heard_sum_ <= Scale(self_.bounds.rollback, kSilentPart));
}

RolloutUse Rollout::use() const {
  if (outcome_) {
    return *outcome_ == RolloutState::kCompleted ? RolloutUse::kNewOnly : RolloutUse::kOldOnly;
  }
  if (bad_) {
    return RolloutUse::kOldOnly;
  }
  return phase_ == RolloutPhase::kFull ? RolloutUse::kNewOnly : RolloutUse::kSplit;
}

RolloutShare Rollout::share(MonoTime now) const {
  if (use() != RolloutUse::kSplit || withdrawn_ ||
      (phase_ < RolloutPhase::kProved && !Hears(now))) {
    return {0, 0};
  }
  return ShareIn(phase_, self_.bounds);
}

void Rollout::Decide(MonoTime now, const RolloutSituation& situation, bool acts) {
  if (!compares_ && evidence_.sum().total().new_side.calls > 0) {
    compares_ = true;
    evidence_.Restart(true);
  }
  evidence_.Advance(now);
  const RolloutCounts total = evidence_.total();
  const RolloutCounts latest = evidence_.latest();
  const bool shown = ShowsBadVersion(total) || ShowsBadVersion(latest);
  if (shown && !shown_since_) {
    shown_since_ = now;
  } else if (!RaisesSuspicion(total) && !RaisesSuspicion(latest)) {
    shown_since_.reset();
  }
  bad_ = bad_ || (shown && shown_since_ && now - *shown_since_ >= kReportInterval);
  if (!situation.only_new) {
    only_new_since_.reset();
  } else if (!only_new_since_) {
    only_new_since_ = now;
  }
  if (bad_ || withdrawn_ || !acts) {
    return;
  }
  if (only_new_since_ && now - *only_new_since_ >= kOnlyNewPeriod) {
    RaisePhase(now, RolloutPhase::kFull);
    return;
  }
  RolloutProgress progress;
  progress.phase = phase_;
  progress.age = now - started_;
  progress.phase_age = now - phase_since_;
  progress.duration = order_.duration;
  progress.new_calls = evidence_.sum().total().new_side.calls;
  progress.suspicious = RaisesSuspicion(latest);
  progress.has_capacity = situation.has_capacity;
  bad_ = IsOverdue(progress);
  RaisePhase(now, NextPhase(progress));
}

VersionEvidence Rollout::MakeMessage(MonoTime now) const {
  VersionEvidence message;
  message.rollout = id();
  message.zone = self_.zone;
  message.age = now - started_;
  message.phase = phase_;
  message.bad = bad_;
  return message;
}

void Rollout::SendReports(MonoTime now, const RolloutSituation& situation, RolloutOutput* output) {
  const bool on_old = use() == RolloutUse::kSplit || situation.old_in_flight > 0;
  const int64_t trouble = situation.counts.total().new_side.troubled();
  const bool urgent = trouble != reported_trouble_ || on_old != reported_on_old_;
  if (!reported_at_ || urgent || now - *reported_at_ >= kReportInterval) {
    reported_at_ = now;
    reported_trouble_ = trouble;
    reported_on_old_ = on_old;
    VersionEvidence message = MakeMessage(now);
    message.gateways_on_old = on_old ? 1 : 0;
    message.counts = situation.counts;
    KeepWorstEndpoints(&message.counts);
    for (const GatewayId& collector : situation.collectors) {
      if (collector != self_.id) {
        output->reports.emplace_back(collector, message);
      }
    }
  }
  zone_evidence_.OnGateway(self_.id, self_.incarnation, situation.counts);
  reporters_[self_.id] = {now, on_old};
}

void Rollout::SendZoneSum(MonoTime now, RolloutOutput* output) {
  VersionEvidence message = MakeMessage(now);
  message.zone_sum = true;
  message.counts = zone_evidence_.sum();
  KeepWorstEndpoints(&message.counts);
  for (const auto& [gateway, reporter] : reporters_) {
    message.gateways_on_old += reporter.on_old && now - reporter.heard <= kSilence ? 1 : 0;
  }
  evidence_.OnZoneSum(now, self_.zone, self_.id, message.counts);
  zone_reports_[self_.zone][self_.id] = {now, message.gateways_on_old};
  const int64_t trouble = message.counts.total().new_side.troubled();
  const bool urgent = trouble != summed_trouble_ || message.gateways_on_old != summed_on_old_ ||
                      phase_ != summed_phase_ || bad_ != summed_bad_;
  if (summed_at_ && !urgent && now - *summed_at_ < kReportInterval) {
    return;
  }
  summed_at_ = now;
  summed_trouble_ = trouble;
  summed_on_old_ = message.gateways_on_old;
  summed_phase_ = phase_;
  summed_bad_ = bad_;
  output->sums.push_back(std::move(message));
}

bool Rollout::HandoverIsDone(MonoTime now) const {
  if (phase_ != RolloutPhase::kFull || now - phase_since_ < kMinHandover) {
    return false;
  }
  if (now - phase_since_ >= std::min(kMaxHandover, Scale(order_.duration, kMaxHandoverPart))) {
    return true;
  }
  for (const auto& [zone, collectors] : zone_reports_) {
    for (const auto& [collector, report] : collectors) {
      if (now - report.heard <= kSilence && report.gateways_on_old > 0) {
        return false;
      }
    }
  }
  return true;
}

RolloutState Rollout::WantedState(MonoTime now) const {
  if (outcome_) {
    return *outcome_;
  }
  if (bad_ || withdrawn_) {
    return RolloutState::kReverted;
  }
  return HandoverIsDone(now) ? RolloutState::kCompleted : RolloutState::kRunning;
}

void Rollout::WriteStatus(MonoTime now,
                          const RolloutSituation& situation,
                          int32_t collector_rank,
                          RolloutOutput* output) {
  const RolloutState wanted = WantedState(now);
  if (wanted_ != wanted) {
    wanted_ = wanted;
    wanted_since_ = now;
  }
  const int32_t rank = collector_rank * situation.zones + situation.zone_rank;
  if (recorded_ == wanted || writing_ || now < next_write_ ||
      now < wanted_since_ + kTakeover * rank) {
    return;
  }
  writing_ = true;
  output->writes.push_back({id(), wanted, status_row_});
}

void Rollout::OnTimer(MonoTime now, const RolloutSituation& situation, RolloutOutput* output) {
  if (now < next_tick_ || ended()) {
    return;
  }
  next_tick_ = now + kTick;
  if (finished()) {
    finished_since_ = finished_since_.value_or(now);
    over_ = outcome_ == RolloutState::kReverted || now - *finished_since_ >= kOldEndpointsStop;
    return;
  }
  finished_since_.reset();
  over_ = false;
  alone_ = situation.alone;
  const auto own = std::find(situation.collectors.begin(), situation.collectors.end(), self_.id);
  const bool collects = own != situation.collectors.end();
  const bool acts = collects && order_.duration > Duration(0);
  if (!outcome_) {
    Decide(now, situation, acts);
    SendReports(now, situation, output);
    if (collects) {
      SendZoneSum(now, output);
    }
  }
  if (acts) {
    WriteStatus(now, situation, static_cast<int32_t>(own - situation.collectors.begin()), output);
  }
}

std::optional<MonoTime> Rollout::next_timer() const {
  return ended() ? std::nullopt : std::optional(next_tick_);
}

}  // namespace jd
