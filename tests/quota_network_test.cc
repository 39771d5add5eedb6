// Tests of the quotas of workspaces over many gateways, in simulated time and without a network.
#include "quota_network.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>

namespace jd {
namespace {

const WorkspaceId kWorkspace("hanoi-go-club");

struct Outcome {
  size_t asked = 0;
  size_t sent = 0;
  size_t reference = 0;  ///< Calls that one bucket with full knowledge would have let pass.
  double used() const { return static_cast<double>(sent) / static_cast<double>(reference); }
};

// Lets calls arrive for some time, `concentration` of them at one gateway and the others anywhere.
Outcome Play(QuotaNetwork* network,
             const Quota& quota,
             double calls_per_s,
             double concentration,
             Duration time) {
  Outcome outcome;
  ReferenceBucket reference{quota, std::max(quota.burst, 1.0), network->now};
  std::exponential_distribution<double> gap(calls_per_s);
  std::uniform_real_distribution<> uniform(0, 1);
  std::uniform_int_distribution<size_t> any(0, network->nodes.size() - 1);
  const size_t before = network->sent[kWorkspace].size();
  double due_s = gap(network->random);
  const MonoTime start = network->now;
  while (network->now < start + time) {
    while (start + Scale(1s, due_s) <= network->now) {
      const size_t gateway = uniform(network->random) < concentration ? 0 : any(network->random);
      ++outcome.asked;
      outcome.reference += reference.Take(network->now) ? 1 : 0;
      network->Call(gateway, kWorkspace);
      due_s += gap(network->random);
    }
    network->Step();
  }
  outcome.sent = network->sent[kWorkspace].size() - before;
  return outcome;
}

void Wait(QuotaNetwork* network, Duration time) {
  for (const MonoTime end = network->now + time; network->now < end;) {
    network->Step();
  }
}

TEST_CASE("a quota can be used wherever its calls arrive", "[quota_network_test]") {
  // Guards against shares of a quota that idle at gateways or in zones without its callers.
  const size_t gateways = GENERATE(17, 105, 300);
  const size_t zones = GENERATE(1, 3);
  const double concentration = GENERATE(0.0, 0.8, 1.0);
  const Quota quota = GENERATE(Quota{100, 100}, Quota{12, 12}, Quota{3, 3});
  const double load = GENERATE(0.8, 2.0);
  QuotaNetwork network(gateways, zones, 7);
  network.SetQuota(kWorkspace, quota);
  network.ApplyConfiguration();
  Wait(&network, 10s);
  const Outcome outcome = Play(&network, quota, quota.calls_per_second * load, concentration, 15s);
  INFO(gateways << " gateways, " << zones << " zones, rate " << quota.calls_per_second << ", load "
                << load << ", concentration " << concentration << ": asked " << outcome.asked
                << ", sent " << outcome.sent << ", reference " << outcome.reference << ", waited "
                << network.waited << ", messages " << network.message_count);
  CHECK(outcome.used() >= 0.9);
  CHECK(static_cast<double>(network.MostSentInWindow(kWorkspace, {}, network.now)) <=
        QuotaNetwork::Bound(quota));
}

TEST_CASE("a quota holds under faults and changes", "[quota_network_test]") {
  // Guards against tokens that are issued twice, or are kept, when gateways die, restart, pause,
  // join or are cut off, when messages are lost, and when the limit changes.
  CHECK(rc::check([] {
    const auto zones = *rc::gen::element<size_t>(1, 3);
    const auto gateways = *rc::gen::inRange<size_t>(3, 25);
    QuotaNetwork network(gateways, zones, *rc::gen::inRange<uint64_t>(0, 1'000'000));
    Quota quota{*rc::gen::element(2.0, 20.0, 150.0), *rc::gen::element(0.0, 10.0, 100.0)};
    network.SetQuota(kWorkspace, quota);
    network.ApplyConfiguration();
    Wait(&network, Duration(*rc::gen::inRange(0, 6'000'000)));
    MonoTime from = network.now;
    for (int phase = 0; phase < 8; ++phase) {
      const auto any = *rc::gen::inRange<size_t>(0, network.nodes.size());
      auto& gateway = network.nodes[any];
      switch (*rc::gen::inRange(0, 10)) {
        case 0:
          gateway.alive = false;
          break;
        case 1:
          network.Restart(any);
          break;
        case 2:
          gateway.paused_until = network.now + Duration(*rc::gen::inRange(100'000, 3'000'000));
          break;
        case 3:  // Part of the gateways is cut off.
          for (size_t i = 0; i <= any; ++i) {
            network.nodes[i].side = 1;
          }
          break;
        case 4:  // One zone is cut off.
          for (auto& node : network.nodes) {
            node.side = node.zone == 0 ? 1 : 0;
          }
          break;
        case 5:
          for (auto& node : network.nodes) {
            node.side = 0;
          }
          break;
        case 6:
          network.AddGateway();
          break;
        case 7:  // A connection goes silent in one direction.
          network.Silence(any, *rc::gen::inRange<size_t>(0, network.nodes.size()));
          break;
        case 8:
          network.EndSilences();
          break;
        default:
          network.message_loss = *rc::gen::element(0.0, 0.1, 0.5);
      }
      if (*rc::gen::inRange(0, 4) == 0) {
        // The windows from here on belong to the new limit.
        const double bound = QuotaNetwork::Bound(quota);
        RC_ASSERT(static_cast<double>(network.MostSentInWindow(kWorkspace, from, network.now)) <=
                  bound);
        quota.calls_per_second *= *rc::gen::element(0.1, 0.5, 2.0);
        network.SetQuota(kWorkspace, quota);
        network.ApplyConfiguration();
        from = network.now;
      }
      Play(&network, quota, quota.calls_per_second * *rc::gen::element(1.0, 5.0, 30.0),
           *rc::gen::element(0.0, 0.7), Duration(*rc::gen::inRange(100'000, 3'000'000)));
    }
    RC_ASSERT(static_cast<double>(network.MostSentInWindow(kWorkspace, from, network.now)) <=
              QuotaNetwork::Bound(quota));
  }));
}

TEST_CASE("a quota holds while two gateways do not hear each other", "[quota_network_test]") {
  // Guards against two issuers of one quota after a connection between two gateways went silent: a
  // third gateway that heard both was counted by both.
  const bool both_ways = GENERATE(false, true);
  const Quota quota{150, 20};
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    const size_t gateways = 3 + seed % 3;
    QuotaNetwork network(gateways, 1, seed);
    std::vector<WorkspaceId> workspaces;
    for (int i = 0; i < 4; ++i) {
      workspaces.emplace_back("w" + std::to_string(i));
      network.SetQuota(workspaces.back(), quota);
    }
    network.ApplyConfiguration();
    Wait(&network, 5s);
    network.Silence(0, 1);
    if (both_ways) {
      network.Silence(1, 0);
    }
    std::bernoulli_distribution asks(quota.calls_per_second * 0.6 / 1000);
    for (const MonoTime end = network.now + 15s; network.now < end; network.Step()) {
      for (size_t gateway = 0; gateway < gateways; ++gateway) {
        for (const WorkspaceId& workspace : workspaces) {
          if (asks(network.random)) {
            network.Call(gateway, workspace);
          }
        }
      }
    }
    for (const WorkspaceId& workspace : workspaces) {
      INFO("seed " << seed << ", " << gateways << " gateways, workspace " << workspace);
      CHECK(static_cast<double>(network.MostSentInWindow(workspace, {}, network.now)) <=
            QuotaNetwork::Bound(quota));
      // The parts of all issuers are in use.
      CHECK(static_cast<double>(network.sent[workspace].size()) >=
            0.9 * quota.calls_per_second * 15);
    }
  }
}

TEST_CASE("a quota remains usable when its issuer dies", "[quota_network_test]") {
  // Guards against calls that are refused until the other gateways count the issuer as dead.
  const Quota quota{60, 60};
  QuotaNetwork network(105, 3, 3);
  network.SetQuota(kWorkspace, quota);
  network.ApplyConfiguration();
  Wait(&network, 10s);
  Play(&network, quota, 30, 0, 3s);
  const size_t before = network.refused;
  // A sixth of the gateways, among them issuers.
  for (size_t i = 0; i < network.nodes.size(); i += 6) {
    network.nodes[i].alive = false;
  }
  const Outcome outcome = Play(&network, quota, 30, 0, 3s);
  INFO("asked " << outcome.asked << ", sent " << outcome.sent << ", calls to dead gateways "
                << network.lost << ", refused " << network.refused - before);
  CHECK(network.refused - before <= outcome.asked / 50);
}

TEST_CASE("a lowered limit binds within the lifetime of tokens", "[quota_network_test]") {
  QuotaNetwork network(105, 3, 5);
  network.SetQuota(kWorkspace, Quota{400, 400});
  network.ApplyConfiguration();
  Wait(&network, 5s);
  Play(&network, Quota{400, 400}, 500, 0.3, 5s);
  const Quota lowered{20, 10};
  network.SetQuota(kWorkspace, lowered);
  network.ApplyConfiguration();
  const MonoTime from = network.now + 300ms;
  Play(&network, lowered, 500, 0.3, 8s);
  CHECK(static_cast<double>(network.MostSentInWindow(kWorkspace, from, network.now)) <=
        QuotaNetwork::Bound(lowered));
}

TEST_CASE("a workspace without a limit is not limited", "[quota_network_test]") {
  const std::optional<Quota> quota =
      GENERATE(std::optional<Quota>(), Quota{0, 0}, Quota{-1, 5}, Quota{std::nan(""), 1},
               Quota{std::numeric_limits<double>::infinity(), 1}, Quota{1e300, 1});
  QuotaNetwork network(17, 1, 5);
  network.SetQuota(kWorkspace, quota);
  network.ApplyConfiguration();
  Wait(&network, 2s);
  const Outcome outcome = Play(&network, Quota{1, 1}, 200, 0.5, 1s);
  CHECK(outcome.sent == outcome.asked);
  CHECK(network.message_count == 0);
}

TEST_CASE("quota messages follow the calls, not the number of gateways", "[quota_network_test]") {
  // 75 workspaces with 900 calls/s, a few of them large, as in a deployment of 105 gateways.
  const size_t gateways = GENERATE(17, 105, 300);
  constexpr int kWorkspaces = 75;
  constexpr double kCallsPerSecond = 900;
  QuotaNetwork network(gateways, 3, 11);
  std::vector<double> weights;
  double sum = 0;
  for (int i = 0; i < kWorkspaces; ++i) {
    weights.push_back(std::pow(i + 1, -1.2));
    sum += weights.back();
  }
  std::vector<WorkspaceId> workspaces;
  for (int i = 0; i < kWorkspaces; ++i) {
    workspaces.emplace_back("workspace-" + std::to_string(i));
    const double rate = 1.6 * kCallsPerSecond * weights[static_cast<size_t>(i)] / sum;
    network.SetQuota(workspaces.back(), Quota{rate, rate});
  }
  network.ApplyConfiguration();
  Wait(&network, 10s);
  CHECK(network.bytes == 0);
  std::discrete_distribution<size_t> workspace(weights.begin(), weights.end());
  std::uniform_int_distribution<size_t> any(0, gateways - 1);
  std::exponential_distribution<double> gap(kCallsPerSecond);
  double due_s = gap(network.random);
  size_t asked = 0;
  const MonoTime start = network.now;
  while (network.now < start + 4s) {
    while (start + Scale(1s, due_s) <= network.now) {
      network.Call(any(network.random), workspaces[workspace(network.random)]);
      due_s += gap(network.random);
      ++asked;
    }
    network.Step();
  }
  const double bytes_per_s =
      static_cast<double>(network.bytes) / 4.0 / static_cast<double>(gateways);
  const double refused = static_cast<double>(network.refused) / static_cast<double>(asked);
  WARN(gateways << " gateways: " << bytes_per_s << " bytes/s sent by each, "
                << static_cast<double>(network.message_count) / static_cast<double>(asked)
                << " messages a call, refused " << refused << ", waited "
                << static_cast<double>(network.waited) / static_cast<double>(asked));
  CHECK(bytes_per_s * static_cast<double>(gateways) <= 3000.0 * 105);
  CHECK(refused <= 0.01);
}

}  // namespace
}  // namespace jd
