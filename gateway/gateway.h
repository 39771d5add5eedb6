#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cluster/node.h"
#include "gateway/caller_server.h"
#include "gateway/http_dialect.h"
#include "gateway/metrics.h"
#include "gateway/peer_links.h"
#include "gateway/platform_client.h"
#include "gateway/settings.h"
#include "gateway/status_server.h"
#include "gateway/upstream_pool.h"
#include "net/event_loop.h"

namespace jd {

/// One gateway process: passes every event to the node with the present time and carries out the
/// node's actions.
class Gateway : public sigc::trackable {
 public:
  /// Opens the ports for callers and status.
  /// @param peer_port the port that peers are told; the links to peers are a part of their own.
  /// @throws std::runtime_error if a port cannot be opened.
  /// @param dialect outlives the gateway.
  Gateway(EventLoop* loop,
          const Settings& settings,
          uint16_t peer_port,
          const HttpDialect* dialect);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start();
  /// Begins a graceful stop; a second call changes nothing.
  void Stop();
  /// The graceful stop is complete and the process may exit.
  sigc::signal<void()>& stopped() { return stopped_; }

  // The links to peers and operators are connected to these.
  sigc::signal<void(const SendPeerMessage&)>& send_peer() { return send_peer_; }
  sigc::signal<void(const SetPeerAddress&)>& set_peer_address() { return set_peer_address_; }
  sigc::signal<void(const OperatorReply&)>& operator_reply() { return operator_reply_; }
  /// Takes in what operators and upstreams have written to the platform's store.
  void OnDiscovery(const DiscoveryUpdate& update);
  /// Tells the peers what this gateway read of a table.
  void OnTableRead(const TableNews& news);
  /// A peer told what it read of a table.
  sigc::signal<void(const TableNews&)>& table_news() { return table_news_; }
  void OnPeerMessage(const PeerMessage& message);
  void OnOperatorRequest(const OperatorRequest& request);
  /// Sets where the metrics page takes the counters of the peer links from.
  void SetPeerTraffic(std::function<PeerLinks::Traffic()> traffic) {
    peer_traffic_ = std::move(traffic);
  }

  uint16_t caller_port() const { return callers_.port(); }
  uint16_t status_port() const { return status_.port(); }
  /// The balancer may send calls here.
  bool ready() const { return node_.ready() && !stopping_; }

 private:
  /// What the loop keeps of a call until it ends.
  struct Call {
    RequestId request;
    WorkspaceId workspace;
    MonoTime arrived;
    int running = 0;            ///< Attempts under way.
    MonoTime running_since;     ///< When the first of them started.
    Duration upstream_time{0};  ///< Time in which an attempt ran.
    UpstreamRequest upstream;
    std::vector<std::pair<AttemptId, HttpRequestPtr>> responses;
  };

  /// Passes one event to the node and carries out what it decides.
  /// @param event called as event(Now, NodeActions*).
  template <typename Event>
  void Drive(Event event) {
    NodeActions actions;
    event(loop_->ReadClocks(), &actions);
    ScheduleTurnEnd();
    Execute(&actions);
  }

  void Execute(NodeActions* actions);
  void TakeConfiguration();
  void OnCall(const CallRequest& arrived);
  void OnCallerGone(CallId call);
  void OnAttemptEnded(const AttemptResult& result, HttpRequestPtr& response);
  void ScheduleTimer();
  void ScheduleTurnEnd();
  void FinishIfDrained();
  void BeginRefusing();
  /// Ends a call. @return nothing if its caller has left.
  std::optional<Call> TakeCall(CallId call, CallEnd end);
  std::string RequestKey(const CallRequest& request) const;
  GatewayLevels levels() const;

  void Do(const SendAttempt& action);
  void Do(const CancelAttempt& action);
  void Do(const AnswerCall& action);
  void Do(const RefuseCall& action);
  void Do(const CloseConnections& action);
  void Do(const SendPeerMessage& action);
  void Do(const SetPeerAddress& action);
  void Do(const CallTable& action);
  void Do(const FetchVmList& action);
  void Do(const SendProbe& action);
  void Do(const ReplayCall& action);
  void Do(const ApplyTableUpdate& action);
  void Do(const WriteLog& action);
  void Do(const SendOperatorReply& action);

  EventLoop* loop_;
  Settings settings_;
  const HttpDialect* dialect_;
  Node node_;
  Metrics metrics_;
  CallerServer callers_;
  UpstreamPool upstreams_;
  StatusServer status_;
  std::unique_ptr<PlatformClient> platform_;  ///< Null without a platform.
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
  Timer turn_timer_;
  bool turn_scheduled_ = false;
  std::function<PeerLinks::Traffic()> peer_traffic_;
  sigc::signal<void()> stopped_;
  sigc::signal<void(const SendPeerMessage&)> send_peer_;
  sigc::signal<void(const SetPeerAddress&)> set_peer_address_;
  sigc::signal<void(const OperatorReply&)> operator_reply_;
  sigc::signal<void(const TableNews&)> table_news_;
};

}  // namespace jd
