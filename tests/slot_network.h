#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cluster/slot_owner.h"
#include "policy/slot_holder.h"

namespace jd {

/// Simulates gateways that lend each other the slots of one pool. The test sets the faults of the
/// network, the gateways and their clocks.
class SlotNetwork {
 public:
  struct Gateway {
    GatewayId id;
    ZoneId zone;
    double clock_rate = 1.0;   ///< Rate of its clock relative to `now`.
    Duration clock_offset{0};  ///< Offset of its clock.
    Incarnation incarnation{1};
    std::optional<SlotHolder> holder;
    std::optional<SlotOwner> owner;
    size_t assumed_owner = 0;  ///< Index of the gateway that it considers the owner of the pool.
    MonoTime paused_until;     ///< Until then it runs no iterations and receives no messages.
    double call_rate = 0;      ///< Rate of new calls per millisecond.
    int32_t queued_calls = 0;
    std::multimap<MonoTime, EndpointId> calls;  ///< Calls in flight by end time.
  };
  struct Message {
    MonoTime delivery_time;
    size_t from, to;
    Incarnation incarnation;
    std::variant<SlotRequest, SlotGrant> body;
  };

  SlotNetwork(size_t gateways, size_t endpoints, int32_t slots, uint64_t seed) : random(seed) {
    view.id = ServiceId("records");
    for (size_t i = 0; i < endpoints; ++i) {
      view.endpoints.push_back({EndpointId("records/" + std::to_string(i)), Zone(i), slots, true});
    }
    for (size_t i = 0; i < gateways; ++i) {
      roster.emplace_back("g" + std::to_string(i));
    }
    nodes.resize(gateways);
    for (size_t i = 0; i < gateways; ++i) {
      nodes[i].id = roster[i];
      nodes[i].zone = Zone(i);
      Restart(i);
    }
  }

  static ZoneId Zone(size_t i) { return ZoneId("z" + std::to_string(i % 3)); }
  /// Returns true with probability `p`.
  bool Chance(double p) { return std::uniform_real_distribution<>(0, 1)(random) < p; }
  /// Returns the time by the clock of a gateway.
  MonoTime LocalTime(size_t i) const {
    return MonoTime(Scale(now.time_since_epoch(), nodes[i].clock_rate) + nodes[i].clock_offset);
  }

  /// Restarts a gateway, which loses its state and calls.
  void Restart(size_t i) {
    Gateway& node = nodes[i];
    node.incarnation = Incarnation(node.incarnation.value + 1);
    node.calls.clear();
    node.queued_calls = 0;
    node.holder.emplace(node.id, node.zone, node.incarnation);
    node.owner.emplace(node.incarnation);
    node.owner->SetRoster(LocalTime(i), roster);
    node.holder->SetRoster(LocalTime(i), roster);
    SetPool(i);
    SetAssumedOwner(i, node.assumed_owner);
  }

  void SetPool(size_t i) {
    nodes[i].holder->SetService(LocalTime(i), view);
    nodes[i].owner->SetPool(LocalTime(i), SplitIntoPools(view)[0], {});
  }

  /// Sets the gateway that gateway `i` considers the owner of the pool.
  void SetAssumedOwner(size_t i, size_t owner) {
    nodes[i].assumed_owner = owner;
    if (owner == i) {
      nodes[i].owner->TakeOwnership(LocalTime(i), pool);
    } else {
      nodes[i].owner->DropOwnership(LocalTime(i), pool);
    }
  }

