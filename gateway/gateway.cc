#include "gateway/gateway.h"

#include <algorithm>
#include <cassert>

#include "gateway/header_rules.h"

namespace jd {
namespace {

uint64_t SeedOf(const Settings& settings) {
  return settings.seed != 0 ? static_cast<uint64_t>(settings.seed) : std::random_device()();
}

NodeSettings ToNodeSettings(const Settings& settings, const EventLoop& loop) {
  NodeSettings node;
  node.id = settings.id;
  node.zone = settings.zone;
  node.incarnation = Incarnation(static_cast<uint64_t>(Micros(loop.ReadClocks().wall)));
  node.address = settings.peers.address;
  node.peer_port = settings.peers.port;
  node.seeds = settings.seeds;
  node.policy = settings.policy;
  node.has_platform = !settings.platform.address.empty();
  node.event_capacity = static_cast<size_t>(settings.event_ring);
  node.seed = SeedOf(settings);
  return node;
}

// Headers that the gateway writes itself.
HttpHeaders UpstreamHeaders(evhttp_request* request, const RequestId& id) {
  HttpHeaders headers = EndToEndHeaders(evhttp_request_get_input_headers(request));
  std::erase_if(headers, [](const auto& header) {
    return SameHeader(header.first, "x-request-id") || SameHeader(header.first, "x-deadline-ms");
  });
  headers.emplace_back("x-request-id", id.value);
  return headers;
}

}  // namespace

Gateway::Gateway(EventLoop* loop, const Settings& settings)
    : loop_(loop),
      settings_(settings),
      node_(ToNodeSettings(settings, *loop)),
      callers_(loop, settings, SeedOf(settings)),
      upstreams_(loop, {settings.limits.header_bytes, settings.limits.response_bytes}),
      node_timer_(loop,
                  [this] {
                    scheduled_.reset();
                    Drive([this](Now now, NodeActions* out) { node_.OnTimer(now, out); });
                  }),
      grace_timer_(loop, [this] {
        refusing_ = true;
        Drive([this](Now now, NodeActions* out) { node_.OnStop(now, out); });
      }) {
  callers_.call_arrived().connect(sigc::mem_fun(*this, &Gateway::OnCall));
  callers_.caller_gone().connect(sigc::mem_fun(*this, &Gateway::OnCallerGone));
  callers_.became_quiet().connect(sigc::mem_fun(*this, &Gateway::FinishIfDrained));
  upstreams_.attempt_ended().connect(sigc::mem_fun(*this, &Gateway::OnAttemptEnded));
  upstreams_.probe_ended().connect([this](const ProbeResult& result) {
    Drive([&](Now now, NodeActions* out) { node_.OnProbeResult(now, result, out); });
  });
}

void Gateway::Start() {
  Drive([this](Now now, NodeActions* out) { node_.Start(now, settings_.configuration, out); });
}

void Gateway::Stop() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  callers_.AnnounceClose();
  grace_timer_.Schedule(settings_.grace);
}

void Gateway::FinishIfDrained() {
  if (refusing_ && node_.drained() && callers_.quiet()) {
    refusing_ = false;
    stopped_.emit();
  }
}

void Gateway::Execute(NodeActions* actions) {
  pending_.insert(pending_.end(), std::make_move_iterator(actions->begin()),
                  std::make_move_iterator(actions->end()));
  // An action may cause the next event before it returns; the outermost call does the work, so
  // that actions are carried out in the order of their decisions.
  if (executing_) {
    return;
  }
  executing_ = true;
  while (true) {
    if (node_.configuration() != configuration_) {
      configuration_ = node_.configuration();
      upstreams_.SetConfiguration(configuration_);
    }
    if (pending_.empty()) {
      break;
    }
    const NodeAction action = std::move(pending_.front());
    pending_.pop_front();
    std::visit([this](const auto& value) { Do(value); }, action);
  }
  executing_ = false;
  ScheduleTimer();
  FinishIfDrained();
}

