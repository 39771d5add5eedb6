#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cluster/node_quotas.h"
#include "cluster/view_announcer.h"
#include "common/workspace_table.h"
#include "rpc/convert.h"
#include "rpc/frame.h"

namespace jd {

/// A token bucket that sees all calls at once: what a quota could allow with full knowledge.
struct ReferenceBucket {
  Quota quota;
  double tokens = 0;
  MonoTime refilled;

  bool Take(MonoTime now) {
    const double elapsed = std::chrono::duration<double>(now - refilled).count();
    tokens = std::min(tokens + quota.calls_per_second * elapsed, std::max(quota.burst, 1.0));
    refilled = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
};

/// Simulates the quotas of gateways in three zones, or in one. The test sets the faults of the
/// gateways and of the links between them. Members are known with a delay, as from heartbeats.
class QuotaNetwork {
 public:
  struct Gateway {
    GatewayId id;
    size_t zone = 0;
    std::unique_ptr<IssuerSupport> support;
    std::unique_ptr<ViewAnnouncer> views;
    std::unique_ptr<NodeQuotas> quotas;
    Incarnation incarnation;
    std::vector<MonoTime> heard;             ///< When heartbeats of the others arrived.
    std::vector<uint64_t> seen_generations;  ///< Of the views of the others.
    std::vector<Incarnation> seen_incarnations;
    MonoTime next_members_update;
    bool alive = true;
    MonoTime paused_until;
    int side = 0;  ///< Gateways of different sides do not reach each other.
    std::optional<MonoTime> next_timer;
  };
  struct Message {
    size_t from, to;
    PeerBody body;
  };

  static constexpr Duration kTick = 1ms;
  static constexpr Duration kMembershipDelay = 1s;
  /// Rarer than in a deployment, to save time.
  static constexpr Duration kHeartbeat = 700ms;
  static constexpr Duration kEchoAge = 200ms;
  static constexpr Duration kSupportLifetime = 1s;
  /// Difference between the times at which two gateways learn of a change of the members.
  static constexpr Duration kMembershipPhase = 37ms;

  QuotaNetwork(size_t gateways, size_t zones, uint64_t seed) : zones_(zones), random(seed) {
    for (size_t i = 0; i < gateways; ++i) {
      AddGateway();
    }
    UpdateMembers();
    SendHeartbeats();
  }

  void AddGateway() {
    const size_t i = nodes.size();
    Gateway gateway;
    gateway.id = GatewayId("gateway-" + std::to_string(i));
    gateway.zone = i % zones_;
    index_[gateway.id] = i;
    nodes.push_back(std::move(gateway));
    Restart(i);
  }
  void Restart(size_t i) {
    Gateway& gateway = nodes[i];
    gateway.alive = true;
    SetTimer(i, std::nullopt);
    gateway.incarnation = Incarnation(++last_incarnation_);
    next_members_update_ = now;
    gateway.next_members_update = now + (i * kMembershipPhase) % kMembershipDelay;
    gateway.heard.clear();
    gateway.seen_generations.clear();
    gateway.seen_incarnations.clear();
    gateway.support = std::make_unique<IssuerSupport>(gateway.id, kSupportLifetime);
    gateway.views = std::make_unique<ViewAnnouncer>(kSupportLifetime);
    gateway.views->Start(now);
    gateway.quotas = std::make_unique<NodeQuotas>(gateway.id, gateway.support.get(), random());
    gateway.quotas->SetConfiguration(configuration);
  }
  void SetQuota(const WorkspaceId& workspace, std::optional<Quota> quota) {
    quotas_[workspace] = quota;
    std::vector<KeyedWorkspace> workspaces;
    for (const auto& [id, limit] : quotas_) {
      workspaces.push_back({id, {"key-" + id.value}, std::nullopt, limit});
    }
    auto changed = std::make_shared<Configuration>();
    changed->workspace_table = std::make_shared<WorkspaceTable>(std::move(workspaces));
    configuration = std::move(changed);
  }
  void ApplyConfiguration() {
    for (Gateway& gateway : nodes) {
      gateway.quotas->SetConfiguration(configuration);
    }
  }
  /// Loses all messages from one gateway to another, while those of the other direction arrive.
  void Silence(size_t from, size_t to) { silent_.insert({from, to}); }
  void EndSilences() { silent_.clear(); }
  /// Tells each gateway the members that it would know by now.
  void UpdateMembers() {
    for (size_t i = 0; i < nodes.size(); ++i) {
      UpdateMembersOf(i);
    }
  }
  void UpdateMembersOf(size_t self) {
    Gateway& gateway = nodes[self];
    gateway.next_members_update += kMembershipDelay;
    if (!gateway.alive || gateway.paused_until > now) {
      return;
    }
    std::vector<std::vector<GatewayId>> listed(zones_);
    std::vector<GatewayId> issuers;
    std::vector<GatewayId> contacts;
    for (size_t i = 0; i < nodes.size(); ++i) {
      listed[nodes[i].zone].push_back(nodes[i].id);
      if (i == self || (nodes[i].zone == gateway.zone && Reaches(i, self) && Reaches(self, i))) {
        issuers.push_back(nodes[i].id);
      }
    }
    std::sort(issuers.begin(), issuers.end());
    for (size_t zone = 0; zone < zones_; ++zone) {
      // Any listed gateway of the zone, whether it is up or not.
      const auto any = std::uniform_int_distribution<size_t>(0, listed[zone].size() - 1)(random);
      if (zone != gateway.zone) {
        contacts.push_back(listed[zone][any]);
      }
    }
    if (issuers != gateway.views->candidates()) {
      std::map<GatewayId, MonoTime> last_heard;
      for (size_t i = 0; i < gateway.heard.size(); ++i) {
        if (gateway.heard[i] != MonoTime()) {
          last_heard[nodes[i].id] = gateway.heard[i];
        }
      }
      gateway.views->SetCandidates(now, issuers, last_heard);
    }
    SetOwnView(&gateway);
    gateway.quotas->SetDeployment(nodes.size(), std::move(contacts));
    gateway.quotas->SetIssuers(now, issuers);
  }
  /// Does the same for the gateways whose turn it is.
  void UpdateDueMembers() {
    next_members_update_ = MonoTime::max();
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (now >= nodes[i].next_members_update) {
        UpdateMembersOf(i);
      }
      next_members_update_ = std::min(next_members_update_, nodes[i].next_members_update);
    }
  }
  /// Each gateway announces its view to those of its zone that it reaches.
  void SendHeartbeats() {
    next_heartbeats_ = now + kHeartbeat;
    for (size_t from = 0; from < nodes.size(); ++from) {
      Gateway& sender = nodes[from];
      if (!sender.alive || sender.paused_until > now) {
        continue;
      }
      SetOwnView(&sender);
      for (size_t to = sender.zone; to < nodes.size(); to += zones_) {
        if (to != from && nodes[to].paused_until <= now && Reaches(from, to)) {
          SendHeartbeat(from, to);
        }
      }
    }
  }

