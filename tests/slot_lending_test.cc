#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "tests/slot_network.h"

namespace jd {
namespace {

enum class Fault {
  kChangeOwnerAtOneGateway,
  kChangeOwnerEverywhere,
  kPause,
  kRestart,
  kBreakLink,
  kRestoreLinks,
  kLoss,
  kDelay,
  kCount
};

void ApplyFault(SlotNetwork* network, Fault fault) {
  const size_t a = network->random() % network->nodes.size();
  const size_t b = network->random() % network->nodes.size();
  switch (fault) {
    case Fault::kChangeOwnerAtOneGateway:
      network->SetAssumedOwner(a, b);
      break;
    case Fault::kChangeOwnerEverywhere:
      for (size_t i = 0; i < network->nodes.size(); ++i) {
        network->SetAssumedOwner(i, a);
      }
      break;
    case Fault::kPause:
      network->nodes[a].paused_until = network->now + Duration(network->random() % 4'000'000);
      break;
    case Fault::kRestart:
      network->Restart(a);
      break;
    case Fault::kBreakLink:
      network->broken_links.emplace(a, b);
      break;
    case Fault::kRestoreLinks:
      network->broken_links.clear();
      break;
    case Fault::kLoss:
      network->loss = network->Chance(0.5) ? 0 : 0.3;
      break;
    default:
      network->jitter = network->Chance(0.5) ? Duration(0) : 300ms;
  }
}

void CheckUsableSlots(const SlotNetwork& network) {
  for (const EndpointView& endpoint : network.view.endpoints) {
    if (network.UsableSlots(endpoint.id) > endpoint.slots) {
      RC_FAIL("more slots of endpoint " + endpoint.id.value + " are usable than it has");
    }
  }
}

void Run(SlotNetwork* network, Duration time) {
  for (const MonoTime end = network->now + time; network->now < end;) {
    network->Step(5ms);
    CheckUsableSlots(*network);
  }
}

// Guards against overload of an endpoint because a slot is lent twice, and against slots that no
// gateway can use again after the faults have ended.
TEST_CASE(
    "under faults no endpoint has more usable slots than slots, and all are usable afterwards",
    "[slot_lending_test]") {
  const bool passed = rc::check([](uint64_t seed) {
    const auto faults = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
        rc::gen::inRange(0, static_cast<int>(Fault::kCount)), rc::gen::inRange(10, 1500)));
    SlotNetwork network(5, 4, 3, seed);
    for (size_t i = 0; i < network.nodes.size(); ++i) {
      SlotNetwork::Gateway& node = network.nodes[i];
      node.clock_rate = 0.96 + 0.08 * static_cast<double>(network.random() % 100) / 100;
      node.clock_offset = Duration(network.random() % 1'000'000);
      node.call_rate = 0.2;
      network.Restart(i);
    }
    Run(&network, 3s);
    for (const auto& [fault, wait] : faults) {
      ApplyFault(&network, static_cast<Fault>(fault));
      Run(&network, std::chrono::milliseconds(wait));
    }
    network.broken_links.clear();
    network.loss = 0;
    network.jitter = Duration(0);
    for (size_t i = 0; i < network.nodes.size(); ++i) {
      network.nodes[i].paused_until = network.now;
      network.nodes[i].call_rate = 5;
      network.SetAssumedOwner(i, 0);
    }
    Run(&network, 5s);
    RC_ASSERT(network.UsableSlotsInPool() == 12);
  });
  CHECK(passed);
}

void ReportEverywhere(SlotNetwork* network, const LoadReport& report) {
  for (const EndpointView& endpoint : network->view.endpoints) {
    network->reports[endpoint.id] = report;
  }
}

