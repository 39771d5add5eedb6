#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cluster/ownership.h"
#include "cluster/rollout.h"

namespace jd {

/// How the endpoints of a version answer.
struct VersionBehaviour {
  double failures = 0.003;  ///< Part of the calls that fail.
  double slow = 0.03;       ///< Part of the answers that take five times as long.
};

/// Gateways in three zones that carry out one order, with links, a store and endpoints that the
/// test controls. A call ends as soon as it is sent.
class RolloutNetwork {
 public:
  static constexpr int kZones = 3;
  static constexpr Duration kStep = 100ms;
  static constexpr Duration kLinkDelay = 50ms;
  /// How long a dead gateway still counts as live.
  static constexpr Duration kDeathDetection = 5s;
  static constexpr int kEndpointsPerZone = 4;
  static constexpr int kShownBad = 50;
  /// A gateway is in touch after this time without disturbance.
  static constexpr Duration kStable = 3s;

  struct Gateway {
    GatewayId id;
    ZoneId zone;
    int zone_index = 0;
    std::unique_ptr<Rollout> rollout;
    std::unique_ptr<RolloutGate> gate;
    uint64_t generation = 0;
    uint64_t runs = 1;
    bool alive = true;
    bool cut = false;         ///< From the other gateways and the store.
    MonoTime disturbed;       ///< When it was started, or cut off or connected again.
    int64_t bad_answers = 0;  ///< That this run has seen.
    std::optional<MonoTime> died;
    double calls_due = 0;
  };

  RolloutNetwork(int gateways, double calls_per_second, Duration duration, uint64_t seed)
      : rate(calls_per_second / gateways), random(seed) {
    order.service = ServiceId("s");
    order.to = SoftwareVersion("2");
    order.duration = duration;
    order.row = RowVersion(10);
    order.era = StoreEra(1);
    for (int i = 0; i < gateways; ++i) {
      Gateway gateway;
      gateway.id = GatewayId("g" + std::to_string(i));
      gateway.zone_index = i % kZones;
      gateway.zone = ZoneId("z" + std::to_string(gateway.zone_index));
      this->gateways.push_back(std::move(gateway));
      StartGateway(&this->gateways.back());
    }
  }

  void Run(Duration time) {
    for (const MonoTime end = now + time; now < end; now += kStep) {
      Step();
    }
  }
  /// Runs until a gateway has stopped to use the version, or until the time is over.
  bool RunUntilBad(Duration time) {
    for (const MonoTime end = now + time; now < end; now += kStep) {
      Step();
      if (std::any_of(gateways.begin(), gateways.end(),
                      [](const Gateway& gateway) { return gateway.rollout->bad(); })) {
        return true;
      }
    }
    return false;
  }
  void Kill(Gateway* gateway) {
    gateway->alive = false;
    gateway->died = now;
  }
  void Restart(Gateway* gateway) {
    gateway->alive = true;
    gateway->bad_answers = 0;
    gateway->disturbed = now;
    gateway->died.reset();
    ++gateway->runs;
    StartGateway(gateway);
  }
  void SetCut(Gateway* gateway, bool cut) {
    gateway->cut = cut;
    gateway->disturbed = now;
  }
  /// Collectors of a zone as its gateways see them, best first.
  std::vector<GatewayId> Collectors(int zone) const {
    std::vector<GatewayId> candidates;
    for (const Gateway& gateway : gateways) {
      const bool counts = gateway.alive || now - *gateway.died < kDeathDetection;
      if (gateway.zone_index == zone && counts) {
        candidates.push_back(gateway.id);
      }
    }
    std::vector<GatewayId> collectors;
    while (collectors.size() < 2 && !candidates.empty()) {
      collectors.push_back(OwnerOf(PoolId("s"), candidates));
      std::erase(candidates, collectors.back());
    }
    return collectors;
  }
  Gateway* Find(const GatewayId& id) {
    return &gateways[static_cast<size_t>(std::stoi(id.value.substr(1)))];
  }
  /// Whether the requests to the version are within the bounds.
  bool ExposureIsKept() const {
    return static_cast<double>(new_calls) <=
           bounds.exposure_share * static_cast<double>(calls) + bounds.exposure_slack;
  }

  RolloutBounds bounds;
  RolloutOrder order;
  MonoTime now = MonoTime() + 1000s;
  double rate;  ///< Calls per second of a gateway.
  std::mt19937_64 random;
  std::vector<Gateway> gateways;
  /// When the endpoints of the ordered version are ready.
  MonoTime new_ready = now + 3s;
  VersionBehaviour old_version;
  VersionBehaviour new_version;
  /// Behaviour of the ordered version on the route "b", if it differs.
  std::optional<VersionBehaviour> new_version_on_b;
  /// Endpoints of the ordered version that fail by themselves.
  std::map<EndpointId, VersionBehaviour> sick;
  bool store_down = false;
  double lost_replies = 0;

