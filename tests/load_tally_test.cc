#include "standin/load_tally.h"

#include <catch2/catch.hpp>

#include "standin/run_ledger.h"

namespace jd {
namespace {

using nlohmann::json;

LoadSample MakeSample(const std::string& id, const std::string& method, LoadOutcome outcome) {
  LoadSample sample;
  sample.id = id;
  sample.method = method;
  sample.outcome = outcome;
  sample.verdict = outcome == LoadOutcome::kRefused ? "not-run" : "ran";
  return sample;
}

void RecordRun(RunLedger& ledger,
               const std::string& id,
               const std::string& method,
               bool completed) {
  const size_t run = ledger.Start(MonoTime(1ms), id, {"e", method, {}, {}});
  ledger.End(MonoTime(3ms), id, run, completed);
}

TEST_CASE("the ledger comparison finds lost calls, duplicates and refused calls that ran",
          "[load_tally_test]") {
  RunLedger ledger;
  RecordRun(ledger, "fine", "POST", true);
  RecordRun(ledger, "twice", "POST", true);
  RecordRun(ledger, "twice", "POST", false);
  RecordRun(ledger, "read twice", "GET", true);
  RecordRun(ledger, "read twice", "GET", true);
  RecordRun(ledger, "refused", "GET", false);
  RecordRun(ledger, "cut off", "POST", false);
  const json found = CompareWithLedger({MakeSample("fine", "POST", LoadOutcome::kAnswered),
                                        MakeSample("twice", "POST", LoadOutcome::kUnknown),
                                        MakeSample("read twice", "GET", LoadOutcome::kAnswered),
                                        MakeSample("refused", "GET", LoadOutcome::kRefused),
                                        MakeSample("cut off", "POST", LoadOutcome::kAnswered),
                                        MakeSample("absent", "GET", LoadOutcome::kAnswered),
                                        MakeSample("never ran", "POST", LoadOutcome::kRefused)},
                                       ledger.Runs());
  CHECK(found["examples"]["lost"] == json({"cut off", "absent"}));
  CHECK(found["examples"]["duplicates"] == json({"twice"}));
  CHECK(found["examples"]["refused_ran"] == json({"refused"}));
  CHECK(ledger.Summary(MonoTime(5ms))["duplicated"] == json({"twice"}));
}

TEST_CASE("the ledger summary shows the age of the last start in each zone", "[load_tally_test]") {
  RunLedger ledger;
  ledger.endpoint_counters("e").zone = "z";
  RecordRun(ledger, "a", "GET", true);
  const json zone = ledger.Summary(MonoTime(11ms))["zones"]["z"];
  CHECK(zone["starts"] == 1);
  CHECK(zone["last_start_age_ms"] == 10.0);
}

// Guards against counting connection setup at the start of a run as latency.
TEST_CASE("the report leaves out requests sent during the warm-up", "[load_tally_test]") {
  LoadSettings settings;
  settings.warm_up = 1s;
  LoadSample early = MakeSample("early", "GET", LoadOutcome::kUnknown);
  early.arrival = 1s - 1us;
  LoadSample counted = MakeSample("counted", "GET", LoadOutcome::kAnswered);
  counted.arrival = 1s;
  counted.latency = 7ms;
  const json report = ReportLoad(settings, {early, counted});
  CHECK(report["sent"] == 1);
  CHECK(report["unknown"] == 0);
  CHECK(report["latency_ms"]["max"] == 7.0);
}

TEST_CASE("percentiles are exact and include the added client latency", "[load_tally_test]") {
  LoadSettings settings;
  settings.one_way_latency = 1ms;
  std::vector<LoadSample> samples(200, MakeSample("x", "GET", LoadOutcome::kAnswered));
  for (size_t i = 0; i < samples.size(); ++i) {
    samples[i].latency = std::chrono::milliseconds(200 - i);
  }
  samples.push_back(MakeSample("y", "GET", LoadOutcome::kUnknown));
  const json report = ReportLoad(settings, samples);
  CHECK(report["latency_ms"]["p50"] == 102.0);
  CHECK(report["latency_ms"]["p99"] == 200.0);
  CHECK(report["latency_ms"]["max"] == 202.0);
  CHECK(report["unknown"] == 1);
}

TEST_CASE("a load plan is the same for the same seed and keeps its rate and shares",
          "[load_tally_test]") {
  LoadSettings settings;
  settings.services = ParseWeightedNames("records:3,intake");
  settings.workspaces = ParseWeightedNames("hosting");
  settings.rate = 1000;
  LoadPlan plan(settings);
  LoadPlan same(settings);
  int reads = 0;
  int records = 0;
  LoadRequest last;
  for (int i = 0; i < 4000; ++i) {
    last = plan.NextRequest();
    CHECK(last.arrival == same.NextRequest().arrival);
    reads += last.method == "GET" ? 1 : 0;
    records += last.service == "records" ? 1 : 0;
  }
  CHECK(last.arrival > 3700ms);
  CHECK(last.arrival < 4300ms);
  CHECK(std::abs(reads - 2800) < 150);
  CHECK(std::abs(records - 3000) < 150);
}

}  // namespace
}  // namespace jd
