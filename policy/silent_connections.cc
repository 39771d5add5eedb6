#include "policy/silent_connections.h"

#include <algorithm>

namespace jd {
namespace {

/// Number of recent answers kept per endpoint, enough for one answer from each of its connections.
constexpr size_t kMaxAnswers = 256;

/// Within this time after CloseConnections the event loop reports the attempts on the closed
/// connections as lost.
constexpr Duration kMaxCloseReportDelay = 1s;

}  // namespace

void SilentConnections::OnAnswered(MonoTime now,
                                   const EndpointId& endpoint,
                                   MonoTime connection_opened,
                                   Duration latency) {
  EndpointAnswers& answers = endpoints_[endpoint];
  auto& recent = answers.recent;
  answers.smoothed_latency =
      recent.empty() ? latency : (answers.smoothed_latency * 7 + latency) / 8;
  while (!recent.empty() && recent.back().connection_opened >= connection_opened) {
    recent.pop_back();
  }
  recent.push_back({now, connection_opened});
  if (recent.size() > kMaxAnswers) {
    recent.pop_front();
  }
}

bool SilentConnections::OnSilentAttempt(MonoTime now,
                                        const SilentAttempt& attempt,
                                        CallActions* actions) {
  const auto found = endpoints_.find(attempt.endpoint);
  if (found == endpoints_.end()) {
    return attempt.new_connection;
  }
  const auto& recent = found->second.recent;
  const Duration min_silence = found->second.smoothed_latency * kMinSilenceFactor;
  if (now - attempt.sent_at < min_silence) {
    return false;
  }
  // The entries are sorted by opening time, so the first answer received since the attempt was sent
  // came on the oldest connection that has answered since.
  const auto first_since = std::find_if(recent.begin(), recent.end(), [&](const Answer& answer) {
    return answer.received_at >= attempt.sent_at;
  });
  const MonoTime opened_before = first_since == recent.end() ? recent.back().connection_opened
                                                             : first_since->connection_opened;
  if (attempt.connection_opened < opened_before) {
    actions->push_back(CloseConnections{attempt.endpoint, opened_before, now - min_silence});
    found->second.closed_at = now;
    found->second.opened_before = opened_before;
    found->second.sent_before = now - min_silence;
  }
  return attempt.new_connection;
}

bool SilentConnections::ClosedByGateway(MonoTime now,
                                        const EndpointId& endpoint,
                                        MonoTime connection_opened,
                                        MonoTime sent_at) const {
  const auto found = endpoints_.find(endpoint);
  return found != endpoints_.end() && connection_opened < found->second.opened_before &&
         sent_at < found->second.sent_before &&
         now - found->second.closed_at <= kMaxCloseReportDelay;
}

}  // namespace jd