  // What the endpoints and the store have seen.
  int64_t calls = 0;
  int64_t new_calls = 0;
  int64_t bad_answers = 0;            ///< Failures and slow answers of the ordered version.
  std::optional<MonoTime> shown_bad;  ///< When there were kShownBad of them.
  int64_t calls_after_rollback = 0;   ///< Sent later than `rollback` after `shown_bad`, uncut.
  int64_t old_calls_after_completed = 0;
  RolloutStatusRow status;  ///< Version 0: there is none.
  std::vector<RolloutState> written;
  int64_t store_calls = 0;
  int64_t messages = 0;

 private:
  struct Event {
    MonoTime due;
    std::function<void()> run;
  };

  void StartGateway(Gateway* gateway) {
    RolloutMember member{gateway->id, Incarnation(gateway->runs), gateway->zone, bounds};
    gateway->rollout = std::make_unique<Rollout>(now, member, order);
    gateway->gate = std::make_unique<RolloutGate>(random());
    gateway->generation = 0;
  }

  bool InTouch(const Gateway& gateway) const {
    return Reachable(gateway) && now - gateway.disturbed > kStable;
  }
  // Counts only what gateways have seen that can still tell it.
  void UpdateShownBad() {
    int64_t known = 0;
    for (const Gateway& gateway : gateways) {
      known += InTouch(gateway) ? gateway.bad_answers : 0;
    }
    if (known < kShownBad) {
      shown_bad.reset();
    } else if (!shown_bad) {
      shown_bad = now;
    }
  }

  bool Reachable(const Gateway& gateway) const { return gateway.alive && !gateway.cut; }

  void Step() {
    for (int zone = 0; zone < kZones; ++zone) {
      collectors_[zone] = Collectors(zone);
    }
    while (!events_.empty() && events_.front().due <= now) {
      const std::function<void()> run = std::move(events_.front().run);
      events_.pop_front();
      run();
    }
    for (Gateway& gateway : gateways) {
      if (!gateway.alive) {
        continue;
      }
      UpdateGate(&gateway);
      const double seconds = std::chrono::duration<double>(kStep).count();
      for (gateway.calls_due += rate * seconds * 2 * Uniform(); gateway.calls_due >= 1;
           gateway.calls_due -= 1) {
        SendCall(&gateway);
      }
      const std::optional<MonoTime> due = gateway.rollout->next_timer();
      if (due && *due <= now) {
        RolloutOutput output;
        gateway.rollout->OnTimer(now, SituationOf(gateway), &output);
        Deliver(gateway, std::move(output));
        gateway.gate->SetUsualLatencies(order.service, gateway.rollout->latest_counts());
      }
    }
    UpdateShownBad();
  }

  void UpdateGate(Gateway* gateway) {
    if (gateway->generation != gateway->rollout->generation()) {
      gateway->generation = gateway->rollout->generation();
      gateway->gate->Start(order.service);
      ServiceView view;
      view.id = order.service;
      for (int i = 0; i < kEndpointsPerZone; ++i) {
        view.endpoints.push_back({Endpoint(*gateway, true, i), {}, 1, true, VersionSide::kNew});
        view.endpoints.push_back({Endpoint(*gateway, false, i), {}, 1, true, VersionSide::kOld});
      }
      gateway->gate->SetService(view);
    }
    gateway->gate->SetShare(order.service, gateway->rollout->share(now));
  }

  static EndpointId Endpoint(const Gateway& gateway, bool is_new, int index) {
    return EndpointId(gateway.zone.value + (is_new ? "-new-" : "-old-") + std::to_string(index));
  }

  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(random); }

