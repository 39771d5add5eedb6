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
  round.deadline = now + no_answer_timeout();
  round.pending.insert(candidates.begin(), candidates.end());
  for (const EndpointId& endpoint : candidates) {
    calls_by_endpoint_[endpoint].insert(call);
  }
  deadlines_.emplace(round.deadline, call);
  rounds_.emplace(call, std::move(round));
}

void ProbeRounds::RecordLatency(Duration latency) {
  smoothed_latency_ = smoothed_latency_ == Duration(0)
                          ? latency
                          : smoothed_latency_ + Scale(latency - smoothed_latency_, kLatencyWeight);
}

Duration ProbeRounds::no_answer_timeout() const {
  if (smoothed_latency_ == Duration(0)) {
    return kMaxNoAnswerTimeout;
  }
  return std::clamp(smoothed_latency_ * kNoAnswerTimeoutFactor, kMinNoAnswerTimeout,
                    kMaxNoAnswerTimeout);
}

std::vector<CallId> ProbeRounds::OnProbeResult(const EndpointId& endpoint,
                                               bool answered,
                                               bool sufficient) {
  std::vector<CallId> complete;
  const auto calls = calls_by_endpoint_.extract(endpoint);
  if (calls.empty()) {
    return complete;
  }
  for (const CallId call : calls.mapped()) {
    Round& round = rounds_.at(call);
    round.pending.erase(endpoint);
    if (sufficient || round.pending.empty()) {
      complete.push_back(call);
    } else if (answered) {
      SetDeadline(call, &round, std::min(round.deadline, round.started + kMaxWaitAfterAnswer));
    }
  }
  for (const CallId call : complete) {
    Remove(call);
  }
  return complete;
}

std::vector<CallId> ProbeRounds::TakeExpired(MonoTime now) {
  std::vector<CallId> expired;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    expired.push_back(deadlines_.begin()->second);
    Remove(expired.back());
  }
  return expired;
}

void ProbeRounds::Remove(CallId call) {
  const auto round = rounds_.extract(call);
  if (round.empty()) {
    return;
  }
  deadlines_.erase({round.mapped().deadline, call});
  for (const EndpointId& endpoint : round.mapped().pending) {
    const auto calls = calls_by_endpoint_.find(endpoint);
    if (calls != calls_by_endpoint_.end()) {
      calls->second.erase(call);
      if (calls->second.empty()) {
        calls_by_endpoint_.erase(calls);
      }
    }
  }
}

std::optional<MonoTime> ProbeRounds::next_timer() const {
  return deadlines_.empty() ? std::nullopt : std::optional(deadlines_.begin()->first);
}

void ProbeRounds::SetDeadline(CallId call, Round* round, MonoTime deadline) {
  deadlines_.erase({round->deadline, call});
  round->deadline = deadline;
  deadlines_.emplace(deadline, call);
}

}  // namespace jd
