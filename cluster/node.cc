#include "cluster/node.h"

#include <utility>

namespace jd {

Node::Node(NodeSettings settings)
    : settings_(std::move(settings)), dispatcher_(settings_.zone, &policy_, settings_.seed) {}

void Node::Start(Now now, ConfigurationPtr initial, NodeActions*) {
  configuration_ = std::move(initial);
  if (configuration_ == nullptr) {
    return;
  }
  dispatcher_.SetConfiguration(now.mono, configuration_);
  for (const auto& [id, service] : configuration_->services) {
    ServiceView view;
    view.id = id;
    for (const Endpoint& endpoint : service.endpoints) {
      view.endpoints.push_back({endpoint.id, endpoint.zone, endpoint.slots, true});
    }
    policy_.SetService(now.mono, view);
  }
}

void Node::OnCall(Now now, const CallRequest& request, NodeActions* actions) {
  CallActions out;
  dispatcher_.OnCall(now.mono, request, &out);
  Append(out, actions);
}

void Node::OnCallerGone(Now now, CallId call, NodeActions* actions) {
  CallActions out;
  dispatcher_.OnCallerGone(now.mono, call, &out);
  Append(out, actions);
}

void Node::OnAttemptResult(Now now, const AttemptResult& result, NodeActions* actions) {
  CallActions out;
  dispatcher_.OnAttemptResult(now.mono, result, &out);
  Append(out, actions);
}

void Node::OnPeerMessage(Now, const PeerMessage&, NodeActions*) {}
void Node::OnTableReply(Now, uint64_t, const TableReply&, NodeActions*) {}
void Node::OnVmList(Now, const VmList&, NodeActions*) {}
void Node::OnProbeResult(Now, const ProbeResult&, NodeActions*) {}
void Node::OnOperatorRequest(Now, const OperatorRequest& request, NodeActions* actions) {
  OperatorReply reply;
  reply.id = request.id;
  reply.status = OperatorStatus::kRefused;
  reply.body = R"({"error":"unknown command"})";
  actions->push_back(SendOperatorReply{std::move(reply)});
}

void Node::OnTimer(Now now, NodeActions* actions) {
  CallActions out;
  dispatcher_.OnTimer(now.mono, &out);
  Append(out, actions);
}

void Node::OnStop(Now, NodeActions*) {
  stopping_ = true;
  dispatcher_.Stop();
}

std::optional<MonoTime> Node::next_timer() const {
  return dispatcher_.next_timer();
}

bool Node::ready() const {
  return configuration_ != nullptr && !stopping_;
}

bool Node::drained() const {
  return stopping_ && dispatcher_.calls() == 0;
}

void Node::Append(const CallActions& from, NodeActions* to) {
  for (const CallAction& action : from) {
    std::visit(
        [to](const auto& value) {
          using Value = std::decay_t<decltype(value)>;
          if constexpr (std::is_constructible_v<NodeAction, const Value&> &&
                        !std::is_same_v<Value, RecordEvent> &&
                        !std::is_same_v<Value, AnnounceCrash>) {
            to->push_back(value);
          }
        },
        action);
  }
}

}  // namespace jd
