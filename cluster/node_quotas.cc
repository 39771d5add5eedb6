#include "cluster/node_quotas.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "cluster/ownership.h"
#include "common/workspace_table.h"

namespace jd {
namespace {

// Time for which no demands are sent to an issuer that has not replied.
constexpr Duration kSilentTime = 1s;
// Retry-after time of a demand for which no issuer is known.
constexpr Duration kNoIssuerRetryAfter = 200ms;
// Refused calls come back within this factor of the time at which the next token is expected.
constexpr double kRetryAfterSpread = 1.3;
// A quota from this rate on is no limit.
constexpr double kUnlimitedRate = 1e6;

bool IsLimit(const std::optional<Quota>& quota) {
  return quota && quota->calls_per_second > 0 && quota->calls_per_second < kUnlimitedRate;
}

}  // namespace

NodeQuotas::NodeQuotas(GatewayId self, const IssuerSupport* support, uint64_t seed)
    : self_(std::move(self)), support_(support), random_(seed) {}

void NodeQuotas::SetConfiguration(ConfigurationPtr configuration) {
  configuration_ = std::move(configuration);
}

void NodeQuotas::SetDeployment(size_t listed, std::vector<GatewayId> contacts) {
  listed_ = listed;
  contacts_ = std::move(contacts);
}

void NodeQuotas::SetIssuers(MonoTime now, const std::vector<GatewayId>& issuers) {
  if (issuers == issuers_) {
    return;
  }
  issuers_ = issuers;
  issuer_ids_.clear();
  for (const GatewayId& issuer : issuers_) {
    issuer_ids_[HashOf(issuer)] = issuer;
  }
  issuer_.KeepOnly([&](const WorkspaceId& workspace) {
    return Issues(now, workspace) || IssuerOf(workspace) == self_;
  });
}

bool NodeQuotas::HasQuotas() const {
  if (configuration_ == nullptr || configuration_->workspace_table == nullptr) {
    return false;
  }
  const std::vector<KeyedWorkspace>& workspaces = configuration_->workspace_table->workspaces();
  return std::any_of(workspaces.begin(), workspaces.end(),
                     [](const KeyedWorkspace& workspace) { return IsLimit(workspace.quota); });
}

const KeyedWorkspace* NodeQuotas::LimitedWorkspace(const CallRequest& request) const {
  if (configuration_ == nullptr || configuration_->workspace_table == nullptr ||
      !request.caller_key) {
    return nullptr;
  }
  const KeyedWorkspace* workspace = configuration_->workspace_table->FindByKey(*request.caller_key);
  return workspace != nullptr && IsLimit(workspace->quota) ? workspace : nullptr;
}

QuotaAdmission NodeQuotas::Admit(MonoTime now, const CallRequest& request, Duration* retry_after) {
  const KeyedWorkspace* workspace = LimitedWorkspace(request);
  if (workspace == nullptr) {
    return QuotaAdmission::kAdmitted;
  }
  const QuotaAdmission admission = ledger_.Admit(now, workspace->id, request.id, retry_after);
  if (admission == QuotaAdmission::kRefused) {
    std::uniform_real_distribution<double> spread(1.0, kRetryAfterSpread);
    *retry_after = Scale(*retry_after, spread(random_));
  } else {
    const bool admitted = admission == QuotaAdmission::kAdmitted;
    calls_[request.id] = {workspace->id, admitted, !admitted};
  }
  return admission;
}

void NodeQuotas::OnAttemptStarted(MonoTime now, CallId call, AttemptId attempt) {
  const auto tracked = calls_.find(call);
  if (tracked == calls_.end()) {
    return;
  }
  if (!std::exchange(tracked->second.has_token, false)) {
    ledger_.Charge(now, tracked->second.workspace);
  }
  attempts_[attempt] = tracked->second.workspace;
}

void NodeQuotas::OnAttemptEnded(MonoTime now, AttemptId attempt, bool run) {
  const auto ended = attempts_.extract(attempt);
  if (!ended.empty() && !run) {
    ledger_.Refund(now, ended.mapped());
  }
}

void NodeQuotas::OnCallEnded(MonoTime now, CallId call) {
  const auto ended = calls_.extract(call);
  if (ended.empty()) {
    return;
  }
  const TrackedCall& tracked = ended.mapped();
  if (tracked.waits) {
    ledger_.Cancel(tracked.workspace, call);
  }
  if (tracked.has_token) {
    ledger_.Refund(now, tracked.workspace);
  }
}

std::optional<GatewayId> NodeQuotas::IssuerOf(const WorkspaceId& workspace) const {
  if (issuers_.empty()) {
    return std::nullopt;
  }
  const PoolId pool(workspace.value);
  if (const std::optional<GatewayHash> issuer = support_->OwnIssuer(pool)) {
    const auto known = issuer_ids_.find(*issuer);
    if (known != issuer_ids_.end()) {
      return known->second;
    }
  }
  // The members have changed since the last heartbeats.
  return OwnerOf(pool, issuers_);
}

bool NodeQuotas::Issues(MonoTime now, const WorkspaceId& workspace) const {
  return support_->SupportFor(now, PoolId(workspace.value)).gateways > 0;
}

std::optional<GatewayId> NodeQuotas::TargetOf(MonoTime now, const WorkspaceId& workspace) const {
  std::optional<GatewayId> issuer = IssuerOf(workspace);
  const auto silent = issuer ? silent_until_.find(*issuer) : silent_until_.end();
  if (issuer && (silent == silent_until_.end() || silent->second <= now)) {
    return issuer;
  }
  for (const GatewayId& contact : contacts_) {
    const auto silent_contact = silent_until_.find(contact);
    if (silent_contact == silent_until_.end() || silent_contact->second <= now) {
      return contact;
    }
  }
  return issuer;
}

std::optional<QuotaIssuer::Part> NodeQuotas::PartOf(MonoTime now,
                                                    const WorkspaceId& workspace) const {
  if (configuration_ == nullptr || configuration_->workspace_table == nullptr) {
    return std::nullopt;
  }
  const KeyedWorkspace* keyed = configuration_->workspace_table->FindById(workspace);
  if (keyed == nullptr || !IsLimit(keyed->quota)) {
    return std::nullopt;
  }
  QuotaIssuer::Part part;
  part.quota = *keyed->quota;
  if (!std::isfinite(part.quota.burst) || part.quota.burst < 0) {
    part.quota.burst = 0;
  }
  const PoolId pool(workspace.value);
  const IssuerSupport::Support support = support_->SupportFor(now, pool);
  part.share = ShareOf(support.gateways);
  part.since = support.since;
  part.lasting_share = part.share;
  const MonoTime refilled = issuer_.RefilledAt(now, workspace, part.quota);
  if (support.since > refilled) {
    part.lasting_share = ShareOf(support_->SupportersSince(now, pool, refilled));
  }
  part.other_issuers = static_cast<int>(contacts_.size());
  return part;
}

double NodeQuotas::ShareOf(size_t supporters) const {
  if (listed_ == 0) {
    return 0;
  }
  return std::min(static_cast<double>(supporters) / static_cast<double>(listed_), 1.0);
}

QuotaLease NodeQuotas::Decide(MonoTime now, const QuotaDemand& demand) {
  const std::optional<QuotaIssuer::Part> part = PartOf(now, demand.workspace);
  if (!part) {
    return {demand.workspace, demand.needed, demand.needed + demand.ahead, Duration(0)};
  }
  return issuer_.Decide(now, *part, demand);
}

QuotaLease NodeQuotas::Lend(MonoTime now, const QuotaDemand& demand) {
  const std::optional<QuotaIssuer::Part> part = PartOf(now, demand.workspace);
  if (!part) {
    return {demand.workspace, demand.needed, 0, Duration(0)};
  }
  return issuer_.Lend(now, *part, demand);
}

void NodeQuotas::OnRequest(MonoTime now, const QuotaRequest& request) {
  QuotaGrant grant;
  grant.request_sent = request.sent;
  grant.transfer = request.transfer;
  std::map<GatewayId, QuotaRequest> relayed;
  for (const QuotaDemand& demand : request.demands) {
    const std::optional<GatewayId> issuer = IssuerOf(demand.workspace);
    // The gateway that asks may not know yet that another gateway is to take over.
    if (issuer == self_ || Issues(now, demand.workspace)) {
      grant.leases.push_back(request.transfer ? Lend(now, demand) : Decide(now, demand));
    } else if (!issuer || request.relayed) {
      grant.leases.push_back({demand.workspace, demand.needed, 0, kNoIssuerRetryAfter});
    } else {
      QuotaRequest& relay = relayed[*issuer];
      relay.requester = request.requester;
      relay.sent = request.sent;
      relay.relayed = true;
      relay.transfer = request.transfer;
      relay.demands.push_back(demand);
    }
  }
  for (auto& [issuer, relay] : relayed) {
    output_.messages.push_back({issuer, std::move(relay)});
  }
  if (!grant.leases.empty()) {
    output_.messages.push_back({request.requester, std::move(grant)});
  }
}

void NodeQuotas::OnGrant(MonoTime now, const QuotaGrant& grant) {
  for (const QuotaLease& lease : grant.leases) {
    if (!grant.transfer) {
      ApplyLease(now, grant.request_sent, lease);
    } else if (const std::optional<QuotaIssuer::Part> part = PartOf(now, lease.workspace);
               part && IssuerOf(lease.workspace) == self_) {
      issuer_.OnLent(now, *part, lease);
    }
  }
}

void NodeQuotas::ApplyLease(MonoTime now, MonoTime request_sent, const QuotaLease& lease) {
  std::vector<QuotaLedger::Decision> decisions;
  ledger_.OnLease(now, request_sent, lease, &decisions);
  ApplyDecisions(std::move(decisions));
}

void NodeQuotas::ApplyDecisions(std::vector<QuotaLedger::Decision> decisions) {
  std::uniform_real_distribution<double> spread(1.0, kRetryAfterSpread);
  for (QuotaLedger::Decision& decision : decisions) {
    decision.retry_after = Scale(decision.retry_after, spread(random_));
    const auto call = calls_.find(decision.call);
    if (call == calls_.end()) {
      continue;
    }
    call->second.waits = false;
    call->second.has_token = decision.admitted;
    if (!decision.admitted) {
      calls_.erase(call);
    }
    output_.decisions.push_back(decision);
  }
}

void NodeQuotas::OnTimer(MonoTime now) {
  std::vector<QuotaLedger::Decision> decisions;
  for (const WorkspaceId& workspace : ledger_.OnTimer(now, &decisions)) {
    const std::optional<GatewayId> target = TargetOf(now, workspace);
    if (target && target != self_) {
      silent_until_[*target] = now + kSilentTime;
    }
  }
  std::erase_if(silent_until_, [now](const auto& entry) { return entry.second <= now; });
  ApplyDecisions(std::move(decisions));
}

NodeQuotas::Output NodeQuotas::Flush(MonoTime now) {
  SendDemands(now);
  SendShortages(now);
  return std::exchange(output_, {});
}

void NodeQuotas::SendDemands(MonoTime now) {
  std::map<GatewayId, QuotaRequest> requests;
  for (QuotaDemand& demand : ledger_.TakeDemands(now)) {
    const std::optional<GatewayId> target = TargetOf(now, demand.workspace);
    if (!target) {
      ApplyLease(now, now, {demand.workspace, demand.needed, 0, kNoIssuerRetryAfter});
    } else if (target == self_) {
      ApplyLease(now, now, Decide(now, demand));
    } else {
      QuotaRequest& request = requests[*target];
      request.requester = self_;
      request.sent = now;
      request.demands.push_back(std::move(demand));
    }
  }
  for (auto& [target, request] : requests) {
    output_.messages.push_back({target, std::move(request)});
  }
}

void NodeQuotas::SendShortages(MonoTime now) {
  const std::vector<QuotaDemand> shortages = issuer_.TakeShortages();
  if (shortages.empty()) {
    return;
  }
  QuotaRequest request;
  request.requester = self_;
  request.sent = now;
  request.demands = shortages;
  request.transfer = true;
  for (const GatewayId& contact : contacts_) {
    output_.messages.push_back({contact, request});
  }
}

}  // namespace jd
