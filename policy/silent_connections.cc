#include "policy/silent_connections.h"

#include <algorithm>

namespace jd {
namespace {

/// Number of recent answers kept per endpoint, enough for one answer from each of its connections.
constexpr size_t kMaxAnswers = 256;

/// Within this time after CloseConnections the event loop reports the attempts on the closed
/// connections as lost.
constexpr Duration kCloseReported = 1s;

}  // namespace

void SilentConnections::OnAnswered(MonoTime now,
                                   const EndpointId& endpoint,
                                   MonoTime connection_opened,
                                   Duration latency) {
  Answered& answered = answers_[endpoint];
  auto& latest = answered.latest;
  answered.latency = latest.empty() ? latency : (answered.latency * 7 + latency) / 8;
  while (!latest.empty() && latest.back().opened >= connection_opened) {
    latest.pop_back();
  }
  latest.push_back({now, connection_opened});
  if (latest.size() > kMaxAnswers) {
    latest.pop_front();
  }
}

bool SilentConnections::OnSilent(MonoTime now, const SilentAttempt& attempt, CallActions* actions) {
  const auto found = answers_.find(attempt.endpoint);
  if (found == answers_.end()) {
    return attempt.new_connection;
  }
  const auto& latest = found->second.latest;
  const Duration min_wait = found->second.latency * kMinWaitFactor;
  if (now - attempt.sent < min_wait) {
    return false;
  }
  // The entries are sorted by opening time, so the first answer received since the attempt was sent
  // came on the oldest connection that has answered since.
  const auto since = std::find_if(latest.begin(), latest.end(),
                                  [&](const Answer& answer) { return answer.at >= attempt.sent; });
  const MonoTime before = since == latest.end() ? latest.back().opened : since->opened;
  if (attempt.connection_opened < before) {
    actions->push_back(CloseConnections{attempt.endpoint, before, now - min_wait});
    found->second.closed_at = now;
    found->second.closed_before = before;
    found->second.sent_before = now - min_wait;
  }
  return attempt.new_connection;
}

bool SilentConnections::ClosedHere(MonoTime now,
                                   const EndpointId& endpoint,
                                   MonoTime connection_opened,
                                   MonoTime sent) const {
  const auto found = answers_.find(endpoint);
  return found != answers_.end() && connection_opened < found->second.closed_before &&
         sent < found->second.sent_before && now - found->second.closed_at <= kCloseReported;
}

}  // namespace jd