  /// A call arrives at a gateway.
  /// @return whether it was sent at once.
  void Call(size_t i, const WorkspaceId& workspace) {
    Gateway& gateway = nodes[i];
    if (!gateway.alive || gateway.paused_until > now) {
      ++lost;
      return;
    }
    CallRequest request;
    request.id = CallId(++last_call_);
    request.caller_key = "key-" + workspace.value;
    workspaces_[request.id] = workspace;
    Duration retry_after{0};
    const QuotaAdmission admission = gateway.quotas->Admit(now, request, &retry_after);
    if (admission == QuotaAdmission::kAdmitted) {
      Send(&gateway, request.id);
    } else if (admission == QuotaAdmission::kRefused) {
      ++refused;
      retry_afters.push_back(retry_after);
    } else {
      ++waited;
    }
    Flush(i);
  }
  /// Lets one tick of time pass.
  void Step() {
    now += kTick;
    if (now >= next_members_update_) {
      UpdateDueMembers();
    }
    if (now >= next_heartbeats_) {
      SendHeartbeats();
    }
    while (!messages_.empty() && messages_.begin()->first <= now) {
      const Message message = std::move(messages_.begin()->second);
      messages_.erase(messages_.begin());
      Deliver(message);
    }
    while (!timers_.empty() && timers_.begin()->first <= now) {
      const size_t i = timers_.begin()->second;
      Gateway& gateway = nodes[i];
      if (gateway.paused_until > now) {
        SetTimer(i, gateway.paused_until);
      } else if (!gateway.alive) {
        SetTimer(i, std::nullopt);
      } else {
        gateway.quotas->OnTimer(now);
        Flush(i);
      }
    }
  }
  /// Returns the largest number of calls sent in any 5 s that start at `from` or later.
  size_t MostSentInWindow(const WorkspaceId& workspace, MonoTime from, MonoTime until) const {
    const auto found = sent.find(workspace);
    size_t most = 0;
    if (found == sent.end()) {
      return most;
    }
    const std::vector<MonoTime>& times = found->second;
    size_t first = 0;
    for (size_t last = 0; last < times.size() && times[last] < until; ++last) {
      while (times[last] - times[first] >= 5s || times[first] < from) {
        if (++first > last) {
          break;
        }
      }
      most = std::max(most, first <= last ? last - first + 1 : 0);
    }
    return most;
  }
  static double Bound(const Quota& quota) {
    return (quota.calls_per_second * 5 + quota.burst) * 1.1 + 20;
  }

  std::vector<Gateway> nodes;
  ConfigurationPtr configuration = std::make_shared<Configuration>();
  MonoTime now = MonoTime(1000s);
  std::map<WorkspaceId, std::vector<MonoTime>> sent;
  size_t refused = 0;
  size_t waited = 0;
  size_t lost = 0;  ///< Calls to gateways that are down.
  size_t bytes = 0;
  size_t message_count = 0;
  double message_loss = 0;
  std::vector<Duration> retry_afters;

