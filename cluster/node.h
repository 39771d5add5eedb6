#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "cluster/catalog.h"
#include "cluster/endpoint_directory.h"
#include "cluster/latency_averages.h"
#include "cluster/membership.h"
#include "cluster/node_action.h"
#include "cluster/node_config.h"
#include "cluster/node_operator.h"
#include "cluster/node_settings.h"
#include "cluster/node_slots.h"
#include "cluster/node_timeline.h"
#include "cluster/probe_scheduler.h"
#include "cluster/request_claims.h"
#include "common/configuration.h"
#include "common/now.h"
#include "common/vm_list.h"
#include "policy/dispatcher.h"
#include "policy/policy_variant.h"
#include "policy/probe_result.h"

namespace jd {

/// A response as stored under its request key.
struct StoredResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// All decisions of one gateway. The event loop passes every event in with the present time and
/// carries out the actions that are appended; nothing else crosses this interface.
class Node {
 public:
  explicit Node(const NodeSettings& settings);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Starts the node; `initial` is the configuration of the settings file, or null.
  void Start(Now now, ConfigurationPtr initial, NodeActions* actions);

  void OnCall(Now now, const CallRequest& request, NodeActions* actions);
  void OnCallerGone(Now now, CallId call, NodeActions* actions);
  void OnAttemptResult(Now now, const AttemptResult& result, NodeActions* actions);
  /// The response of an AnswerCall with `keyed` set has been relayed.
  void OnCallAnswered(Now now, CallId call, const StoredResponse& response, NodeActions* actions);
  void OnPeerMessage(Now now, const PeerMessage& message, NodeActions* actions);
  void OnTableReply(Now now, uint64_t id, const TableReply& reply, NodeActions* actions);
  void OnVmList(Now now, const VmList& vms, NodeActions* actions);
  /// Takes in what operators and upstreams have written to the platform's store.
  void OnDiscovery(Now now, const DiscoveryUpdate& update, NodeActions* actions);
  /// Tells the peers what this gateway read of a table.
  void OnTableRead(Now now, const TableUpdate& news, NodeActions* actions);
  void OnProbeResult(Now now, const ProbeResult& result, NodeActions* actions);
  void OnOperatorRequest(Now now, const OperatorRequest& request, NodeActions* actions);
  void OnTimer(Now now, NodeActions* actions);
  /// Called once after the events of one turn of the loop, so that what they decided together
  /// leaves in few messages.
  void OnTurnEnd(Now now, NodeActions* actions);
  /// Begins a graceful stop: new calls are refused, calls in flight go on, slots and pools are
  /// handed over. The process may exit once drained() holds.
  void OnStop(Now now, NodeActions* actions);

  std::optional<MonoTime> next_timer() const;
  /// The platform's balancer may send calls here.
  bool ready() const;
  bool drained() const;
  /// The configuration in use, or null.
  ConfigurationPtr configuration() const { return config_.configuration(); }
  const NodeSettings& settings() const { return settings_; }
  size_t calls() const { return dispatcher_.calls() + claiming_.size(); }

 private:
  void Append(Now now, const CallActions& from, NodeActions* to);
  void EndKeyed(Now now, CallId call, Verdict verdict, NodeActions* actions);
  void TakeClaims(Now now, ClaimOutput from, NodeActions* actions);
  void TakeClaimAnswer(Now now, const ClaimAnswer& answer, NodeActions* actions);
  void TakeConfig(Now now, NodeConfig::Output* from, NodeActions* actions);
  void TakeMembership(Now now, const MembershipOutput& from, NodeActions* actions);
  void TakeSlotMessages(Now now, NodeActions* actions);
  void UpdateServices(Now now, NodeActions* actions);
  void UpdateSlotView(Now now);
  void UpdateProbes(Now now);
  void OnReport(Now now,
                const EndpointId& endpoint,
                const LoadReport& report,
                NodeActions* actions);
  void OnNotice(Now now, const EndpointNotice& notice, bool tell_peers, NodeActions* actions);
  void SendTo(Now now, const GatewayId& to, PeerBody body, NodeActions* actions);
  void SendToAll(Now now, const PeerBody& body, NodeActions* actions);
  /// Takes in the gateways outside the own zone, which are told only what is rare and urgent.
  void SetDistantGateways(const VmList& gateways, NodeActions* actions);
  /// Divides the bounds that hold for all gateways together.
  void ShareBounds(Now now);
  void Record(Now now, EventKind kind, const std::string& detail);
  static NodeConfig::Output ConfigOutputFor(NodeActions* actions);

  NodeSettings settings_;
  PolicyVariant policy_;
  Dispatcher<PolicyVariant> dispatcher_;
  TableRouter router_;
  NodeConfig config_;
  Catalog catalog_;
  Membership membership_;
  NodeSlots slots_;
  EndpointDirectory directory_;
  ProbeScheduler probes_;
  RequestClaims claims_;
  NodeTimeline timeline_;
  NodeOperator operator_;
  std::unordered_map<CallId, CallRequest> claiming_;  ///< Calls that wait for their key.
  std::unordered_map<CallId, MonoTime> keyed_;        ///< Calls that run under a claimed key.
  std::set<CallId> sent_keyed_;                       ///< Those that an attempt was started for.
  std::unordered_map<AttemptId, EndpointId> attempts_;
  std::map<EndpointId, InstanceId> drained_instances_;
  std::map<EndpointId, bool> listed_leaving_;  ///< As the latest VM list says.
  std::set<EndpointId> probed_;
  std::set<ZoneId> zones_out_;
  LatencyAverages latency_;
  MonoTime next_vm_list_;
  std::set<GatewayId> distant_gateways_;
  size_t gateways_ = 0;  ///< As discovery lists them.
  bool stopping_ = false;
};

}  // namespace jd
