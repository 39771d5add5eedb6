#include "cluster/view_announcer.h"

#include <algorithm>
#include <iterator>

namespace jd {

void ViewAnnouncer::SetCandidates(MonoTime now,
                                  const std::vector<GatewayId>& candidates,
                                  const std::map<GatewayId, MonoTime>& last_heard) {
  if (generation_ > 0 && candidates == candidates_) {
    return;
  }
  std::erase_if(releases_, [now](const Release& release) { return release.until <= now; });
  ++generation_;
  std::vector<GatewayId> former;
  if (std::includes(candidates_.begin(), candidates_.end(), candidates.begin(), candidates.end())) {
    // Only the pools of the gateways that are gone get another owner.
    std::set_difference(candidates_.begin(), candidates_.end(), candidates.begin(),
                        candidates.end(), std::back_inserter(former));
  } else {
    former = candidates_;
  }
  for (const GatewayId& owner : former) {
    const auto heard = last_heard.find(owner);
    if (heard != last_heard.end()) {
      releases_.push_back(
          {owner, generation_, std::min(heard->second, now) + lifetime_ + kClockMargin});
    }
  }
  candidates_ = candidates;
  view_ = GatewayView::Of(candidates);
}

bool ViewAnnouncer::OnEcho(const GatewayId& peer, uint64_t generation) {
  return std::erase_if(releases_, [&](const Release& release) {
           return release.owner == peer && release.generation <= generation;
         }) > 0;
}

void ViewAnnouncer::OnStoppedIssuing(const GatewayId& peer) {
  std::erase_if(releases_, [&](const Release& release) { return release.owner == peer; });
}

std::vector<GatewayHash> ViewAnnouncer::Unreleased(MonoTime now) const {
  std::vector<GatewayHash> owners;
  for (const Release& release : releases_) {
    if (now < release.until) {
      owners.push_back(HashOf(release.owner));
    }
  }
  std::sort(owners.begin(), owners.end());
  owners.erase(std::unique(owners.begin(), owners.end()), owners.end());
  return owners;
}

uint64_t ViewAnnouncer::Settled(MonoTime now) const {
  if (generation_ == 0 || now < former_until_) {
    return 0;
  }
  uint64_t settled = generation_;
  for (const Release& release : releases_) {
    if (now < release.until) {
      settled = std::min(settled, release.generation - 1);
    }
  }
  return settled;
}

}  // namespace jd
