#include "standin/run_ledger.h"

#include <algorithm>
#include <utility>

namespace jd {
namespace {

using nlohmann::json;

json CountersJson(MonoTime now, const EndpointCounters& counters) {
  json out = {{"zone", counters.zone},
              {"starts", counters.starts},
              {"completed", counters.completed},
              {"cancelled", counters.cancelled},
              {"refused", counters.refused},
              {"overloads", counters.overloads},
              {"crashes", counters.crashes},
              {"probes", counters.probes},
              {"probe_us", counters.probe_us},
              {"busy_us", counters.busy_us},
              {"max_in_flight", counters.max_in_flight},
              {"max_in_flight_cold", counters.max_in_flight_cold}};
  if (counters.starts > 0) {
    out["last_start_us"] = Micros(counters.last_start);
    out["last_start_age_ms"] = static_cast<double>((now - counters.last_start).count()) / 1000;
  }
  return out;
}

}  // namespace

bool IsIdempotentMethod(const std::string& method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

size_t RunLedger::Start(MonoTime now, const std::string& request_id, LedgerRun run) {
  EndpointCounters& counters = counters_[run.endpoint];
  ++counters.starts;
  counters.last_start = now;
  run.start = now;
  std::vector<LedgerRun>& runs = runs_[request_id];
  runs.push_back(std::move(run));
  return runs.size() - 1;
}

void RunLedger::End(MonoTime now, const std::string& request_id, size_t index, bool completed) {
  LedgerRun& run = runs_.at(request_id).at(index);
  run.end = now;
  run.ended = true;
  run.completed = completed;
  if (completed) {
    EndpointCounters& counters = counters_[run.endpoint];
    ++counters.completed;
    counters.busy_us += (now - run.start).count();
  }
}

json RunLedger::Runs() const {
  json out = json::object();
  for (const auto& [id, runs] : runs_) {
    json& list = out[id];
    for (const LedgerRun& run : runs) {
      json entry = {{"endpoint", run.endpoint},
                    {"method", run.method},
                    {"start_us", Micros(run.start)},
                    {"completed", run.completed}};
      if (run.ended) {
        entry["end_us"] = Micros(run.end);
      }
      list.push_back(std::move(entry));
    }
  }
  return out;
}

json RunLedger::Summary(MonoTime now) const {
  EndpointCounters total;
  uint64_t duplicates = 0;
  json endpoints = json::object();
  std::map<std::string, EndpointCounters> zones;
  for (const auto& [id, counters] : counters_) {
    endpoints[id] = CountersJson(now, counters);
    for (EndpointCounters* sum : {&total, &zones[counters.zone]}) {
      sum->zone = sum == &total ? "" : counters.zone;
      sum->starts += counters.starts;
      sum->completed += counters.completed;
      sum->cancelled += counters.cancelled;
      sum->refused += counters.refused;
      sum->overloads += counters.overloads;
      sum->crashes += counters.crashes;
      sum->probes += counters.probes;
      sum->probe_us += counters.probe_us;
      sum->busy_us += counters.busy_us;
      sum->max_in_flight = std::max(sum->max_in_flight, counters.max_in_flight);
      sum->max_in_flight_cold = std::max(sum->max_in_flight_cold, counters.max_in_flight_cold);
      sum->last_start = std::max(sum->last_start, counters.last_start);
    }
  }
  json duplicated = json::array();
  for (const auto& [id, runs] : runs_) {
    if (runs.size() > 1 && !IsIdempotentMethod(runs.front().method)) {
      ++duplicates;
      duplicated.push_back(id);
    }
  }
  json out = CountersJson(now, total);
  out.erase("zone");
  out["now_us"] = Micros(now);
  out["requests"] = runs_.size();
  out["duplicates"] = duplicates;
  out["duplicated"] = std::move(duplicated);
  out["endpoints"] = std::move(endpoints);
  for (const auto& [zone, counters] : zones) {
    out["zones"][zone] = CountersJson(now, counters);
  }
  return out;
}

}  // namespace jd
