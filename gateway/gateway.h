#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cluster/node.h"
#include "gateway/caller_server.h"
#include "gateway/event_loop.h"
#include "gateway/settings.h"
#include "gateway/upstream_pool.h"

namespace jd {

/// One gateway process: passes every event to the node with the present time and carries out the
/// node's actions.
class Gateway : public sigc::trackable {
 public:
  /// Opens all ports. @throws std::runtime_error if one cannot be opened.
  Gateway(EventLoop* loop, const Settings& settings);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start();
  /// Begins a graceful stop; a second call changes nothing.
  void Stop();
  /// The graceful stop is complete and the process may exit.
  sigc::signal<void()>& stopped() { return stopped_; }

  uint16_t caller_port() const { return callers_.port(); }

 private:
  /// What the loop keeps of a call until it ends.
  struct Call {
    RequestId request;
    MonoTime arrived;
    UpstreamRequest upstream;
    std::vector<std::pair<AttemptId, HttpRequestPtr>> responses;
  };

  /// Passes one event to the node and carries out what it decides.
  /// @param event called as event(Now, NodeActions*).
  template <typename Event>
  void Drive(Event event) {
    NodeActions actions;
    event(loop_->ReadClocks(), &actions);
    Execute(&actions);
  }

  void Execute(NodeActions* actions);
  void OnCall(const CallRequest& arrived);
  void OnCallerGone(CallId call);
  void OnAttemptEnded(const AttemptResult& result, HttpRequestPtr& response);
  void ScheduleTimer();
  void FinishIfDrained();

  void Do(const SendAttempt& action);
  void Do(const CancelAttempt& action);
  void Do(const AnswerCall& action);
  void Do(const RefuseCall& action);
  void Do(const CloseConnections& action);
  void Do(const SendPeer& action);
  void Do(const SetPeerAddress& action);
  void Do(const CallTable& action);
  void Do(const FetchVmList& action);
  void Do(const SendProbe& action);
  void Do(const ReplayCall& action);
  void Do(const SendOperatorReply& action);

  EventLoop* loop_;
  Settings settings_;
  Node node_;
  CallerServer callers_;
  UpstreamPool upstreams_;
  ConfigurationPtr configuration_;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<AttemptId, CallId> attempts_;
  std::deque<NodeAction> pending_;
  bool executing_ = false;
  bool stopping_ = false;
  bool refusing_ = false;
  Timer node_timer_;
  std::optional<MonoTime> scheduled_;
  Timer grace_timer_;
  sigc::signal<void()> stopped_;
};

}  // namespace jd
