#include "bench/latency_rows.h"

#include <docopt/docopt.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bench/process_usage.h"
#include "bench/queue_model.h"
#include "bench/row.h"

namespace jd {
namespace {

using nlohmann::json;

constexpr char kUsage[] = R"(Computes the rows of one benchmark case from the reports of its runs.

Usage:
  bench (added-latency | tails) CASE --results=DIR --out=FILE

DIR contains CASE.meta.json and, for each policy and seed, the load generator's report in
CASE.POLICY.SEED.json and the resource usage of the processes before and after the load in
CASE.POLICY.SEED.before and CASE.POLICY.SEED.after.
)";

using Arguments = std::map<std::string, docopt::value>;

// Ratio of measured to modelled latency above which a tail case prints a warning: its results then
// say more about the machine than about the policies. In trials in which the processes had enough
// CPU time the ratio stayed within 1.06.
constexpr double kMaxRatioToModel = 1.15;
// Number of simulated arrivals; enough for a stable 99.9th percentile of the model.
constexpr size_t kSimulatedArrivals = 1'000'000;
constexpr std::array<const char*, 3> kPercentiles = {"p50", "p99", "p999"};

/// The result files of all runs of one benchmark case.
struct CaseRuns {
  std::string name;
  std::string directory;
  json meta;
  int seeds = 0;

  // Path of the result files of one run, without their extension.
  std::string ResultPath(const std::string& policy, int seed) const {
    return directory + "/" + name + "." + policy + "." + std::to_string(seed);
  }
  bool HasResults(const std::string& policy) const {
    return std::filesystem::exists(ResultPath(policy, 1) + ".json");
  }
  // Returns one value for each seed from the load generator's reports; -1 where it is not a number.
  std::vector<double> ReportValues(const std::string& policy, const std::string& pointer) const {
    std::vector<double> values;
    for (int seed = 1; seed <= seeds; ++seed) {
      const json value =
          ReadJsonFile(ResultPath(policy, seed) + ".json")[json::json_pointer(pointer)];
      values.push_back(value.is_number() ? value.get<double>() : -1);
    }
    return values;
  }
  // Returns for each seed the share of one core that the busiest process of a name used.
  std::vector<double> BusiestShares(const std::string& policy, const std::string& process) const {
    std::vector<double> values;
    for (int seed = 1; seed <= seeds; ++seed) {
      values.push_back(BusiestCoreShare(ReadJsonFile(ResultPath(policy, seed) + ".before"),
                                        ReadJsonFile(ResultPath(policy, seed) + ".after"),
                                        process));
    }
    return values;
  }
};

CaseRuns LoadCase(Arguments* arguments) {
  CaseRuns runs;
  runs.name = (*arguments)["CASE"].asString();
  runs.directory = (*arguments)["--results"].asString();
  runs.meta = ReadJsonFile(runs.directory + "/" + runs.name + ".meta.json");
  runs.seeds = runs.meta.at("seeds");
  return runs;
}

// JSON pointer of a latency percentile in the load generator's report.
std::string LatencyPointer(const char* percentile) {
  return std::string("/latency_ms/") + percentile;
}

// Adds the share of calls without an answer. The latencies do not include these calls, so without
// this row a policy that drops calls would appear better than it is.
void AddUnansweredRow(const CaseRuns& runs, const std::string& policy, std::vector<Row>* rows) {
  std::vector<double> sent = runs.ReportValues(policy, "/sent");
  const std::vector<double> answered = runs.ReportValues(policy, "/answered");
  for (size_t i = 0; i < sent.size(); ++i) {
    sent[i] = sent[i] > 0 ? 1 - answered[i] / sent[i] : 1;
  }
  rows->push_back({runs.name, policy + " unanswered", "share", std::move(sent), "", {}});
}

void AddUsageRows(const CaseRuns& runs, const std::string& policy, std::vector<Row>* rows) {
  for (const char* process : {"load", "upstream", "gateway"}) {
    rows->push_back({runs.name,
                     policy + " busiest " + process,
                     "cores",
                     runs.BusiestShares(policy, process),
                     "",
                     {}});
  }
}

QueueModel MakeQueueModel(const json& meta) {
  QueueModel model;
  model.slots = meta.at("slots");
  model.rate = meta.at("rate");
  const json time = {{"kind", meta.at("kind")}, {"mean_ms", meta.at("mean_ms")}};
  const json endpoint = {{"id", ""}, {"port", 0}, {"service_time", time}};
  model.service_time = ParseUpstreamSettings({{"control_port", 0}, {"endpoints", {endpoint}}})
                           .endpoints[0]
                           .service_time;
  model.delay = Duration(static_cast<int64_t>(meta.at("delay_ms").get<double>() * 1000));
  return model;
}

// Adds rows that compare `pooled` with the queueing model. `pooled` implements that model, so
// latencies far above those of the model are caused by the machine and not by the policy.
void AddQueueModelRows(const CaseRuns& runs, std::vector<Row>* rows) {
  const std::vector<Duration> modelled =
      SimulateQueue(MakeQueueModel(runs.meta), kSimulatedArrivals, 1);
  for (const auto& [percentile, share] : {std::pair{"p50", 0.5}, {"p99", 0.99}, {"p999", 0.999}}) {
    const std::vector<double> expected(runs.seeds, PercentileMillis(modelled, share));
    std::vector<double> values = runs.ReportValues("pooled", LatencyPointer(percentile));
    if (Median(values) > kMaxRatioToModel * expected[0]) {
      std::fprintf(
          stderr,
          "bench: %s: pooled %s is far above the M/G/c model, so the machine is the bottleneck\n",
          runs.name.c_str(), percentile);
    }
    rows->push_back({runs.name, std::string("pooled ") + percentile, "ms", std::move(values),
                     "M/G/c theory", expected});
  }
}

std::string DescribeParameters(const json& meta) {
  return meta.at("kind").get<std::string>() + " service time, mean " + meta.at("mean_ms").dump() +
         " ms, " + meta.at("rate").dump() + " calls/s, " + meta.at("seconds").dump() + " s, " +
         meta.at("gateways").dump() + " gateways";
}

int WriteCaseRows(const CaseRuns& runs, Arguments* arguments, std::vector<Row> rows) {
  for (Row& row : rows) {
    row.parameters = DescribeParameters(runs.meta);
  }
  WriteRows((*arguments)["--out"].asString(), rows);
  return 0;
}

}  // namespace