 private:
  void SetOwnView(Gateway* gateway) {
    const ViewAnnouncer& views = *gateway->views;
    IssuerSupport::Announcement own;
    own.generation = views.generation();
    own.view = views.view();
    own.settled = nodes.size() == 1 ? views.generation() : views.Settled(now);
    own.unreleased = views.Unreleased(now);
    gateway->support->SetOwnView(now, own);
  }
  void SendHeartbeat(size_t from, size_t to) {
    const Gateway& sender = nodes[from];
    Gateway& receiver = nodes[to];
    receiver.heard.resize(nodes.size());
    receiver.seen_generations.resize(nodes.size());
    receiver.seen_incarnations.resize(nodes.size());
    receiver.heard[from] = now;
    if (receiver.seen_incarnations[from] != sender.incarnation) {
      receiver.seen_incarnations[from] = sender.incarnation;
      receiver.seen_generations[from] = 0;
      receiver.views->OnStoppedIssuing(sender.id);
    }
    IssuerSupport::Announcement announcement;
    announcement.incarnation = sender.incarnation;
    if (Reaches(to, from)) {
      announcement.generation = sender.views->generation();
      announcement.settled = sender.views->Settled(now);
      announcement.unreleased = sender.views->Unreleased(now);
      announcement.view = sender.views->view();
      announcement.echo = now - kEchoAge;
      if (to < sender.seen_generations.size() &&
          sender.seen_incarnations[to] == receiver.incarnation) {
        receiver.views->OnEcho(sender.id, sender.seen_generations[to]);
      }
      receiver.seen_generations[from] = announcement.generation;
    }
    receiver.support->OnAnnouncement(now, sender.id, announcement);
  }
  void SetTimer(size_t i, std::optional<MonoTime> time) {
    if (nodes[i].next_timer) {
      timers_.erase({*nodes[i].next_timer, i});
    }
    nodes[i].next_timer = time;
    if (time) {
      timers_.emplace(*time, i);
    }
  }
  bool Reaches(size_t from, size_t to) const {
    const Gateway& a = nodes[from];
    const Gateway& b = nodes[to];
    return a.alive && b.alive && a.side == b.side && !silent_.contains({from, to});
  }
  void Send(Gateway* gateway, CallId call) {
    gateway->quotas->OnAttemptStarted(now, call, AttemptId(call.value));
    gateway->quotas->OnAttemptEnded(now, AttemptId(call.value), true);
    gateway->quotas->OnCallEnded(now, call);
    sent[workspaces_.at(call)].push_back(now);
  }
  void Flush(size_t i) {
    Gateway& gateway = nodes[i];
    NodeQuotas::Output output = gateway.quotas->Flush(now);
    for (const QuotaLedger::Decision& decision : output.decisions) {
      if (decision.admitted) {
        Send(&gateway, decision.call);
      } else {
        ++refused;
        retry_afters.push_back(decision.retry_after);
      }
    }
    for (NodeQuotas::Message& message : output.messages) {
      Post(i, std::move(message));
    }
    std::optional<MonoTime> next = gateway.quotas->next_timer();
    if (next) {
      next = std::max(*next, now + kTick);
    }
    SetTimer(i, next);
  }
  void Post(size_t from, NodeQuotas::Message message) {
    const auto to = index_.find(message.to);
    if (to == index_.end()) {
      return;
    }
    const PeerMessage frame{nodes[from].id, Incarnation(1'700'000'000'000'000), {}, message.body};
    bytes += EncodeFrame(ToEnvelope(frame, "", nullptr)).size();
    ++message_count;
    if (std::uniform_real_distribution<>(0, 1)(random) < message_loss) {
      return;
    }
    const bool same_zone = nodes[from].zone == nodes[to->second].zone;
    messages_.emplace(now + (same_zone ? 1ms : 2ms),
                      Message{from, to->second, std::move(message.body)});
  }
  void Deliver(const Message& message) {
    Gateway& to = nodes[message.to];
    if (to.paused_until > now) {
      messages_.emplace(to.paused_until, message);
      return;
    }
    if (!Reaches(message.from, message.to)) {
      return;
    }
    if (const auto* request = std::get_if<QuotaRequest>(&message.body)) {
      to.quotas->OnRequest(now, *request);
    } else if (const auto* grant = std::get_if<QuotaGrant>(&message.body)) {
      to.quotas->OnGrant(now, *grant);
    }
    Flush(message.to);
  }

  size_t zones_;
  std::map<GatewayId, size_t> index_;
  std::map<WorkspaceId, std::optional<Quota>> quotas_;
  std::multimap<MonoTime, Message> messages_;
  std::map<CallId, WorkspaceId> workspaces_;
  std::set<std::pair<MonoTime, size_t>> timers_;
  uint64_t last_call_ = 0;
  MonoTime next_heartbeats_;
  MonoTime next_members_update_;
  std::set<std::pair<size_t, size_t>> silent_;  ///< Senders and receivers.
  uint64_t last_incarnation_ = 0;

 public:
  std::mt19937_64 random;
};

}  // namespace jd