  /// Advances the time by `step`, delivers the messages that are due, and runs one event loop
  /// iteration of each gateway that is not paused.
  void Step(Duration step) {
    now += step;
    std::vector<Message> due;
    for (auto message = messages.begin(); message != messages.end();) {
      const bool ready = message->delivery_time <= now && nodes[message->to].paused_until <= now;
      if (ready) {
        due.push_back(std::move(*message));
      }
      message = ready ? messages.erase(message) : std::next(message);
    }
    for (const Message& message : due) {
      Deliver(message);
    }
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].paused_until <= now) {
        RunIteration(i, step);
      }
    }
  }

  /// Returns the number of slots of an endpoint that all gateways together may use.
  int32_t UsableSlots(const EndpointId& endpoint) const {
    int32_t sum = 0;
    for (size_t i = 0; i < nodes.size(); ++i) {
      sum += nodes[i].holder->usable_slots(LocalTime(i), endpoint);
    }
    return sum;
  }
  /// Returns the number of slots of the pool that all gateways together may use.
  int32_t UsableSlotsInPool() const {
    int32_t sum = 0;
    for (const EndpointView& endpoint : view.endpoints) {
      sum += UsableSlots(endpoint.id);
    }
    return sum;
  }

  RandomEngine random;
  MonoTime now = MonoTime(1000s);
  ServiceView view;
  const PoolId pool{"records#0"};
  std::vector<GatewayId> roster;
  std::vector<Gateway> nodes;
  std::vector<Message> messages;
  /// Pairs of sender and receiver between which all messages are lost.
  std::set<std::pair<size_t, size_t>> broken_links;
  double loss = 0;  ///< Probability that a message is lost.
  Duration delay = 500us;
  Duration jitter{0};                        ///< Maximum of the random addition to `delay`.
  Duration service_time = 10ms;              ///< Mean.
  uint64_t messages_sent = 0;                ///< Number of messages sent.
  std::map<EndpointId, LoadReport> reports;  ///< Load reports in the responses of each endpoint.

 private:
  void Deliver(const Message& message) {
    Gateway& node = nodes[message.to];
    const MonoTime local = LocalTime(message.to);
    const GatewayId& from = nodes[message.from].id;
    if (const auto* request = std::get_if<SlotRequest>(&message.body)) {
      node.owner->OnRequest(local, from, message.incarnation, *request);
    } else {
      node.holder->OnGrant(local, from, std::get<SlotGrant>(message.body));
    }
  }

  void Send(size_t from, const GatewayId& to, std::variant<SlotRequest, SlotGrant> body) {
    size_t target = 0;
    while (roster[target] != to) {
      ++target;
    }
    ++messages_sent;
    if (broken_links.contains({from, target}) || Chance(loss)) {
      return;
    }
    Duration wait = from == target ? Duration(0) : delay;
    wait += Duration(std::uniform_int_distribution<int64_t>(0, jitter.count())(random));
    messages.push_back({now + wait, from, target, nodes[from].incarnation, std::move(body)});
  }

  /// Runs one event loop iteration of a gateway: ends and starts calls, and sends messages.
  void RunIteration(size_t i, Duration step) {
    Gateway& node = nodes[i];
    SlotHolder& holder = *node.holder;
    const MonoTime local = LocalTime(i);
    holder.SetOwner(local, pool, roster[node.assumed_owner], nodes[node.assumed_owner].incarnation);
    while (!node.calls.empty() && node.calls.begin()->first <= now) {
      AttemptResult result;
      result.outcome = AttemptOutcome::kAnswered;
      result.latency = service_time;
      holder.Release(local, node.calls.begin()->second, result);
      const auto report = reports.find(node.calls.begin()->second);
      if (report != reports.end()) {
        holder.OnLoadReport(local, report->first, report->second);
      }
      node.calls.erase(node.calls.begin());
    }
    node.queued_calls += std::poisson_distribution<int32_t>(
        node.call_rate * static_cast<double>(step.count()) / 1000 + 1e-9)(random);
    const AcquireRequest request{view.id, node.zone, local + 2s, {}};
    while (node.queued_calls > 0) {
      const auto endpoint = holder.Acquire(local, request, random);
      if (!endpoint) {
        break;
      }
      --node.queued_calls;
      const double factor = std::exponential_distribution<>(1.0)(random);
      node.calls.emplace(now + Scale(service_time, factor), *endpoint);
    }
    holder.SetQueueLength(local, view.id, node.queued_calls);
    for (OutgoingSlotRequest& out : holder.TakeRequests(local)) {
      Send(i, out.to, std::move(out.request));
    }
    for (OutgoingSlotGrant& out : node.owner->TakeGrants(local)) {
      Send(i, out.to, std::move(out.grant));
    }
  }
};

}  // namespace jd
