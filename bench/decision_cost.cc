#include "bench/decision_cost.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "bench/row.h"
#include "cluster/node_slots.h"
#include "policy/policy_variant.h"

namespace jd {
namespace {

constexpr char kUsage[] = R"(Measures the time that each routing policy takes to choose an endpoint.

Usage:
  decision-cost --out=FILE [--quick]
)";

constexpr int32_t kSlots = 4;
constexpr size_t kBatchSize = 64;
const ServiceId kService("service");
const GatewayId kGateway("gateway");

ServiceView MakeService(size_t endpoints) {
  ServiceView view{kService, {}};
  for (size_t i = 0; i < endpoints; ++i) {
    view.endpoints.push_back({EndpointId("service/" + std::to_string(i)),
                              ZoneId("zone-" + std::to_string(i % 3)), kSlots, true});
  }
  return view;
}

/// A routing policy that is ready for its choices to be timed.
struct TimedPolicy {
  PolicyVariant policy;
  MonoTime now;
};

// Lends the policy one slot of each of about half of the endpoints; this process is the owner.
void LendSlots(const ServiceView& view, TimedPolicy* timed) {
  NodeSettings settings;
  settings.id = kGateway;
  settings.incarnation = Incarnation(1);
  NodeSlots slots(settings, timed->policy.get_if<SlotHolder>());
  slots.SetMembers(timed->now, {{kGateway}, {kGateway}, {{kGateway, Incarnation(1)}}});
  slots.SetServices(timed->now, {view}, {});
  timed->policy.SetQueueLength(
      timed->now, kService, static_cast<int32_t>(std::max(view.endpoints.size() / 2, kBatchSize)));
  // A new owner lends all slots only after the reserves that a previous owner may have lent have
  // been returned, which takes more than 3 s (section 3.1). The loop simulates 5 s.
  for (int iteration = 0; iteration < 1000; ++iteration) {
    timed->now += 5ms;
    slots.Flush(timed->now);
  }
  timed->policy.SetQueueLength(timed->now, kService, 0);
}

TimedPolicy MakeTimedPolicy(const std::string& name, size_t endpoints) {
  const ServiceView view = MakeService(endpoints);
  TimedPolicy timed{name == SlotHolder::kName
                        ? PolicyVariant(SlotHolder(kGateway, ZoneId("zone-0"), Incarnation(1)))
                        : PolicyVariant::ByName(name),
                    MonoFromMicros(1'000'000)};
  timed.policy.SetService(timed.now, view);
  if (name == SlotHolder::kName) {
    LendSlots(view, &timed);
  }
  return timed;
}

// Returns the median time of one Acquire call in nanoseconds, measured over batches whose calls
// stay in flight until the batch ends.
double TimeChoices(const std::string& name, size_t endpoints, std::chrono::milliseconds budget) {
  TimedPolicy timed = MakeTimedPolicy(name, endpoints);
  RandomEngine random(1);
  AcquireRequest request;
  request.service = kService;
  request.local_zone = ZoneId("zone-0");
  request.deadline = timed.now + 2s;
  AttemptResult answered;
  answered.outcome = AttemptOutcome::kAnswered;
  answered.status = 200;
  answered.latency = 10ms;
  const size_t batch = std::min(kBatchSize, endpoints / 2);
  std::vector<double> costs;
  std::vector<EndpointId> acquired;
  const auto end = std::chrono::steady_clock::now() + budget;
  while (costs.size() < 5 || std::chrono::steady_clock::now() < end) {
    const auto start = std::chrono::steady_clock::now();
    for (size_t i = 0; i < batch; ++i) {
      std::optional<EndpointId> chosen = timed.policy.Acquire(timed.now, request, random);
      if (!chosen) {
        throw std::runtime_error(name + " chose no endpoint");
      }
      acquired.push_back(std::move(*chosen));
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - start;
    costs.push_back(took.count() / static_cast<double>(batch));
    for (const EndpointId& endpoint : acquired) {
      timed.policy.Release(timed.now, endpoint, answered);
    }
    acquired.clear();
  }
  return Median(costs);
}

}  // namespace

int RunDecisionCost(int argc, char** argv) {
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  const std::chrono::milliseconds budget(arguments["--quick"].asBool() ? 50 : 500);
  const int repeats = arguments["--quick"].asBool() ? 1 : 2;
  std::vector<Row> rows;
  for (const size_t endpoints : {30, 64, 480, 6200}) {
    std::map<std::string, std::vector<double>> costs;
    for (const char* name : {"least_request", "round_robin", "reported_load", "pooled", "slots"}) {
      for (int repeat = 0; repeat < repeats; ++repeat) {
        costs[name].push_back(TimeChoices(name, endpoints, budget));
      }
      rows.push_back({"decision_cost", std::string(name) + " at " + std::to_string(endpoints), "ns",
                      costs[name], "least_request", costs["least_request"]});
    }
  }
  WriteRows(arguments["--out"].asString(), rows);
  return 0;
}

}  // namespace jd
