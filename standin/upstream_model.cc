#include "standin/upstream_model.h"

#include <algorithm>

namespace jd {

UpstreamModel::UpstreamModel(EndpointSettings settings, uint64_t seed, RunLedger* ledger)
    : settings_(std::move(settings)),
      random_(seed),
      ledger_(ledger),
      cold_(settings_.cold),
      reports_cold_(settings_.cold) {
  ledger_->endpoint_counters(settings_.id).zone = settings_.zone;
}

int32_t UpstreamModel::calls_in_flight() const {
  const auto is_running_call = [](const auto& entry) { return !entry.second.job.probe; };
  const auto is_waiting_call = [](const UpstreamJob& job) { return !job.probe; };
  return static_cast<int32_t>(std::count_if(running_.begin(), running_.end(), is_running_call) +
                              std::count_if(waiting_.begin(), waiting_.end(), is_waiting_call));
}

void UpstreamModel::RecordInFlight(MonoTime now) {
  const int32_t calls = calls_in_flight();
  EndpointCounters& counters = ledger_->endpoint_counters(settings_.id);
  counters.max_in_flight = std::max(counters.max_in_flight, calls);
  if (cold_) {
    counters.max_in_flight_cold = std::max(counters.max_in_flight_cold, calls);
    if (calls > settings_.cold_bound && collapsed_until_ <= now) {
      Collapse(now);
    }
  }
  in_flight_history_.emplace_back(now, calls);
  while (in_flight_history_.size() > 1 &&
         in_flight_history_[1].first <= now - settings_.report_lag) {
    in_flight_history_.pop_front();
  }
}

void UpstreamModel::Collapse(MonoTime now) {
  ++ledger_->endpoint_counters(settings_.id).overloads;
  collapsed_until_ = now + settings_.collapse_time;
  std::multimap<MonoTime, RunningJob> delayed;
  for (auto& [end, running] : running_) {
    delayed.emplace(end + settings_.collapse_time, std::move(running));
  }
  running_ = std::move(delayed);
}

Duration UpstreamModel::SampleServiceTime(const UpstreamJob& job) {
  Duration time = job.probe ? settings_.probe_cost : settings_.service_time.Sample(random_);
  time = Scale(time, slow_factor * (cold_ ? settings_.cold_factor : 1.0));
  return job.new_connection ? time + settings_.connect_cost : time;
}

void UpstreamModel::RefuseJob(const UpstreamJob& job, UpstreamOutput* out) {
  ++ledger_->endpoint_counters(settings_.id).refused;
  out->answers.push_back(UpstreamAnswer{job.token, 503, true});
}

void UpstreamModel::FailJob(MonoTime now, const UpstreamJob& job, UpstreamOutput* out) {
  if (!job.probe) {
    const size_t run =
        ledger_->Start(now, job.request_id, LedgerRun{settings_.id, job.method, now, now});
    ledger_->End(now, job.request_id, run, false);
  }
  out->answers.push_back(UpstreamAnswer{job.token, 500, false});
}

void UpstreamModel::Submit(MonoTime now, const UpstreamJob& job, UpstreamOutput* out) {
  Advance(now, out);
  if (fail_fast) {
    FailJob(now, job, out);
    return;
  }
  const bool free_slot = static_cast<int32_t>(running_.size()) < usable_slots() &&
                         waiting_.empty() && collapsed_until_ <= now;
  if (free_slot) {
    StartJob(now, job, out);
  } else if (!job.probe &&
             (settings_.shed || static_cast<int32_t>(waiting_.size()) >= settings_.queue_limit)) {
    RefuseJob(job, out);
  } else {
    waiting_.push_back(job);
  }
  RecordInFlight(now);
}

void UpstreamModel::StartJob(MonoTime now, const UpstreamJob& job, UpstreamOutput* out) {
  if (job.deadline && *job.deadline <= now) {
    RefuseJob(job, out);
    return;
  }
  RunningJob running{job, 0, now};
  if (!job.probe) {
    running.run =
        ledger_->Start(now, job.request_id, LedgerRun{settings_.id, job.method, now, now});
  }
  if (job.crash) {
    running_.emplace(now, std::move(running));
    out->crashed = true;
    return;
  }
  running_.emplace(now + SampleServiceTime(job), std::move(running));
}

void UpstreamModel::FinishJob(MonoTime now, const RunningJob& running) {
  EndpointCounters& counters = ledger_->endpoint_counters(settings_.id);
  if (running.job.probe) {
    ++counters.probes;
    counters.probe_us += (now - running.start).count();
  } else {
    ledger_->End(now, running.job.request_id, running.run, true);
  }
  if (cold_ && !running.job.probe && ++calls_served_cold_ >= settings_.warm_after) {
    cold_ = false;
    reports_cold_ = false;
  }
  delayed_answers_.emplace(now + settings_.zone_delay,
                           UpstreamAnswer{running.job.token, 200, false});
}

void UpstreamModel::StartWaitingJobs(MonoTime now, UpstreamOutput* out) {
  while (!waiting_.empty() && collapsed_until_ <= now && !out->crashed &&
         static_cast<int32_t>(running_.size()) < usable_slots()) {
    const UpstreamJob job = std::move(waiting_.front());
    waiting_.pop_front();
    StartJob(now, job, out);
  }
}

void UpstreamModel::Advance(MonoTime now, UpstreamOutput* out) {
  if (collapsed_until_ <= now) {
    StartWaitingJobs(now, out);
  }
  while (!running_.empty() && running_.begin()->first <= now && !out->crashed) {
    const auto first = running_.begin();
    const MonoTime end = first->first;
    const RunningJob running = std::move(first->second);
    running_.erase(first);
    FinishJob(end, running);
    StartWaitingJobs(end, out);
    RecordInFlight(end);
  }
  while (!delayed_answers_.empty() && delayed_answers_.begin()->first <= now) {
    out->answers.push_back(delayed_answers_.begin()->second);
    delayed_answers_.erase(delayed_answers_.begin());
  }
}

std::optional<MonoTime> UpstreamModel::next_event() const {
  std::optional<MonoTime> next;
  const auto consider = [&](MonoTime time) { next = next ? std::min(*next, time) : time; };
  if (!running_.empty()) {
    consider(running_.begin()->first);
  }
  if (!delayed_answers_.empty()) {
    consider(delayed_answers_.begin()->first);
  }
  if (!waiting_.empty() && running_.empty()) {
    consider(collapsed_until_);
  }
  return next;
}

void UpstreamModel::Cancel(MonoTime now, uint64_t token) {
  const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                  [&](const UpstreamJob& job) { return job.token == token; });
  if (found != waiting_.end()) {
    waiting_.erase(found);
    ++ledger_->endpoint_counters(settings_.id).cancelled;
    RecordInFlight(now);
  }
}

