#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "cluster/issuer_support.h"
#include "cluster/peer_message.h"
#include "cluster/quota_issuer.h"
#include "common/configuration.h"
#include "common/ids.h"
#include "common/random.h"
#include "common/units.h"
#include "policy/call_request.h"
#include "policy/quota_ledger.h"

namespace jd {

/// Keeps the calls of this gateway within the quotas of their workspaces, which are limits for all
/// gateways together. Holds the tokens of this gateway (QuotaLedger), issues those of the
/// workspaces that this gateway is the issuer of (QuotaIssuer), and addresses the messages between
/// them.
class NodeQuotas {
 public:
  struct Message {
    GatewayId to;
    PeerBody body;
  };
  struct Output {
    std::vector<Message> messages;
    std::vector<QuotaLedger::Decision> decisions;
  };

  /// @param support tells which gateways support this one as an issuer; must outlive this object.
  /// @param seed of the random choices.
  NodeQuotas(GatewayId self, const IssuerSupport* support, uint64_t seed);

  void SetConfiguration(ConfigurationPtr configuration);
  /// Sets the gateways that may issue tokens, this one included; none while it is not known which
  /// of the peers are live.
  void SetIssuers(MonoTime now, const std::vector<GatewayId>& issuers);
  /// Sets the size of the deployment.
  /// @param listed gateways in all zones, live or not; 0: not known, so that this gateway issues
  /// nothing.
  /// @param contacts any one gateway of each zone without peers.
  void SetDeployment(size_t listed, std::vector<GatewayId> contacts);
  /// Returns whether any workspace has a quota.
  bool HasQuotas() const;

  /// Decides about a new call. A call that is admitted, or waits, must be ended with OnCallEnded.
  /// @param retry_after is set if the call is refused.
  QuotaAdmission Admit(MonoTime now, const CallRequest& request, Duration* retry_after);
  /// Returns the workspace whose quota a call counts against, or null.
  const KeyedWorkspace* LimitedWorkspace(const CallRequest& request) const;
  /// Accounts for an attempt of a call. The first one uses the call's token.
  void OnAttemptStarted(MonoTime now, CallId call, AttemptId attempt);
  /// Ends an attempt.
  /// @param run whether the upstream may have run the request.
  void OnAttemptEnded(MonoTime now, AttemptId attempt, bool run);
  void OnCallEnded(MonoTime now, CallId call);

  void OnRequest(MonoTime now, const QuotaRequest& request);
  void OnGrant(MonoTime now, const QuotaGrant& grant);
  void OnTimer(MonoTime now);
  /// Returns the messages to send and the calls that need not wait any longer.
  Output Flush(MonoTime now);
  std::optional<MonoTime> next_timer() const { return ledger_.next_timer(); }
  const QuotaCounts& counts() const { return ledger_.counts(); }

 private:
  struct TrackedCall {
    WorkspaceId workspace;
    bool has_token = false;  ///< Admitted, and no attempt has used the token yet.
    bool waits = false;
  };

  /// Returns the gateway of this zone that issues for a workspace, or nothing if none is known.
  std::optional<GatewayId> IssuerOf(const WorkspaceId& workspace) const;
  /// Returns whether any gateway supports this one as the issuer for a workspace.
  bool Issues(MonoTime now, const WorkspaceId& workspace) const;
  /// Returns where to send a demand: the issuer, or, if it does not reply, a gateway of another
  /// zone that passes the demand on to the issuer there.
  std::optional<GatewayId> TargetOf(MonoTime now, const WorkspaceId& workspace) const;
  /// Returns the part of a workspace's quota that this gateway issues; nothing if it has no limit.
  std::optional<QuotaIssuer::Part> PartOf(MonoTime now, const WorkspaceId& workspace) const;
  /// Returns the part of each quota that this number of gateways stands for.
  double ShareOf(size_t supporters) const;
  QuotaLease Decide(MonoTime now, const QuotaDemand& demand);
  QuotaLease Lend(MonoTime now, const QuotaDemand& demand);
  void SendDemands(MonoTime now);
  void SendShortages(MonoTime now);
  void ApplyLease(MonoTime now, MonoTime request_sent, const QuotaLease& lease);
  /// Updates the calls that a decision is about.
  void ApplyDecisions(std::vector<QuotaLedger::Decision> decisions);

  GatewayId self_;
  const IssuerSupport* support_;
  RandomEngine random_;
  ConfigurationPtr configuration_;
  std::vector<GatewayId> issuers_;
  size_t listed_ = 1;
  std::vector<GatewayId> contacts_;
  QuotaLedger ledger_;
  QuotaIssuer issuer_;
  std::map<GatewayHash, GatewayId> issuer_ids_;  ///< Of issuers_.
  std::map<GatewayId, MonoTime> silent_until_;   ///< Issuers that have not replied.
  std::unordered_map<CallId, TrackedCall> calls_;
  std::unordered_map<AttemptId, WorkspaceId> attempts_;
  Output output_;
};

}  // namespace jd
