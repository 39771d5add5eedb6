#include "policy/probe_rounds.h"

#include <algorithm>
#include <utility>

namespace jd {
namespace {

// Weight of the latest latency in the exponential moving average.
constexpr double kLatencyWeight = 0.05;

}  // namespace

void ProbeRounds::Start(MonoTime now, CallId call, const std::vector<EndpointId>& candidates) {
  Remove(call);
  Round round;
  round.started = now;
  round.due = now + give_up();
  round.awaited.insert(candidates.begin(), candidates.end());
  for (const EndpointId& endpoint : candidates) {
    waiting_[endpoint].insert(call);
  }
  timers_.emplace(round.due, call);
  rounds_.emplace(call, std::move(round));
}

void ProbeRounds::OnLatency(Duration latency) {
  latency_ =
      latency_ == Duration(0) ? latency : latency_ + Scale(latency - latency_, kLatencyWeight);
}

Duration ProbeRounds::give_up() const {
  if (latency_ == Duration(0)) {
    return kGreatestGiveUp;
  }
  return std::clamp(latency_ * kGiveUpFactor, kLeastGiveUp, kGreatestGiveUp);
}

std::vector<CallId> ProbeRounds::OnProbe(const EndpointId& endpoint, bool answered, bool decides) {
  std::vector<CallId> complete;
  const auto waiting = waiting_.extract(endpoint);
  if (waiting.empty()) {
    return complete;
  }
  for (const CallId call : waiting.mapped()) {
    Round& round = rounds_.at(call);
    round.awaited.erase(endpoint);
    if (decides || round.awaited.empty()) {
      complete.push_back(call);
    } else if (answered) {
      Reschedule(call, &round, std::min(round.due, round.started + kPatience));
    }
  }
  for (const CallId call : complete) {
    Remove(call);
  }
  return complete;
}

std::vector<CallId> ProbeRounds::TakeDue(MonoTime now) {
  std::vector<CallId> due;
  while (!timers_.empty() && timers_.begin()->first <= now) {
    due.push_back(timers_.begin()->second);
    Remove(due.back());
  }
  return due;
}

void ProbeRounds::Remove(CallId call) {
  const auto round = rounds_.extract(call);
  if (round.empty()) {
    return;
  }
  timers_.erase({round.mapped().due, call});
  for (const EndpointId& endpoint : round.mapped().awaited) {
    const auto waiting = waiting_.find(endpoint);
    if (waiting != waiting_.end()) {
      waiting->second.erase(call);
      if (waiting->second.empty()) {
        waiting_.erase(waiting);
      }
    }
  }
}

std::optional<MonoTime> ProbeRounds::next_timer() const {
  return timers_.empty() ? std::nullopt : std::optional(timers_.begin()->first);
}

void ProbeRounds::Reschedule(CallId call, Round* round, MonoTime due) {
  timers_.erase({round->due, call});
  round->due = due;
  timers_.emplace(due, call);
}

}  // namespace jd