int RunAddedLatency(int argc, char** argv) {
  auto arguments = docopt::docopt(kUsage, {argv, argv + argc});
  const CaseRuns runs = LoadCase(&arguments);
  std::vector<Row> rows;
  for (const char* policy : {"slots", "pooled"}) {
    if (!runs.HasResults(policy)) {
      continue;
    }
    for (const char* percentile : kPercentiles) {
      std::vector<double> through = runs.ReportValues(policy, LatencyPointer(percentile));
      const std::vector<double> direct =
          runs.ReportValues(std::string("direct-") + policy, LatencyPointer(percentile));
      rows.push_back(
          {runs.name, std::string(policy) + " " + percentile, "ms", through, "direct", direct});
      for (size_t i = 0; i < through.size(); ++i) {
        through[i] -= direct[i];
      }
      rows.push_back({runs.name, std::string(policy) + " added at " + percentile, "ms", through,
                      std::string(percentile) == "p99" ? "target" : "",
                      std::vector<double>(through.size(), runs.meta.at("target_ms"))});
    }
    AddUnansweredRow(runs, policy, &rows);
    AddUsageRows(runs, policy, &rows);
  }
  return WriteCaseRows(runs, &arguments, std::move(rows));
}

int RunTails(int argc, char** argv) {
  auto arguments = docopt::docopt(kUsage, {argv, argv + argc});
  const CaseRuns runs = LoadCase(&arguments);
  std::vector<Row> rows;
  AddQueueModelRows(runs, &rows);
  AddUsageRows(runs, "pooled", &rows);
  AddUnansweredRow(runs, "pooled", &rows);
  for (const std::string policy : {"slots", "least_request", "reported_load", "round_robin"}) {
    if (!runs.HasResults(policy)) {
      continue;
    }
    for (const char* percentile : kPercentiles) {
      const std::vector<double> values = runs.ReportValues(policy, LatencyPointer(percentile));
      rows.push_back({runs.name, policy + " " + percentile, "ms", values, "pooled",
                      runs.ReportValues("pooled", LatencyPointer(percentile))});
      if (policy == "slots" && runs.HasResults("least_request")) {
        rows.push_back({runs.name, policy + " " + percentile, "ms", values, "least_request",
                        runs.ReportValues("least_request", LatencyPointer(percentile))});
      }
    }
    AddUsageRows(runs, policy, &rows);
    AddUnansweredRow(runs, policy, &rows);
  }
  return WriteCaseRows(runs, &arguments, std::move(rows));
}

}  // namespace jd
