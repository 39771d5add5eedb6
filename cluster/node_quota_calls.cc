// The functions of Node that keep calls within the quotas of their workspaces.
#include <algorithm>
#include <utility>

#include "cluster/node.h"
#include "common/workspace_table.h"

namespace jd {
namespace {

// Upper limit of the retry-after time, as a share of the time that the caller has left.
constexpr int kMaxRetryAfterDivisor = 3;
// Shortest time between two log lines about the quota of one workspace.
constexpr Duration kQuotaLogInterval = 1s;

}  // namespace

void Node::OnCall(Now now, const CallRequest& request, NodeActions* actions) {
  if (stopping_) {
    OnAdmittedCall(now, request, actions);
    return;
  }
  Duration retry_after{0};
  switch (quotas_.Admit(now.mono, request, &retry_after)) {
    case QuotaAdmission::kAdmitted:
      OnAdmittedCall(now, request, actions);
      break;
    case QuotaAdmission::kWaiting:
      calls_awaiting_quota_[request.id] = {request, now.mono};
      break;
    case QuotaAdmission::kRefused:
      RefuseOverQuota(now, request, retry_after, actions);
      break;
  }
}

void Node::FlushQuotas(Now now, NodeActions* actions) {
  NodeQuotas::Output output = quotas_.Flush(now.mono);
  for (NodeQuotas::Message& message : output.messages) {
    SendTo(now, message.to, std::move(message.body), actions);
  }
  for (const QuotaLedger::Decision& decision : output.decisions) {
    auto waiting = calls_awaiting_quota_.extract(decision.call);
    if (waiting.empty()) {
      continue;
    }
    CallRequest request = std::move(waiting.mapped().request);
    if (request.timeout) {
      *request.timeout =
          std::max(*request.timeout - (now.mono - waiting.mapped().since), Duration(0));
    }
    if (decision.admitted) {
      OnAdmittedCall(now, request, actions);
    } else {
      RefuseOverQuota(now, request, decision.retry_after, actions);
    }
  }
}

void Node::RefuseOverQuota(Now now,
                           const CallRequest& request,
                           Duration retry_after,
                           NodeActions* actions) {
  if (request.timeout) {
    retry_after = std::min(retry_after, *request.timeout / kMaxRetryAfterDivisor);
  }
  Event refused;
  refused.kind = EventKind::kCallRefused;
  refused.request = request.request_id;
  refused.detail = "reason=" + std::string(RefusalReasonName(RefusalReason::kOverQuota)) +
                   " verdict=" + std::string(VerdictName(Verdict::kNotRun)) +
                   " retry_after_us=" + std::to_string(retry_after.count());
  CallActions out{RecordEvent{std::move(refused)}};
  const KeyedWorkspace* workspace = quotas_.LimitedWorkspace(request);
  if (workspace != nullptr && now.mono >= next_quota_log_[workspace->id]) {
    next_quota_log_[workspace->id] = now.mono + kQuotaLogInterval;
    Event exceeded;
    exceeded.kind = EventKind::kQuotaExceeded;
    exceeded.detail = "workspace=" + workspace->id.value +
                      " per_s=" + std::to_string(workspace->quota->calls_per_second) +
                      " burst=" + std::to_string(workspace->quota->burst);
    out.push_back(RecordEvent{std::move(exceeded)});
  }
  out.push_back(RefuseCall{request.id,
                           {RefusalReason::kOverQuota, Verdict::kNotRun, retry_after,
                            "The workspace has used up its quota."}});
  ApplyCallActions(now, out, actions);
}

void Node::UpdateQuotaMembers(Now now) {
  const size_t listed =
      settings_.gateways_listed_by_discovery ? gateway_count_ : membership_.roster().size();
  const ViewAnnouncer& views = membership_.views();
  if (views.generation() > 0) {
    IssuerSupport::Announcement own;
    own.generation = views.generation();
    own.view = views.view();
    // A gateway without others has nobody who may count another view.
    own.settled = listed == 1 ? views.generation() : views.Settled(now.mono);
    own.unreleased = views.Unreleased(now.mono);
    issuer_support_.SetOwnView(now.mono, own);
  }
  // Also without a configuration: demands of other zones are passed on to their issuers.
  quotas_.SetDeployment(listed, zone_contacts_.OneOfEachZone(next_quota_contact_++));
  quotas_.SetIssuers(now.mono, membership_.IssuerCandidates(now.mono));
}

}  // namespace jd