void Gateway::ScheduleTimer() {
  const std::optional<MonoTime> next = node_.next_timer();
  // A timer that fires too early costs one look; moving it for each call would cost more.
  if (next && (!scheduled_ || *next < *scheduled_)) {
    scheduled_ = next;
    node_timer_.Schedule(*next - loop_->ReadClocks().mono);
  }
}

void Gateway::OnCall(const CallRequest& arrived) {
  CallRequest request = arrived;
  evhttp_request* http = callers_.request(request.id);
  Call call;
  call.request = request.request;
  call.arrived = loop_->ReadClocks().mono;
  call.upstream.method = evhttp_request_get_command(http);
  call.upstream.target = request.path;
  call.upstream.headers = UpstreamHeaders(http, request.request);
  call.upstream.body = evhttp_request_get_input_buffer(http);
  if (configuration_ != nullptr) {
    const auto service = configuration_->services.find(request.service);
    if (service != configuration_->services.end()) {
      const auto profile = configuration_->profiles.find(service->second.profile);
      if (profile != configuration_->profiles.end() &&
          !profile->second.request_key_header.empty()) {
        request.request_key = HeaderValue(evhttp_request_get_input_headers(http),
                                          profile->second.request_key_header.c_str());
      }
    }
  }
  calls_.emplace(request.id, std::move(call));
  Drive([&](Now now, NodeActions* out) { node_.OnCall(now, request, out); });
}

void Gateway::OnCallerGone(CallId call) {
  calls_.erase(call);
  Drive([call, this](Now now, NodeActions* out) { node_.OnCallerGone(now, call, out); });
}

void Gateway::OnAttemptEnded(const AttemptResult& result, HttpRequestPtr& response) {
  const auto attempt = attempts_.extract(result.attempt);
  if (response != nullptr && !attempt.empty()) {
    const auto call = calls_.find(attempt.mapped());
    if (call != calls_.end()) {
      call->second.responses.emplace_back(result.attempt, std::move(response));
    }
  }
  Drive([&](Now now, NodeActions* out) { node_.OnAttemptResult(now, result, out); });
}

void Gateway::Do(const SendAttempt& action) {
  const auto call = calls_.find(action.call);
  if (call == calls_.end()) {
    AttemptResult result;
    result.attempt = action.attempt;
    result.outcome = AttemptOutcome::kCancelled;
    Drive([&](Now now, NodeActions* out) { node_.OnAttemptResult(now, result, out); });
    return;
  }
  attempts_.emplace(action.attempt, action.call);
  upstreams_.Send(action, call->second.upstream);
}

void Gateway::Do(const CancelAttempt& action) {
  upstreams_.Cancel(action.attempt);
}

void Gateway::Do(const AnswerCall& action) {
  const auto call = calls_.extract(action.call);
  if (call.empty()) {
    return;
  }
  auto& responses = call.mapped().responses;
  const auto response = std::find_if(responses.begin(), responses.end(), [&](const auto& entry) {
    return entry.first == action.attempt;
  });
  assert(response != responses.end());
  callers_.Answer(action.call, call.mapped().request, response->second.get());
}

void Gateway::Do(const RefuseCall& action) {
  const auto call = calls_.extract(action.call);
  if (!call.empty()) {
    callers_.Refuse(action.call, call.mapped().request, action.refusal);
  }
}

void Gateway::Do(const ReplayCall& action) {
  if (!calls_.extract(action.call).empty()) {
    callers_.Replay(action.call, action.status, action.content_type, action.body);
  }
}

void Gateway::Do(const CloseConnections& action) {
  upstreams_.Close(action);
}

void Gateway::Do(const SendProbe& action) {
  upstreams_.Probe(action);
}

void Gateway::Do(const SendPeer&) {}
void Gateway::Do(const SetPeerAddress&) {}
void Gateway::Do(const SendOperatorReply&) {}
void Gateway::Do(const CallTable&) {}
void Gateway::Do(const FetchVmList&) {}

}  // namespace jd
