#include "bench/ledger_rows.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <string>
#include <vector>

#include "bench/row.h"

namespace jd {
namespace {

using nlohmann::json;

constexpr char kUsage[] =
    R"(Computes the rows of one benchmark case from the request ledger of the upstreams.

Usage:
  bench ledger (measuring_cost | cold_start) POLICY --before=FILE --after=FILE --slots=N
               --bound=X --out=FILE

The files for --before and --after are answers of /ledger/summary. --bound is the share of slot time
that probes may use (measuring_cost), or the number of concurrent calls that a cold endpoint can
handle (cold_start).
)";

// Returns by how much a field of each endpoint increased between the two summaries.
std::vector<double> Increases(const json& before, const json& after, const char* field) {
  std::vector<double> increases;
  for (const auto& [id, counters] : after["endpoints"].items()) {
    const json earlier = before["endpoints"].value(id, json::object());
    increases.push_back(counters[field].get<double>() - earlier.value(field, 0.0));
  }
  return increases;
}

double MaxOrZero(const std::vector<double>& values) {
  return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

}  // namespace

int RunLedgerRows(int argc, char** argv) {
  auto arguments = docopt::docopt(kUsage, {argv, argv + argc});
  const json before = ReadJsonFile(arguments["--before"].asString());
  const json after = ReadJsonFile(arguments["--after"].asString());
  const double bound = std::stod(arguments["--bound"].asString());
  const std::string policy = arguments["POLICY"].asString();
  std::vector<Row> rows;
  if (arguments["measuring_cost"].asBool()) {
    const double micros = after["now_us"].get<double>() - before["now_us"].get<double>();
    const double slot_time = micros * std::stod(arguments["--slots"].asString());
    const double probes = MaxOrZero(Increases(before, after, "probes"));
    const double share = MaxOrZero(Increases(before, after, "probe_us")) / slot_time;
    rows.push_back({"measuring_cost",
                    policy + " most probes of an endpoint",
                    "1/s",
                    {probes * 1e6 / micros},
                    "",
                    {}});
    rows.push_back({"measuring_cost",
                    policy + " highest share of slots",
                    "share",
                    {share},
                    "budget",
                    {bound}});
  } else {
    rows.push_back({"cold_start",
                    policy + " most in flight while cold",
                    "calls",
                    {after["max_in_flight_cold"].get<double>()},
                    "bears",
                    {bound}});
    rows.push_back(
        {"cold_start", policy + " overloads", "count", {after["overloads"].get<double>()}, "", {}});
  }
  WriteRows(arguments["--out"].asString(), rows);
  return 0;
}

}  // namespace jd
