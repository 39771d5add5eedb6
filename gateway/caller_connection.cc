#include "gateway/caller_connection.h"

#include <algorithm>

#include "gateway/caller_response.h"

namespace jd {

PipelinedCall* CallerConnection::FindRunning(CallId id) {
  const auto found = std::find_if(calls.begin(), calls.end(), [id](const auto& call) {
    return call->state == PipelinedCall::State::kRunning && call->call.id == id;
  });
  return found == calls.end() ? nullptr : found->get();
}

PipelinedCall* CallerConnection::NextToStart(const IsIdempotent& is_idempotent) {
  bool unanswered = false;  // A call before the current one is not answered.
  bool overtakable = true;  // All calls before the current one that are not answered may run again.
  for (const auto& call : calls) {
    if (call->state == PipelinedCall::State::kAnswered) {
      continue;
    }
    if (call->state == PipelinedCall::State::kWaiting) {
      const bool may_start =
          !unanswered || (overtakable && is_idempotent && is_idempotent(call->call));
      return may_start ? call.get() : nullptr;
    }
    unanswered = true;
    overtakable = overtakable && is_idempotent && is_idempotent(call->call);
  }
  return nullptr;
}

bool CallerConnection::MayReadNext() const {
  return state != CallerState::kStopped && calls.size() < kMaxPipelinedCalls &&
         std::none_of(calls.begin(), calls.end(), [](const auto& call) {
           return call->state == PipelinedCall::State::kWaiting;
         });
}

bool CallerConnection::idle() const {
  return state == CallerState::kIdle && calls.empty() &&
         evbuffer_get_length(bufferevent_get_output(stream.get())) == 0;
}

RequestMemory::Usage CallerConnection::MemoryUsage() const {
  RequestMemory::Usage usage;
  usage.incomplete = evbuffer_get_length(bufferevent_get_input(stream.get())) +
                     (reader == nullptr ? 0 : reader->memory_bytes());
  usage.unwritten = evbuffer_get_length(bufferevent_get_output(stream.get()));
  for (const auto& call : calls) {
    usage.complete += call->request_bytes;
    usage.unwritten += call->response_bytes;
  }
  return usage;
}

}  // namespace jd
