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

/// Connects the decisions of the node to the outside of the process. Passes every event (calls,
/// results of attempts, timers, messages from peers) to the node together with the current time and
/// executes the actions that the node returns.
class Gateway : public sigc::trackable {
 public:
  /// Opens the ports for callers and for the status pages.
  /// @param peer_port the port that is announced to peers. The class PeerLinks opens it and manages
  ///     the connections to peers.
  /// @param dialect must outlive the gateway.
  /// @throws ListenError if a port cannot be opened.
  Gateway(EventLoop* loop,
          const Settings& settings,
          uint16_t peer_port,
          const HttpDialect* dialect);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start();
  /// Begins a graceful stop; further calls have no effect.
  void Stop();
  /// Emitted when the graceful stop is complete and the process may exit.
  sigc::signal<void()>& stopped() { return stopped_; }

  // Messages for peers and replies to operators. The owner of the gateway connects these signals to
  // PeerLinks.
  sigc::signal<void(const SendPeerMessage&)>& send_peer_message() { return send_peer_message_; }
  sigc::signal<void(const SetPeerAddress&)>& set_peer_address() { return set_peer_address_; }
  sigc::signal<void(const ReplacePeerConnection&)>& replace_peer_connection() {
    return replace_peer_connection_;
  }
  sigc::signal<void(const OperatorReply&)>& operator_reply() { return operator_reply_; }
  /// Updates the node with what operators and upstreams have written to the platform's store.
  void OnDiscovery(const DiscoveryUpdate& update);
  /// Emitted when the status row of a roll-out must be written.
  sigc::signal<void(const RolloutStatusWrite&)>& rollout_status_write() {
    return rollout_status_write_;
  }
  /// Passes the result of the write on to the node.
  void OnRolloutWriteResult(const RolloutWriteResult& result);
  /// Sends the rows that this gateway read from a table to the peers.
  void OnTableRead(const TableUpdate& update);
  /// Asks a peer for the list of gateways and its tables, see Node::RequestTables.
  void RequestTables(const std::optional<GatewayId>& peer, const TableFetch& fetch);
  /// Sends a table to one peer.
  void SendTable(const GatewayId& peer, const TableUpdate& update);
  /// Emitted when a peer has asked for the tables of this gateway.
  sigc::signal<void(const GatewayId&, const TableFetch&)>& table_fetch_received() {
    return table_fetch_received_;
  }
  /// Emitted when a peer has sent the rows that it read from a table.
  sigc::signal<void(const TableUpdate&)>& table_update_received() { return table_update_received_; }
  void OnPeerMessage(const PeerMessage& message);
  void OnOperatorRequest(const OperatorRequest& request);
  /// Sets the function that returns the counters of the peer links for the metrics page.
  void SetPeerTrafficSource(std::function<PeerLinks::Traffic()> source) {
    peer_traffic_source_ = std::move(source);
  }

  uint16_t caller_port() const { return callers_.port(); }
  uint16_t status_port() const { return status_.port(); }
  /// Returns whether the platform's balancer may send calls to this gateway.
  bool ready() const { return node_.ready() && !stopping_; }

 private:
  /// A call that has not ended yet.
  struct Call {
    RequestId request_id;
    WorkspaceId workspace;
    MonoTime arrived;
    int running_attempts = 0;   ///< Number of running attempts.
    MonoTime running_since;     ///< When `running_attempts` last rose from 0.
    Duration upstream_time{0};  ///< Time during which at least one attempt ran.
    UpstreamRequest upstream_request;
    std::vector<std::pair<AttemptId, HttpResponsePtr>> responses;  ///< Complete responses.
  };

  /// Passes one event to the node and executes the actions that the node returns.
  /// @param event called as event(Now, NodeActions*); passes the event to the node.
  template <typename Event>
  void NotifyNode(Event event) {
    NodeActions actions;
    event(loop_->ReadClocks(), &actions);
    ScheduleIterationEnd();
    ExecuteActions(&actions);
  }

  /// Appends the actions to the queue and executes the queue, unless a caller further up the stack
  /// is executing it already. Moves the actions out of `actions`.
  void ExecuteActions(NodeActions* actions);
  /// Applies the node's current configuration to the connections, the limits and the metrics.
  void ApplyConfiguration();
  void OnCall(const CallRequest& arrived);
  void OnCallerGone(CallId call);
  void OnAttemptEnded(const AttemptResult& result, HttpResponsePtr& response);
  void ScheduleNodeTimer();
  /// Schedules a call of Node::OnLoopIterationEnd after the events of the current iteration of the
  /// event loop.
  void ScheduleIterationEnd();
  /// Closes the port for callers and the connections if the gateway is stopping and all calls and
  /// answers are complete. The signal `stopped` follows.
  void FinishIfDrained();
  /// Ends the grace period of a graceful stop: refuses new calls and closes idle connections.
  void BeginRefusing();
  /// Removes a call and counts how it ended.
  /// @return the call, or nothing if it has been removed because its caller disconnected.
  std::optional<Call> EndCall(CallId call, CallOutcome outcome);
  /// Returns the value of the profile's request key header, or an empty string if the configuration
  /// or the request has none.
  std::string RequestKey(const CallRequest& request) const;
  /// Returns the current values of the gauges on the metrics page.
  GaugeValues gauge_values() const;

  // Each of these functions executes one action of the node.
  void ExecuteAction(const SendAttempt& action);
  void ExecuteAction(const CancelAttempt& action);
  void ExecuteAction(const AnswerCall& action);
  void ExecuteAction(const RefuseCall& action);
  void ExecuteAction(const CloseConnections& action);
  void ExecuteAction(const SendPeerMessage& action);
  void ExecuteAction(const SetPeerAddress& action);
  void ExecuteAction(const ReplacePeerConnection& action);
  void ExecuteAction(const CallTable& action);
  void ExecuteAction(const FetchVmList& action);
  void ExecuteAction(const SendProbe& action);
  void ExecuteAction(const ReplayCall& action);
  void ExecuteAction(const ApplyTableUpdate& action);
  void ExecuteAction(const ServeTableFetch& action);
  void ExecuteAction(const WriteRolloutStatus& action);
  void ExecuteAction(const WriteLog& action);
  void ExecuteAction(const SendOperatorReply& action);

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
  std::unordered_map<AttemptId, CallId> attempts_;  ///< Running attempts.
  std::deque<NodeAction> pending_actions_;
  bool executing_ = false;
  bool stopping_ = false;  ///< Stop was called.
  bool refusing_ = false;  ///< The grace period is over and the gateway is not drained yet.
  Timer node_timer_;
  std::optional<MonoTime> node_timer_due_;  ///< When node_timer_ fires.
  Timer grace_timer_;
  Timer iteration_end_timer_;
  bool iteration_end_scheduled_ = false;
  std::function<PeerLinks::Traffic()> peer_traffic_source_;
  sigc::signal<void()> stopped_;
  sigc::signal<void(const SendPeerMessage&)> send_peer_message_;
  sigc::signal<void(const SetPeerAddress&)> set_peer_address_;
  sigc::signal<void(const ReplacePeerConnection&)> replace_peer_connection_;
  sigc::signal<void(const OperatorReply&)> operator_reply_;
  sigc::signal<void(const TableUpdate&)> table_update_received_;
  sigc::signal<void(const RolloutStatusWrite&)> rollout_status_write_;
  sigc::signal<void(const GatewayId&, const TableFetch&)> table_fetch_received_;
};

}  // namespace jd