  void SendCall(Gateway* gateway) {
    VersionSide side = gateway->gate->Draw(order.service);
    if (gateway->rollout->use() != RolloutUse::kSplit) {
      side =
          gateway->rollout->use() == RolloutUse::kNewOnly ? VersionSide::kNew : VersionSide::kOld;
    }
    if (side == VersionSide::kNew && now < new_ready) {
      gateway->gate->OnNoRoom(order.service);
      side = VersionSide::kOld;
    }
    const bool is_new = side == VersionSide::kNew;
    const EndpointId endpoint =
        Endpoint(*gateway, is_new, static_cast<int>(random() % kEndpointsPerZone));
    gateway->gate->OnSent(order.service, endpoint);
    const bool on_b = Uniform() < 0.3;
    const VersionBehaviour behaviour = BehaviourOf(endpoint, is_new, on_b);
    AttemptResult result;
    result.outcome = AttemptOutcome::kAnswered;
    result.status = Uniform() < behaviour.failures ? 500 : 200;
    const bool slow = Uniform() < behaviour.slow;
    result.latency = slow ? 500ms : 100ms;
    ++calls;
    if (is_new) {
      ++new_calls;
      const bool version_is_bad = new_version.failures >= 0.1 || new_version.slow >= 0.1;
      const int64_t bad = version_is_bad && (result.status == 500 || slow) ? 1 : 0;
      bad_answers += bad;
      gateway->bad_answers += bad;
      const bool late = shown_bad && now - *shown_bad > bounds.rollback;
      calls_after_rollback += late && InTouch(*gateway) ? 1 : 0;
    } else if (status.version != RowVersion() && status.state == RolloutState::kCompleted &&
               InTouch(*gateway)) {
      ++old_calls_after_completed;
    }
    gateway->gate->OnAttemptEnded(order.service, endpoint, ProfileId(on_b ? "b" : "a"), result);
  }

  VersionBehaviour BehaviourOf(const EndpointId& endpoint, bool is_new, bool on_b) const {
    const auto own = sick.find(endpoint);
    if (own != sick.end()) {
      return own->second;
    }
    if (!is_new) {
      return old_version;
    }
    return on_b ? new_version_on_b.value_or(new_version) : new_version;
  }

  RolloutSituation SituationOf(const Gateway& gateway) const {
    RolloutSituation situation;
    situation.collectors = collectors_.at(gateway.zone_index);
    if (gateway.cut) {
      situation.collectors = {gateway.id};
    }
    situation.zones = kZones;
    situation.zone_rank = gateway.zone_index;
    situation.counts = gateway.gate->counts(order.service);
    return situation;
  }

  void Send(const Gateway& from, const GatewayId& to, std::function<void(Gateway*)> receive) {
    ++messages;
    if (!Reachable(from)) {
      return;
    }
    events_.push_back({now + kLinkDelay, [this, to, receive = std::move(receive)] {
                         Gateway* gateway = Find(to);
                         if (Reachable(*gateway)) {
                           receive(gateway);
                         }
                       }});
  }

  void SendEvidence(const Gateway& from, const GatewayId& to, const VersionEvidence& evidence) {
    Send(from, to, [this, id = from.id, runs = from.runs, evidence](Gateway* gateway) {
      RolloutOutput output;
      gateway->rollout->OnEvidence(now, id, Incarnation(runs), evidence, &output);
      Deliver(*gateway, std::move(output));
    });
  }

  void SendNotice(const Gateway& from, const GatewayId& to, const RolloutNotice& notice) {
    Send(from, to, [notice](Gateway* gateway) { gateway->rollout->OnNotice(notice); });
  }

  void Deliver(const Gateway& from, RolloutOutput output) {
    for (const auto& [to, report] : output.reports) {
      SendEvidence(from, to, report);
    }
    for (const auto& [to, reply] : output.replies) {
      SendNotice(from, to, reply);
    }
    for (const Gateway& other : gateways) {
      if (other.id == from.id) {
        continue;
      }
      for (const VersionEvidence& sum : output.sums) {
        SendEvidence(from, other.id, sum);
      }
      for (const RolloutNotice& notice : output.notices) {
        SendNotice(from, other.id, notice);
      }
    }
    for (const RolloutStatusWrite& write : output.writes) {
      Write(from, write);
    }
  }

  void Write(const Gateway& from, const RolloutStatusWrite& write) {
    ++store_calls;
    RolloutWriteResult result;
    result.write = write;
    if (Reachable(from) && !store_down) {
      result = Apply(write);
      if (Uniform() < lost_replies) {
        result.outcome = RolloutWriteOutcome::kFailed;
      }
    }
    events_.push_back({now + kLinkDelay, [this, id = from.id, result] {
                         Gateway* gateway = Find(id);
                         if (gateway->alive) {
                           RolloutOutput output;
                           gateway->rollout->OnWriteResult(now, result, &output);
                           Deliver(*gateway, std::move(output));
                         }
                       }});
  }

  RolloutWriteResult Apply(const RolloutStatusWrite& write) {
    RolloutWriteResult result;
    result.write = write;
    if (write.expected != status.version) {
      result.outcome = RolloutWriteOutcome::kConflict;
      result.row = status;
      return result;
    }
    status = {write.rollout.to, write.state, RowVersion(next_row_++)};
    written.push_back(write.state);
    result.outcome = RolloutWriteOutcome::kWritten;
    result.row = status;
    return result;
  }

  uint64_t next_row_ = 11;
  std::deque<Event> events_;
  std::map<int, std::vector<GatewayId>> collectors_;  ///< At the beginning of the step.
};

}  // namespace jd