void UpstreamModel::Restart(MonoTime now) {
  for (const auto& [end, running] : running_) {
    if (!running.job.probe) {
      ledger_->End(now, running.job.request_id, running.run, false);
    }
  }
  running_.clear();
  waiting_.clear();
  delayed_answers_.clear();
  in_flight_history_.clear();
  ++instance_number_;
  ++ledger_->endpoint_counters(settings_.id).crashes;
  cold_ = true;
  reports_cold_ = true;
  calls_served_cold_ = 0;
  draining = false;
  collapsed_until_ = MonoTime();
}

void UpstreamModel::SetColdUnreported() {
  cold_ = true;
  reports_cold_ = false;
  calls_served_cold_ = 0;
}

LoadReport UpstreamModel::Report(MonoTime now) {
  LoadReport report;
  report.in_flight = calls_in_flight();
  if (settings_.report_fixed >= 0) {
    report.in_flight = settings_.report_fixed;
  } else if (settings_.report_lag > Duration::zero()) {
    report.in_flight = 0;
    for (const auto& [time, count] : in_flight_history_) {
      if (time <= now - settings_.report_lag) {
        report.in_flight = count;
      }
    }
  }
  report.slots = settings_.slots;
  report.state = draining        ? EndpointState::kDraining
                 : reports_cold_ ? EndpointState::kCold
                                 : EndpointState::kWarm;
  report.instance = InstanceId(settings_.id + "." + std::to_string(instance_number_));
  return report;
}

}  // namespace jd
