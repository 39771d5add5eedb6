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
#include "cluster/node_quotas.h"
#include "cluster/node_settings.h"
#include "cluster/node_slots.h"
#include "cluster/node_timeline.h"
#include "cluster/permit_issuer.h"
#include "cluster/probe_scheduler.h"
#include "cluster/request_claims.h"
#include "cluster/rollout_control.h"
#include "cluster/zone_contacts.h"
#include "common/configuration.h"
#include "common/now.h"
#include "common/vm_list.h"
#include "policy/dispatcher.h"
#include "policy/endpoint_statements.h"
#include "policy/policy_variant.h"
#include "policy/probe_result.h"

namespace jd {

/// A response as stored under its request key.
struct StoredResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// The decision logic of one gateway, without any input or output of its own. The event loop calls
/// one function per event with the current time and carries out the actions that the function
/// appends to `actions`. The loop and the node interact in no other way.
class Node {
 public:
  explicit Node(const NodeSettings& settings);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Starts the node.
  /// @param initial the configuration from the settings file, or null.
  void Start(Now now, ConfigurationPtr initial, NodeActions* actions);

  void OnCall(Now now, const CallRequest& request, NodeActions* actions);
  void OnCallerGone(Now now, CallId call, NodeActions* actions);
  void OnAttemptResult(Now now, const AttemptResult& result, NodeActions* actions);
  /// Stores the response of a call with a request key. Called when the response of an AnswerCall
  /// with `keyed` set has been relayed to the caller.
  void OnCallAnswered(Now now, CallId call, const StoredResponse& response, NodeActions* actions);
  void OnPeerMessage(Now now, const PeerMessage& message, NodeActions* actions);
  void OnTableReply(Now now, uint64_t id, const TableReply& reply, NodeActions* actions);
  void OnVmList(Now now, const VmList& vms, NodeActions* actions);
  /// Applies a change to the data that operators and upstreams write to the platform's store: the
  /// list of gateways and the configuration derived from the store's tables.
  void OnDiscovery(Now now, const DiscoveryUpdate& update, NodeActions* actions);
  /// Sends the rows that this gateway read from a table of the store to every peer that is not
  /// known to be dead and to the contacts of the other zones, so that they need not read them.
  void OnTableRead(Now now, const TableUpdate& update, NodeActions* actions);
  /// Asks a peer for the list of gateways and its tables.
  /// @param peer if absent, the peer that was heard last; nothing is sent if none was heard.
  void RequestTables(Now now,
                     const std::optional<GatewayId>& peer,
                     const TableFetch& fetch,
                     NodeActions* actions);
  /// Sends a table, or a list that this gateway has read, to one peer.
  void SendTable(Now now, const GatewayId& peer, const TableUpdate& update, NodeActions* actions);
  void OnProbeResult(Now now, const ProbeResult& result, NodeActions* actions);
  void OnRolloutWriteResult(Now now, const RolloutWriteResult& result, NodeActions* actions);
  void OnOperatorRequest(Now now, const OperatorRequest& request, NodeActions* actions);
  void OnTimer(Now now, NodeActions* actions);
  /// Sends the slot messages that are due. Called once after all events of one iteration of the
  /// event loop, so that their effects are sent in few messages.
  void OnLoopIterationEnd(Now now, NodeActions* actions);
  /// Ends every call, also those that arrive later, by `latest`, when the process is about to be
  /// killed. next_timer() may be earlier afterwards.
  void LimitDeadlines(MonoTime latest) { dispatcher_.LimitDeadlines(latest); }
  /// Starts a graceful shutdown: refuses new calls, lets the calls in flight finish, and hands over
  /// slots and the ownership of pools. The process may exit once drained() is true.
  void OnStop(Now now, NodeActions* actions);

  std::optional<MonoTime> next_timer() const;
  /// Returns whether the platform's balancer may send calls to this gateway.
  bool ready() const;
  /// Returns whether a graceful shutdown has been started and no call or attempt is left.
  bool drained() const;
  /// Returns the configuration in use, or null.
  ConfigurationPtr configuration() const { return config_.configuration(); }
  const NodeSettings& settings() const { return settings_; }
  /// Returns how this gateway's requests for permits have ended.
  const PermitCounts& permit_counts() const { return dispatcher_.permit_counts(); }
  /// Returns how often an endpoint was passed over, by reason.
  EndpointHoldCounts hold_counts() const { return policy_.hold_counts(); }
  /// Returns how the calls of workspaces with a quota have ended, and the tokens for them.
  const QuotaCounts& quota_counts() const { return quotas_.counts(); }
  /// Returns the number of unfinished calls, including those whose request key is being claimed and
  /// those that wait for a token of their workspace's quota.
  size_t calls() const {
    return dispatcher_.calls() + calls_awaiting_claim_.size() + calls_awaiting_quota_.size();
  }

