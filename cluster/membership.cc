#include "cluster/membership.h"

#include <algorithm>

namespace jd {

Membership::Membership(NodeSettings settings)
    : settings_(std::move(settings)), views_(SupportLifetime(settings_.heartbeat)) {
  roster_.push_back(settings_.id);
  for (const PeerSeed& seed : settings_.seeds) {
    if (seed.id == settings_.id) {
      continue;
    }
    Member& member = members_[seed.id];
    member.id = seed.id;
    member.zone = seed.zone;
    member.address = seed.address;
    member.port = seed.port;
    roster_.push_back(seed.id);
  }
  std::sort(roster_.begin(), roster_.end());
  UpdateLiveGateways();
}

void Membership::Start(MonoTime now, MembershipOutput* output) {
  views_.Start(now);
  resumed_at_ = now;
  last_event_ = now;
  next_heartbeat_ = now;
  for (const auto& [id, member] : members_) {
    awaited_peers_[id] = true;
    output->addresses.push_back({id, member.address, member.port});
  }
  OnTimer(now, output);
}

void Membership::OnTimer(MonoTime now, MembershipOutput* output) {
  DetectPause(now);
  UpdateStates(now, output);
  if (now >= next_heartbeat()) {
    SendHeartbeats(now, output);
  }
}

void Membership::OnHeartbeat(MonoTime now,
                             const GatewayId& from,
                             Incarnation incarnation,
                             const Heartbeat& heartbeat,
                             MembershipOutput* output) {
  DetectPause(now);
  if (from == settings_.id || IsOutdated(from, incarnation)) {
    return;
  }
  Member& member = members_[from];
  const bool restarted = member.incarnation != Incarnation() && member.incarnation < incarnation;
  if (member.incarnation == incarnation && heartbeat.sent < member.last_sent) {
    return;
  }
  if (restarted) {
    member.echoed = false;
    member.leaving = false;
    member.view_generation = 0;
    member.view_settled = 0;
    member.view = nullptr;
    member.view_echoed = 0;
    views_.OnStoppedIssuing(from);
  }
  UpdateViewOf(heartbeat, &member);
  member.id = from;
  member.incarnation = incarnation;
  member.zone = heartbeat.zone;
  member.version = heartbeat.version;
  member.ready = heartbeat.ready;
  member.can_own = heartbeat.can_own;
  if (heartbeat.leaving && !member.leaving) {
    member.leaving = true;
    views_.OnStoppedIssuing(from);
    has_view_news_ = true;
  }
  member.last_heard = now;
  member.last_sent = heartbeat.sent;
  // An echo of a heartbeat from before a pause does not show that the peer receives heartbeats now.
  if (heartbeat.echo_incarnation == settings_.incarnation && heartbeat.echo >= resumed_at_ &&
      heartbeat.echo <= now) {
    if (heartbeat.echo > member.last_echo) {
      member.replacements = 0;
    }
    member.last_echo = std::max(member.last_echo, heartbeat.echo);
    member.echoed = true;
    member.view_echoed = heartbeat.view_echo;
    const uint64_t settled = views_.Settled(now);
    const bool releases = views_.OnEcho(from, heartbeat.view_echo);
    CheckFormerProcessForgotten();
    has_view_news_ = has_view_news_ || releases || views_.Settled(now) != settled;
  }
  SetAddress(&member, heartbeat.address, heartbeat.peer_port, output);
  if (restarted) {
    member.state = StateOf(now, member);
    output->changes.push_back({from, member.state, true});
  } else if (member.state == MemberState::kUnknown) {
    member.state = MemberState::kOneWay;
  }
  UpdateStates(now, output);
}

void Membership::OnVmList(MonoTime now, const VmList& vms, MembershipOutput* output) {
  DetectPause(now);
  std::vector<GatewayId> listed;
  for (const Vm& vm : vms) {
    if (vm.role == VmRole::kGateway) {
      listed.emplace_back(vm.name);
    }
  }
  // A list without any gateway must be wrong, because this gateway is running.
  if (listed.empty()) {
    return;
  }
  for (auto& [id, member] : members_) {
    member.listed = false;
  }
  for (const Vm& vm : vms) {
    const GatewayId id(vm.name);
    if (vm.role != VmRole::kGateway || id == settings_.id) {
      continue;
    }
    Member& member = members_[id];
    member.id = id;
    member.listed = true;
    // The heartbeats of a running peer hold newer data about it than the list.
    if (member.state == MemberState::kUnknown || member.state == MemberState::kDead) {
      member.zone = vm.zone;
      SetAddress(&member, vm.address, vm.port, output);
    }
  }
  std::sort(listed.begin(), listed.end());
  listed.erase(std::unique(listed.begin(), listed.end()), listed.end());
  roster_ = std::move(listed);
  has_vm_list_ = true;
  UpdateStates(now, output);
}

void Membership::Leave(MonoTime now, MembershipOutput* output) {
  leaving_ = true;
  UpdateLiveGateways();
  SendHeartbeats(now, output);
}

Duration Membership::SupportLifetime(Duration heartbeat) {
  return std::min(heartbeat, kLongestHeartbeatWithViews) * kDeadAfterHeartbeats;
}

Duration Membership::heartbeat() const {
  return announces_views_ ? std::min(settings_.heartbeat, kLongestHeartbeatWithViews)
                          : settings_.heartbeat;
}

MonoTime Membership::next_timer() const {
  MonoTime next = next_heartbeat();
  for (const auto& [id, member] : members_) {
    if (member.state == MemberState::kUnknown || member.state == MemberState::kDead) {
      continue;
    }
    next = std::min(next, member.last_heard + (member.state == MemberState::kLive ? suspect_after()
                                                                                  : dead_after()));
  }
  return fresh_ ? next : std::min(next, resumed_at_ + dead_after());
}

const std::vector<GatewayId>& Membership::owner_candidates() const {
  return fresh_ ? live_ : no_gateways_;
}

const std::vector<GatewayId>& Membership::IssuerCandidates(MonoTime now) const {
  const bool heard_the_live = now - resumed_at_ >= heartbeat() * kHeardAfterHeartbeats;
  return heard_the_live ? live_ : owner_candidates();
}

bool Membership::IsLive(const Member& member) {
  const bool heard = member.state == MemberState::kLive || member.state == MemberState::kSuspect;
  return heard && member.can_own;
}

void Membership::UpdateLiveGateways() {
  live_.clear();
  if (!leaving_ && own_status_.can_own) {
    live_.push_back(settings_.id);
  }
  for (const auto& [id, member] : members_) {
    if (IsLive(member)) {
      live_.push_back(id);
    }
  }
  std::sort(live_.begin(), live_.end());
}

void Membership::SetOwnStatus(const OwnStatus& self) {
  const bool changed = own_status_.can_own != self.can_own;
  own_status_ = self;
  if (changed) {
    UpdateLiveGateways();
  }
}

std::optional<GatewayId> Membership::LastHeard() const {
  std::optional<GatewayId> last;
  MonoTime last_heard;
  for (const auto& [id, member] : members_) {
    const bool heard = member.state == MemberState::kLive || member.state == MemberState::kOneWay;
    if (heard && member.ready && (!last || member.last_heard > last_heard)) {
      last = id;
      last_heard = member.last_heard;
    }
  }
  return last;
}

bool Membership::IsOutdated(const GatewayId& from, Incarnation incarnation) const {
  const auto member = members_.find(from);
  return member != members_.end() && incarnation < member->second.incarnation;
}

void Membership::DetectPause(MonoTime now) {
  const bool paused = now - last_event_ > heartbeat() * kPausedAfterHeartbeats;
  last_event_ = std::max(last_event_, now);
  if (!paused) {
    return;
  }
  // The peers seemed silent only because this process did not read their messages. The silence
  // limits of all peers therefore start again now, and each peer must show again that it receives
  // the heartbeats of this gateway.
  resumed_at_ = now;
  fresh_ = false;
  awaited_peers_.clear();
  for (auto& [id, member] : members_) {
    member.echoed = false;
    if (member.state == MemberState::kUnknown || member.state == MemberState::kDead) {
      continue;
    }
    member.last_heard = now;
    awaited_peers_[id] = true;
  }
}

MemberState Membership::StateOf(MonoTime now, const Member& member) const {
  if (member.incarnation == Incarnation()) {
    return MemberState::kUnknown;
  }
  if (now - member.last_heard >= dead_after()) {
    return MemberState::kDead;
  }
  if (member.leaving) {
    return MemberState::kLeaving;
  }
  // The echo is compared with the time when the heartbeat that carried it arrived, not with `now`,
  // because the checks above and below already count the time since that heartbeat.
  if (!member.echoed || member.last_heard - member.last_echo >= dead_after()) {
    return MemberState::kOneWay;
  }
  return now - member.last_heard >= suspect_after() ? MemberState::kSuspect : MemberState::kLive;
}

void Membership::UpdateStates(MonoTime now, MembershipOutput* output) {
  bool live_changed = false;
  for (auto& [id, member] : members_) {
    const MemberState state = StateOf(now, member);
    if (state != member.state) {
      has_view_news_ = true;
      member.state = state;
      output->changes.push_back({id, state, false});
    }
    if (state != MemberState::kUnknown && state != MemberState::kOneWay) {
      awaited_peers_.erase(id);
    }
    const bool live = IsLive(member);
    live_changed = live_changed || live != member.counted_live;
    member.counted_live = live;
  }
  if (live_changed) {
    UpdateLiveGateways();
  }
  if (!fresh_ && (awaited_peers_.empty() || now - resumed_at_ >= dead_after())) {
    fresh_ = true;
    awaited_peers_.clear();
  }
  RemoveUnlistedPeers(output);
}

void Membership::AnnounceViews(MonoTime now) {
  if (!announces_views_) {
    announces_views_ = true;
    UpdateAnnouncedView(now);
  }
}

void Membership::UpdateViewOf(const Heartbeat& heartbeat, Member* member) {
  // A process that starts may get its configuration late, but its peers need its support.
  announces_views_ = announces_views_ || heartbeat.view_generation > 0;
  const bool is_new = heartbeat.view_generation != member->view_generation;
  if (heartbeat.view != nullptr) {
    member->view = heartbeat.view;
    has_view_news_ = has_view_news_ || is_new;
  } else if (is_new) {
    member->view = nullptr;
  }
  member->view_generation = heartbeat.view_generation;
  member->view_settled = heartbeat.view_settled;
  member->unreleased = heartbeat.unreleased;
}

void Membership::CheckFormerProcessForgotten() {
  if (known_to_all_ || (settings_.gateways_listed_by_discovery && !has_vm_list_)) {
    return;
  }
  known_to_all_ = std::all_of(roster_.begin(), roster_.end(), [this](const GatewayId& id) {
    const auto member = members_.find(id);
    return id == settings_.id || (member != members_.end() && member->second.echoed);
  });
  if (known_to_all_) {
    views_.OnFormerProcessForgotten();
  }
}

void Membership::UpdateAnnouncedView(MonoTime now) {
  const std::vector<GatewayId>& candidates = IssuerCandidates(now);
  if (!announces_views_ || (views_.generation() > 0 && candidates == views_.candidates())) {
    return;
  }
  std::map<GatewayId, MonoTime> last_heard;
  for (const auto& [id, member] : members_) {
    if (!member.leaving) {
      last_heard[id] = member.last_heard;
    }
  }
  views_.SetCandidates(now, candidates, last_heard);
  has_view_news_ = true;
}

MonoTime Membership::next_heartbeat() const {
  if (!announces_views_ || !has_view_news_) {
    return next_heartbeat_;
  }
  const Duration interval =
      std::max(heartbeat() / kMaxViewNewsFactor,
               heartbeat() * static_cast<int>(members_.size()) / kPeersWithoutEarlyNews);
  return std::min(next_heartbeat_, last_heartbeats_ + interval);
}

void Membership::ReplaceSilentConnection(MonoTime now,
                                         Member* member,
                                         MembershipOutput* output) const {
  if (member->connected == MonoTime()) {
    member->connected = now;
  }
  MonoTime since = std::max(member->connected, resumed_at_);
  if (member->echoed) {
    since = std::max(since, member->last_echo);
  }
  const int doublings = std::min(member->replacements, kMaxReplacementDoublings);
  if (now - since < dead_after() * (1 << doublings)) {
    return;
  }
  output->replacements.push_back({member->id, now - since});
  member->connected = now;
  ++member->replacements;
}

void Membership::SendHeartbeats(MonoTime now, MembershipOutput* output) {
  next_heartbeat_ = now + heartbeat();
  last_heartbeats_ = now;
  UpdateAnnouncedView(now);
  has_view_news_ = false;
  const uint64_t settled = views_.Settled(now);
  const std::vector<GatewayHash> unreleased = views_.Unreleased(now);
  for (auto& [id, member] : members_) {
    ReplaceSilentConnection(now, &member, output);
    Heartbeat heartbeat;
    heartbeat.zone = settings_.zone;
    heartbeat.address = settings_.address;
    heartbeat.peer_port = settings_.peer_port;
    heartbeat.version = own_status_.version;
    heartbeat.ready = own_status_.ready && !leaving_;
    heartbeat.can_own = own_status_.can_own;
    heartbeat.leaving = leaving_;
    heartbeat.sent = now;
    heartbeat.echo = member.last_sent;
    heartbeat.echo_incarnation = member.incarnation;
    heartbeat.view_generation = views_.generation();
    heartbeat.view_settled = settled;
    heartbeat.unreleased = unreleased;
    if (views_.generation() > 0 && member.view_echoed != views_.generation()) {
      heartbeat.view = views_.view();
    }
    heartbeat.view_echo = member.view == nullptr ? 0 : member.view_generation;
    output->heartbeats.emplace_back(id, std::move(heartbeat));
  }
}

void Membership::SetAddress(Member* member,
                            const std::string& address,
                            uint16_t port,
                            MembershipOutput* output) const {
  if (address.empty() || (member->address == address && member->port == port)) {
    return;
  }
  member->address = address;
  member->port = port;
  output->addresses.push_back({member->id, address, port});
}

void Membership::RemoveUnlistedPeers(MembershipOutput* output) {
  for (auto member = members_.begin(); member != members_.end();) {
    const MemberState state = member->second.state;
    const bool silent = state == MemberState::kDead || state == MemberState::kUnknown;
    if (has_vm_list_ && silent && !member->second.listed) {
      output->addresses.push_back({member->first, "", 0});
      awaited_peers_.erase(member->first);
      member = members_.erase(member);
    } else {
      ++member;
    }
  }
}

}  // namespace jd
