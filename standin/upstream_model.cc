#include "standin/upstream_model.h"

#include <algorithm>

namespace jd {

UpstreamModel::UpstreamModel(UpstreamEndpoint settings, uint64_t seed, RunLedger* ledger)
    : settings_(std::move(settings)),
      random_(seed),
      ledger_(ledger),
      cold_(settings_.cold),
      reports_cold_(settings_.cold) {
  ledger_->Tally(settings_.id).zone = settings_.zone;
}

int32_t UpstreamModel::calls_in_flight() const {
  const auto is_call = [](const auto& entry) { return !entry.second.work.probe; };
  const auto waits = [](const UpstreamWork& work) { return !work.probe; };
  return static_cast<int32_t>(std::count_if(running_.begin(), running_.end(), is_call) +
                              std::count_if(waiting_.begin(), waiting_.end(), waits));
}

void UpstreamModel::CountInFlight(MonoTime now) {
  const int32_t calls = calls_in_flight();
  EndpointTally& tally = ledger_->Tally(settings_.id);
  tally.max_in_flight = std::max(tally.max_in_flight, calls);
  if (cold_) {
    tally.max_in_flight_cold = std::max(tally.max_in_flight_cold, calls);
    if (calls > settings_.cold_bound && collapsed_until_ <= now) {
      Collapse(now);
    }
  }
  history_.emplace_back(now, calls);
  while (history_.size() > 1 && history_[1].first <= now - settings_.report_lag) {
    history_.pop_front();
  }
}

void UpstreamModel::Collapse(MonoTime now) {
  ++ledger_->Tally(settings_.id).overloads;
  collapsed_until_ = now + settings_.collapse_time;
  std::multimap<MonoTime, Running> delayed;
  for (auto& [end, running] : running_) {
    delayed.emplace(end + settings_.collapse_time, std::move(running));
  }
  running_ = std::move(delayed);
}

Duration UpstreamModel::WorkTime(const UpstreamWork& work) {
  Duration time = work.probe ? settings_.probe_cost : settings_.service_time.Sample(random_);
  time = Scale(time, slow_factor * (cold_ ? settings_.cold_factor : 1.0));
  return work.new_connection ? time + settings_.connect_cost : time;
}

void UpstreamModel::Refuse(const UpstreamWork& work, UpstreamOutput* out) {
  ++ledger_->Tally(settings_.id).refused;
  out->answers.push_back(UpstreamAnswer{work.token, 503, true});
}

void UpstreamModel::FailFast(MonoTime now, const UpstreamWork& work, UpstreamOutput* out) {
  if (!work.probe) {
    const size_t run =
        ledger_->Start(now, work.request_id, LedgerRun{settings_.id, work.method, now, now});
    ledger_->End(now, work.request_id, run, false);
  }
  out->answers.push_back(UpstreamAnswer{work.token, 500, false});
}

void UpstreamModel::Submit(MonoTime now, const UpstreamWork& work, UpstreamOutput* out) {
  Advance(now, out);
  if (fail_fast) {
    FailFast(now, work, out);
    return;
  }
  const bool free_slot = static_cast<int32_t>(running_.size()) < usable_slots() &&
                         waiting_.empty() && collapsed_until_ <= now;
  if (free_slot) {
    Start(now, work, out);
  } else if (!work.probe &&
             (settings_.shed || static_cast<int32_t>(waiting_.size()) >= settings_.queue_limit)) {
    Refuse(work, out);
  } else {
    waiting_.push_back(work);
  }
  CountInFlight(now);
}

void UpstreamModel::Start(MonoTime now, const UpstreamWork& work, UpstreamOutput* out) {
  if (work.deadline && *work.deadline <= now) {
    Refuse(work, out);
    return;
  }
  Running running{work, 0, now};
  if (!work.probe) {
    running.run =
        ledger_->Start(now, work.request_id, LedgerRun{settings_.id, work.method, now, now});
  }
  if (work.crash) {
    running_.emplace(now, std::move(running));
    out->crashed = true;
    return;
  }
  running_.emplace(now + WorkTime(work), std::move(running));
}

void UpstreamModel::Finish(MonoTime now, const Running& running) {
  EndpointTally& tally = ledger_->Tally(settings_.id);
  if (running.work.probe) {
    ++tally.probes;
    tally.probe_us += (now - running.start).count();
  } else {
    ledger_->End(now, running.work.request_id, running.run, true);
  }
  if (cold_ && !running.work.probe && ++served_cold_ >= settings_.warm_after) {
    cold_ = false;
    reports_cold_ = false;
  }
  outbox_.emplace(now + settings_.zone_delay, UpstreamAnswer{running.work.token, 200, false});
}

void UpstreamModel::StartWaiting(MonoTime now, UpstreamOutput* out) {
  while (!waiting_.empty() && collapsed_until_ <= now && !out->crashed &&
         static_cast<int32_t>(running_.size()) < usable_slots()) {
    const UpstreamWork work = std::move(waiting_.front());
    waiting_.pop_front();
    Start(now, work, out);
  }
}

void UpstreamModel::Advance(MonoTime now, UpstreamOutput* out) {
  if (collapsed_until_ <= now) {
    StartWaiting(now, out);
  }
  while (!running_.empty() && running_.begin()->first <= now && !out->crashed) {
    const auto first = running_.begin();
    const MonoTime end = first->first;
    const Running running = std::move(first->second);
    running_.erase(first);
    Finish(end, running);
    StartWaiting(end, out);
    CountInFlight(end);
  }
  while (!outbox_.empty() && outbox_.begin()->first <= now) {
    out->answers.push_back(outbox_.begin()->second);
    outbox_.erase(outbox_.begin());
  }
}

std::optional<MonoTime> UpstreamModel::next_event() const {
  std::optional<MonoTime> next;
  const auto consider = [&](MonoTime time) { next = next ? std::min(*next, time) : time; };
  if (!running_.empty()) {
    consider(running_.begin()->first);
  }
  if (!outbox_.empty()) {
    consider(outbox_.begin()->first);
  }
  if (!waiting_.empty() && running_.empty()) {
    consider(collapsed_until_);
  }
  return next;
}

void UpstreamModel::Cancel(MonoTime now, uint64_t token) {
  const auto waits = std::find_if(waiting_.begin(), waiting_.end(),
                                  [&](const UpstreamWork& work) { return work.token == token; });
  if (waits != waiting_.end()) {
    waiting_.erase(waits);
    ++ledger_->Tally(settings_.id).cancelled;
    CountInFlight(now);
  }
}

void UpstreamModel::Restart(MonoTime now) {
  for (const auto& [end, running] : running_) {
    if (!running.work.probe) {
      ledger_->End(now, running.work.request_id, running.run, false);
    }
  }
  running_.clear();
  waiting_.clear();
  outbox_.clear();
  history_.clear();
  ++generation_;
  ++ledger_->Tally(settings_.id).crashes;
  cold_ = true;
  reports_cold_ = true;
  served_cold_ = 0;
  draining = false;
  collapsed_until_ = MonoTime();
}

void UpstreamModel::ChillSilently() {
  cold_ = true;
  reports_cold_ = false;
  served_cold_ = 0;
}

LoadReport UpstreamModel::Report(MonoTime now) {
  LoadReport report;
  report.in_flight = calls_in_flight();
  if (settings_.report_fixed >= 0) {
    report.in_flight = settings_.report_fixed;
  } else if (settings_.report_lag > Duration::zero()) {
    report.in_flight = 0;
    for (const auto& [time, count] : history_) {
      if (time <= now - settings_.report_lag) {
        report.in_flight = count;
      }
    }
  }
  report.slots = settings_.slots;
  report.state = draining        ? EndpointState::kDraining
                 : reports_cold_ ? EndpointState::kCold
                                 : EndpointState::kWarm;
  report.instance = InstanceId(settings_.id + "." + std::to_string(generation_));
  return report;
}

}  // namespace jd