 private:
  /// A run of an endpoint, and when the configuration first listed it.
  struct ListedRun {
    Incarnation run;
    MonoTime since;
  };

  /// A call that waits for a token of its workspace's quota.
  struct QuotaWait {
    CallRequest request;
    MonoTime since;
  };

  /// Handles a call that is within the quota of its workspace.
  void OnAdmittedCall(Now now, const CallRequest& request, NodeActions* actions);
  void RefuseOverQuota(Now now,
                       const CallRequest& request,
                       Duration retry_after,
                       NodeActions* actions);
  /// Sends the quota messages that are due, and admits or refuses the calls that waited for tokens.
  void FlushQuotas(Now now, NodeActions* actions);
  void RecordPeerEvent(Now now, EventKind kind, const GatewayId& peer, NodeActions* actions);
  /// Passes on what the latest heartbeat of a peer says of its view.
  void UpdateIssuerSupport(Now now, const GatewayId& peer);
  /// Passes on which gateways may issue tokens, and how many there are.
  void UpdateQuotaMembers(Now now);
  /// Carries out the dispatcher's actions: appends those of the event loop to `to`, records events,
  /// sends crash notices to peers and finishes the claims of request keys.
  void ApplyCallActions(Now now, const CallActions& from, NodeActions* to);
  /// Finishes the claim of a call's request key, if it has one, with a verdict but no response.
  void FinishKeyedCall(Now now, CallId call, Verdict verdict, NodeActions* actions);
  void ApplyClaimOutput(Now now, ClaimOutput from, NodeActions* actions);
  void ApplyClaimAnswer(Now now, const ClaimAnswer& answer, NodeActions* actions);
  void ApplyConfigOutput(Now now, NodeConfig::Output* from, NodeActions* actions);
  void ApplyMembershipOutput(Now now, const MembershipOutput& from, NodeActions* actions);
  void TakeSlotMessages(Now now, NodeActions* actions);
  /// Passes changed services, endpoints and zone shares on to the policy, the dispatcher and the
  /// slot owner.
  void UpdateServices(Now now, NodeActions* actions);
  /// Passes the gateways that are known to Membership on to the parts that need them.
  void UpdateGatewayMembers(Now now);
  /// Schedules probes for the endpoints of the pools that this gateway owns, and for no others.
  void UpdateProbes(Now now);
  void OnLoadReport(Now now,
                    const EndpointId& endpoint,
                    const LoadReport& report,
                    NodeActions* actions);
  /// Marks an endpoint as draining or as serving again.
  /// @param tell_peers whether to notify the peers if the state changed.
  void OnEndpointNotice(Now now,
                        const EndpointNotice& notice,
                        bool tell_peers,
                        NodeActions* actions);
  /// Applies what an endpoint said of itself in a response, before its load or the result of its
  /// attempt is used.
  /// @param latency time from the request to the response.
  void OnUpstreamStatement(Now now,
                           const EndpointId& endpoint,
                           const UpstreamStatement& statement,
                           Duration latency,
                           NodeActions* actions);
  /// Records since when the configuration lists each endpoint in its run.
  void RecordListedRuns(Now now);
  /// Applies what a peer has learned from the responses of endpoints.
  void OnEndpointStatement(Now now, const EndpointStatement& message, NodeActions* actions);
  /// Applies the statements of endpoints that are in force to the services.
  void UpdateHeldEndpoints(Now now, NodeActions* actions);
  /// Passes the statements in force on to the directory and the slots, and records the changes.
  /// @return whether an endpoint was held back or released.
  bool ApplyHeldEndpoints(Now now, NodeActions* actions);
  /// Records that an endpoint is held back or released.
  void RecordHold(Now now,
                  EventKind kind,
                  const EndpointId& endpoint,
                  const HeldEndpoint& held,
                  NodeActions* actions);
  /// Returns whether a heartbeat of this process of a peer has been received.
  bool HasHeard(const GatewayId& peer, Incarnation incarnation) const;
  /// Returns whether this gateway is among the few that tell a peer that has just started what it
  /// cannot read from the store.
  bool InformsNewProcess(const GatewayId& peer) const;
  /// Tells a gateway that has just started what this one knows of endpoints that leave and of
  /// requests that crash upstreams.
  void SendStateTo(Now now, const GatewayId& peer, NodeActions* actions);
  /// Fills in this gateway as the one that has seen the losses.
  CrashEvidence NameGateway(CrashEvidence evidence) const;
  /// Returns the gateway that issues the permits for an endpoint of this zone, or, for another
  /// zone, a gateway there that knows it.
  /// @return nothing if no such gateway is known.
  std::optional<GatewayId> PermitIssuerFor(const EndpointId& endpoint, const ZoneId& zone) const;
  /// Returns whether this gateway's zone issues the permits for the endpoints of a zone.
  bool IssuesPermitsFor(const ZoneId& zone) const;
  /// Returns the part of a limit that this gateway may issue as the issuer.
  /// @param zone zone of the endpoint.
  double PermitShare(const ZoneId& zone) const;
  /// Decides a request for a permit, or passes it on to the gateway that does.
  void OnPermitRequest(Now now, const PermitRequest& request, NodeActions* actions);
  /// Passes a decision to the dispatcher if this gateway requested it, or sends it.
  void ReplyToPermitRequest(Now now,
                            const PermitRequest& request,
                            const PermitDecision& decision,
                            NodeActions* actions);
  void OnPermitReply(Now now, const PermitReply& reply, NodeActions* actions);
  /// Passes an update of another gateway on to the local zone, if asked to, and to the discovery of
  /// this gateway.
  void OnTableUpdate(Now now, const TableUpdate& update, NodeActions* actions);
  void SendTo(Now now, const GatewayId& to, PeerBody body, NodeActions* actions);
  void SendToAll(Now now, const PeerBody& body, NodeActions* actions);
  /// Sends to all peers and to the gateways of the other zones.
  void SendToAllZones(Now now, const PeerBody& body, NodeActions* actions);
  static RolloutMember RolloutMemberOf(const NodeSettings& settings);
  RolloutSituation SituationOf(const Rollout& rollout) const;
  void SetRolloutOrders(Now now,
                        const std::map<ServiceId, RolloutOrder>& orders,
                        StoreEra era,
                        NodeActions* actions);
  void AdvanceRollouts(Now now, NodeActions* actions);
  void OnVersionEvidence(Now now,
                         const GatewayId& from,
                         Incarnation incarnation,
                         const VersionEvidence& evidence,
                         NodeActions* actions);
  void OnRolloutNotice(Now now, const RolloutNotice& notice, NodeActions* actions);
  /// Sends the messages of roll-outs, and applies their shares and rules.
  void ApplyRolloutOutput(Now now, const RolloutOutput& from, NodeActions* actions);
  /// Sets the addresses of the gateways in other zones. They are not peers, and receive only rare
  /// and urgent messages, such as a CrashNotice.
  void SetOtherZoneGateways(const VmList& gateways, NodeActions* actions);
  /// Sets this gateway's part of the probe rate, which is a limit for all gateways together.
  void UpdateProbeRate(Now now);
  void RecordTimelineEvent(Now now, EventKind kind, const std::string& detail);
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
  /// Calls whose request key is being claimed.
  std::unordered_map<CallId, CallRequest> calls_awaiting_claim_;
  /// Time when the claim of the request key started, for each unfinished call with a request key.
  std::unordered_map<CallId, MonoTime> keyed_call_starts_;
  /// Calls in keyed_call_starts_ for which an attempt has been started.
  std::set<CallId> sent_keyed_calls_;
  /// Endpoint of each running attempt.
  std::unordered_map<AttemptId, EndpointId> endpoint_by_attempt_;
  /// Instance that was draining, for each endpoint that is marked as draining. A report of another
  /// instance ends the drain.
  std::map<EndpointId, InstanceId> draining_instances_;
  /// Whether the latest VM list shows the endpoint as leaving.
  std::map<EndpointId, bool> listed_as_leaving_;
  std::set<EndpointId> probed_endpoints_;  ///< Endpoints that probes are scheduled for.
  std::set<ZoneId> zones_out_;
  LatencyAverages latency_;
  MonoTime next_vm_list_;
  ZoneContacts zone_contacts_;
  PermitIssuer permit_issuer_;
  IssuerSupport issuer_support_;
  NodeQuotas quotas_;  // Uses issuer_support_.
  /// Seeded, so that gateways choose different contacts.
  size_t next_quota_contact_ = 0;
  std::unordered_map<CallId, QuotaWait> calls_awaiting_quota_;
  /// When the log may state next that a workspace exceeds its quota.
  std::map<WorkspaceId, MonoTime> next_quota_log_;
  RolloutControl rollouts_;
  EndpointStatements statements_;
  std::map<EndpointId, ListedRun> listed_runs_;
  size_t gateway_count_ = 0;  ///< Number of gateways that discovery lists, in all zones.
  bool stopping_ = false;
};

}  // namespace jd
