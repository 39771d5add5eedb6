#include "control/operator_client.h"

#include <event2/event.h>

#include <optional>
#include <stdexcept>
#include <utility>
#include <variant>

#include "gateway/frame_link.h"
#include "net/libevent_ptr.h"
#include "rpc/convert.h"

namespace jd {
namespace {

OperatorReply MakeFailureReply(OperatorStatus status, const char* text) {
  OperatorReply reply;
  reply.status = status;
  reply.body = std::string(R"({"error":")") + text + R"("})";
  return reply;
}

std::optional<OperatorReply> DecodeReply(const wire::Envelope& envelope) {
  try {
    ReceivedMessage message = FromEnvelope(envelope);
    if (auto* reply = std::get_if<OperatorReply>(&message)) {
      return std::move(*reply);
    }
  } catch (const FrameError&) {
    return std::nullopt;  // Treated like a missing reply.
  }
  return std::nullopt;
}

}  // namespace

OperatorReply CallOperator(const OperatorTarget& target,
                           OperatorRequest request,
                           Duration timeout) {
  const LibeventPtr<event_base> base(event_base_new());
  std::optional<FrameLink> link;
  try {
    link.emplace(base.get(), target.address, target.port);
  } catch (const std::runtime_error&) {
    return MakeFailureReply(OperatorStatus::kRefused,
                            "the gateway's address is not an IPv4 address");
  }
  request.id = 1;
  request.timeout = timeout;
  std::optional<OperatorReply> reply;
  bool closed = false;
  link->envelope_received().connect([&](const wire::Envelope& envelope) {
    // DecodeReply catches FrameError: an exception must not pass through the event loop, which is C
    // code.
    if (std::optional<OperatorReply> decoded = DecodeReply(envelope)) {
      reply = std::move(decoded);
      event_base_loopbreak(base.get());
    }
  });
  link->closed().connect([&] {
    closed = true;
    event_base_loopbreak(base.get());
  });
  link->Send(EncodeFrame(ToEnvelope(request, target.key)));
  const timeval limit{timeout.count() / 1'000'000, timeout.count() % 1'000'000};
  event_base_loopexit(base.get(), &limit);
  event_base_dispatch(base.get());
  if (reply) {
    return *reply;
  }
  if (!link->connected()) {
    return MakeFailureReply(OperatorStatus::kRefused, "the gateway could not be reached");
  }
  return MakeFailureReply(
      OperatorStatus::kUnknown,
      closed ? "the gateway closed the connection; check the shared key, and check "
               "with 'config log' whether a change was recorded"
             : "no reply within the timeout; the command may have taken effect");
}

}  // namespace jd
