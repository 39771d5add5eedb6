#include "standin/run_ledger.h"

#include <algorithm>
#include <utility>

namespace jd {
namespace {

using nlohmann::json;

json TallyJson(MonoTime now, const EndpointTally& tally) {
  json out = {{"zone", tally.zone},
              {"starts", tally.starts},
              {"completed", tally.completed},
              {"cancelled", tally.cancelled},
              {"refused", tally.refused},
              {"overloads", tally.overloads},
              {"crashes", tally.crashes},
              {"probes", tally.probes},
              {"probe_us", tally.probe_us},
              {"busy_us", tally.busy_us},
              {"max_in_flight", tally.max_in_flight},
              {"max_in_flight_cold", tally.max_in_flight_cold}};
  if (tally.starts > 0) {
    out["last_start_us"] = Micros(tally.last_start);
    out["last_start_age_ms"] = static_cast<double>((now - tally.last_start).count()) / 1000;
  }
  return out;
}

}  // namespace

bool IsIdempotentMethod(const std::string& method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

size_t RunLedger::Start(MonoTime now, const std::string& request_id, LedgerRun run) {
  EndpointTally& tally = tallies_[run.endpoint];
  ++tally.starts;
  tally.last_start = now;
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
    EndpointTally& tally = tallies_[run.endpoint];
    ++tally.completed;
    tally.busy_us += (now - run.start).count();
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
  EndpointTally total;
  uint64_t duplicates = 0;
  json endpoints = json::object();
  std::map<std::string, EndpointTally> zones;
  for (const auto& [id, tally] : tallies_) {
    endpoints[id] = TallyJson(now, tally);
    for (EndpointTally* sum : {&total, &zones[tally.zone]}) {
      sum->zone = sum == &total ? "" : tally.zone;
      sum->starts += tally.starts;
      sum->completed += tally.completed;
      sum->cancelled += tally.cancelled;
      sum->refused += tally.refused;
      sum->overloads += tally.overloads;
      sum->crashes += tally.crashes;
      sum->probes += tally.probes;
      sum->probe_us += tally.probe_us;
      sum->busy_us += tally.busy_us;
      sum->max_in_flight = std::max(sum->max_in_flight, tally.max_in_flight);
      sum->max_in_flight_cold = std::max(sum->max_in_flight_cold, tally.max_in_flight_cold);
      sum->last_start = std::max(sum->last_start, tally.last_start);
    }
  }
  json duplicated = json::array();
  for (const auto& [id, runs] : runs_) {
    if (runs.size() > 1 && !IsIdempotentMethod(runs.front().method)) {
      ++duplicates;
      duplicated.push_back(id);
    }
  }
  json out = TallyJson(now, total);
  out.erase("zone");
  out["now_us"] = Micros(now);
  out["requests"] = runs_.size();
  out["duplicates"] = duplicates;
  out["duplicated"] = std::move(duplicated);
  out["endpoints"] = std::move(endpoints);
  for (const auto& [zone, tally] : zones) {
    out["zones"][zone] = TallyJson(now, tally);
  }
  return out;
}

}  // namespace jd
