#include "policy/call.h"

#include <algorithm>

#include "common/workspace_table.h"

namespace jd {
namespace {

/// Lower limit of a workspace's share, so that a workspace with a share of zero is still served.
constexpr double kMinShare = 0.001;

double ShareOf(const WorkspaceId& workspace,
               const Service& service,
               const Configuration& configuration) {
  const auto own =
      std::find_if(service.shares.begin(), service.shares.end(),
                   [&](const WorkspaceShare& share) { return share.workspace == workspace; });
  if (own != service.shares.end()) {
    return std::max(own->share, kMinShare);
  }
  const auto common = configuration.workspaces.find(workspace);
  return common == configuration.workspaces.end() ? 1.0 : std::max(common->second.share, kMinShare);
}

CallRank RankOf(const WorkspaceId& workspace,
                const Profile& profile,
                const Configuration& configuration) {
  CallRank rank;
  rank.profile = profile.priority;
  if (configuration.workspace_table != nullptr) {
    const KeyedWorkspace* known = configuration.workspace_table->FindById(workspace);
    rank.workspace = known == nullptr ? rank.workspace : known->priority.value_or(rank.workspace);
  }
  return rank;
}

}  // namespace

Call MakeCall(MonoTime now,
              const CallRequest& request,
              const Service& service,
              const Profile& profile,
              const Configuration& configuration,
              Duration caller_wait,
              uint64_t sequence) {
  Call call;
  call.request = request;
  call.limits = {std::max(profile.max_attempts, 1),
                 profile.hedge,
                 profile.hedge_after,
                 profile.retry_budget,
                 profile.max_queue,
                 RankOf(request.workspace, profile, configuration)};
  call.arrival = now;
  call.deadline = now + std::min(profile.deadline, request.timeout.value_or(profile.deadline));
  call.target_time = profile.target_latency == Duration(0)
                         ? call.deadline
                         : std::min(call.deadline, now + profile.target_latency - caller_wait);
  call.came_back = caller_wait > Duration(0);
  call.weight = ShareOf(request.workspace, service, configuration);
  call.idempotent = IsIdempotent(profile, request.method, request.path);
  call.workspace_table = configuration.workspace_table;
  call.sequence = sequence;
  return call;
}

}  // namespace jd