// Guards against a cold endpoint getting more than one call at a time from all gateways together,
// and against new calls to a draining endpoint (P2, P7).
TEST_CASE("all gateways stop using the slots of a cold or draining endpoint",
          "[slot_lending_test]") {
  SlotNetwork network(5, 4, 3, 1);
  for (SlotNetwork::Gateway& node : network.nodes) {
    node.call_rate = 0.2;
  }
  Run(&network, 4s);
  REQUIRE(network.UsableSlotsInPool() == 12);
  LoadReport report;
  report.instance = InstanceId("a");
  SECTION("cold") {
    report.state = EndpointState::kCold;
    ReportEverywhere(&network, report);
    Run(&network, 300ms);
    for (const MonoTime end = network.now + 3s; network.now < end;) {
      network.Step(5ms);
      for (const EndpointView& endpoint : network.view.endpoints) {
        REQUIRE(network.UsableSlots(endpoint.id) <= 1);
      }
    }
    CHECK(network.UsableSlotsInPool() > 0);
  }
  SECTION("draining") {
    report.state = EndpointState::kDraining;
    ReportEverywhere(&network, report);
    Run(&network, 300ms);
    CHECK(network.UsableSlotsInPool() == 0);
  }
}

/// Simulation of a pool in which endpoints restart cold and become warm, the owner changes and
/// messages are lost. Checks that a cold endpoint has at most one usable slot.
struct ColdStartSimulation {
  /// Time after the restart of an endpoint until every gateway that calls the endpoint has received
  /// its reports, and the loans made before the restart have expired.
  static constexpr Duration kSettleTime = 2500ms;
  enum Event { kNewInstance, kWarm, kChangeOwner, kLoss, kEvents };

  explicit ColdStartSimulation(uint64_t seed) : network(4, 3, 3, seed) {
    for (SlotNetwork::Gateway& node : network.nodes) {
      node.call_rate = 0.3;
    }
    ReportEverywhere(&network, {0, 3, EndpointState::kWarm, InstanceId("a")});
    Run(&network, 4s);
  }

  void Apply(int event) {
    const size_t a = network.random() % network.nodes.size();
    const EndpointId& endpoint = network.view.endpoints[network.random() % 3].id;
    switch (event) {
      case kNewInstance:
        network.reports[endpoint] = {0, 3, EndpointState::kCold,
                                     InstanceId(std::to_string(network.random()))};
        cold_since[endpoint] = network.now;
        break;
      case kWarm:
        network.reports[endpoint].state = EndpointState::kWarm;
        cold_since.erase(endpoint);
        break;
      case kChangeOwner:
        for (size_t i = 0; i < network.nodes.size(); ++i) {
          network.SetAssumedOwner(i, a);
        }
        break;
      default:
        network.loss = network.Chance(0.5) ? 0 : 0.3;
    }
  }

  void RunAndCheck(Duration time) {
    for (const MonoTime end = network.now + time; network.now < end;) {
      network.Step(5ms);
      CheckUsableSlots(network);
      for (const auto& [endpoint, since] : cold_since) {
        if (network.now > since + kSettleTime && network.UsableSlots(endpoint) > 1) {
          RC_FAIL("more than one slot of the cold endpoint " + endpoint.value + " is usable");
        }
      }
    }
  }

  SlotNetwork network;
  std::map<EndpointId, MonoTime> cold_since;
};

// Guards against a cold endpoint getting more calls than it can handle (P2) when it restarts while
// the owner changes and messages are lost.
TEST_CASE("a cold endpoint has one usable slot under faults", "[slot_lending_test]") {
  CHECK(rc::check([](uint64_t seed) {
    const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
        12, rc::gen::pair(rc::gen::inRange<int>(0, ColdStartSimulation::kEvents),
                          rc::gen::inRange(10, 1000)));
    ColdStartSimulation simulation(seed);
    for (const auto& [event, wait] : events) {
      simulation.Apply(event);
      simulation.RunAndCheck(std::chrono::milliseconds(wait));
    }
    simulation.Apply(ColdStartSimulation::kChangeOwner);
    simulation.RunAndCheck(3s);
  }));
}

}  // namespace
}  // namespace jd
