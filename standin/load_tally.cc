#include "standin/load_tally.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "standin/run_ledger.h"

namespace jd {
namespace {

using nlohmann::json;

constexpr size_t kMaxExampleIds = 10;

const char* OutcomeName(LoadOutcome outcome) {
  switch (outcome) {
    case LoadOutcome::kAnswered:
      return "answered";
    case LoadOutcome::kWrong:
      return "wrong";
    case LoadOutcome::kFailed:
      return "failed";
    case LoadOutcome::kRefused:
      return "refused";
    case LoadOutcome::kUnknown:
      return "unknown";
    case LoadOutcome::kNotSent:
      return "not_sent";
  }
  return "unknown";
}

// Computes nearest-rank percentiles in milliseconds from all samples rather than from a histogram,
// so the tail is exact.
json Percentiles(std::vector<Duration> latencies) {
  if (latencies.empty()) {
    return nullptr;
  }
  std::sort(latencies.begin(), latencies.end());
  constexpr std::array<std::pair<const char*, int>, 4> ranks = {
      {{"p50", 500}, {"p90", 900}, {"p99", 990}, {"p999", 999}}};
  json out;
  for (const auto& [name, permille] : ranks) {
    const size_t rank = (latencies.size() * permille + 999) / 1000;
    out[name] = static_cast<double>(latencies[std::max<size_t>(rank, 1) - 1].count()) / 1000;
  }
  out["max"] = static_cast<double>(latencies.back().count()) / 1000;
  return out;
}

// The number of samples per outcome, and the latencies of answered requests.
struct SampleGroup {
  std::map<std::string, uint64_t> outcomes;
  std::vector<Duration> latencies;
  uint64_t sent = 0;

  void Add(const LoadSample& sample, Duration client_latency) {
    ++sent;
    ++outcomes[OutcomeName(sample.outcome)];
    if (sample.outcome == LoadOutcome::kAnswered) {
      latencies.push_back(sample.latency + client_latency);
    }
  }

  json ToJson() const {
    json out = {{"sent", sent}, {"latency_ms", Percentiles(latencies)}};
    for (const LoadOutcome outcome :
         {LoadOutcome::kAnswered, LoadOutcome::kWrong, LoadOutcome::kFailed, LoadOutcome::kRefused,
          LoadOutcome::kUnknown, LoadOutcome::kNotSent}) {
      const auto count = outcomes.find(OutcomeName(outcome));
      out[OutcomeName(outcome)] = count == outcomes.end() ? 0 : count->second;
    }
    return out;
  }
};

json GroupsJson(const std::map<std::string, SampleGroup>& groups) {
  json out = json::object();
  for (const auto& [name, group] : groups) {
    out[name] = group.ToJson();
  }
  return out;
}

// The number of requests that violate one rule, with the first ids as examples.
struct ViolationCount {
  uint64_t count = 0;
  json examples = json::array();

  void Add(const std::string& id) {
    ++count;
    if (examples.size() < kMaxExampleIds) {
      examples.push_back(id);
    }
  }
};

}  // namespace

json ReportLoad(const LoadSettings& settings, const std::vector<LoadSample>& samples) {
  const Duration client_latency = settings.one_way_latency * 2;
  SampleGroup all;
  std::map<std::string, SampleGroup> methods;
  std::map<std::string, SampleGroup> workspaces;
  std::map<std::string, SampleGroup> services;
  std::map<int64_t, SampleGroup> seconds;
  std::map<std::string, uint64_t> refusals;
  for (const LoadSample& sample : samples) {
    if (sample.arrival < settings.warm_up) {
      continue;
    }
    all.Add(sample, client_latency);
    methods[sample.method].Add(sample, client_latency);
    workspaces[sample.workspace].Add(sample, client_latency);
    services[sample.service].Add(sample, client_latency);
    seconds[sample.arrival / 1s].Add(sample, client_latency);
    if (sample.outcome == LoadOutcome::kRefused || sample.outcome == LoadOutcome::kFailed) {
      ++refusals[sample.reason + "/" + sample.verdict];
    }
  }
  json out = all.ToJson();
  out["added_latency_ms"] = static_cast<double>(client_latency.count()) / 1000;
  out["refusals"] = refusals;
  out["methods"] = GroupsJson(methods);
  out["workspaces"] = GroupsJson(workspaces);
  out["services"] = GroupsJson(services);
  if (settings.include_series) {
    for (const auto& [second, group] : seconds) {
      json entry = group.ToJson();
      entry["second"] = second;
      out["series"].push_back(std::move(entry));
    }
  }
  return out;
}

json CompareWithLedger(const std::vector<LoadSample>& samples, const json& runs) {
  ViolationCount lost;
  ViolationCount duplicates;
  ViolationCount refused_ran;
  for (const LoadSample& sample : samples) {
    const auto found = runs.find(sample.id);
    const size_t count = found == runs.end() ? 0 : found->size();
    const bool completed =
        count > 0 && std::any_of(found->begin(), found->end(),
                                 [](const json& run) { return run.at("completed").get<bool>(); });
    if (sample.outcome == LoadOutcome::kAnswered && !completed) {
      lost.Add(sample.id);
    }
    if (count > 1 && !IsIdempotentMethod(sample.method)) {
      duplicates.Add(sample.id);
    }
    const bool not_run = sample.outcome == LoadOutcome::kNotSent ||
                         (sample.outcome == LoadOutcome::kRefused && sample.verdict == "not-run");
    if (not_run && count > 0) {
      refused_ran.Add(sample.id);
    }
  }
  return json{{"lost", lost.count},
              {"duplicates", duplicates.count},
              {"refused_ran", refused_ran.count},
              {"examples",
               {{"lost", lost.examples},
                {"duplicates", duplicates.examples},
                {"refused_ran", refused_ran.examples}}}};
}

}  // namespace jd
