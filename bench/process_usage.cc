#include "bench/process_usage.h"

#include <docopt/docopt.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace jd {
namespace {

using nlohmann::json;

constexpr char kUsage[] = R"(Writes the current CPU time and resident memory of processes as JSON.

Usage:
  usage --out=FILE PROCESS...

PROCESS is NAME:PID.
)";

json ReadProcess(const std::string& name, const std::string& pid) {
  std::ifstream file("/proc/" + pid + "/stat");
  std::string text;
  std::getline(file, text);
  // The second field is the program's name in parentheses, which may hold spaces.
  const size_t close = text.rfind(')');
  if (close == std::string::npos) {
    throw std::runtime_error("cannot read /proc/" + pid + "/stat");
  }
  std::istringstream fields(text.substr(close + 1));
  std::vector<std::string> values;
  for (std::string field; fields >> field;) {
    values.push_back(field);
  }
  // proc(5): user time is field 14, system time 15, resident pages 24; values[0] is field 3.
  const double ticks = std::stod(values.at(11)) + std::stod(values.at(12));
  const double pages = std::stod(values.at(21));
  return {{"name", name},
          {"pid", pid},
          {"cpu_s", ticks / static_cast<double>(sysconf(_SC_CLK_TCK))},
          {"resident_mb", pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6}};
}

}  // namespace

int RunProcessUsage(int argc, char** argv) {
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  const std::chrono::duration<double> at = std::chrono::steady_clock::now().time_since_epoch();
  json out = {{"at_s", at.count()}, {"processes", json::array()}};
  for (const std::string& process : arguments["PROCESS"].asStringList()) {
    const size_t colon = process.find(':');
    out["processes"].push_back(ReadProcess(process.substr(0, colon), process.substr(colon + 1)));
  }
  std::ofstream file(arguments["--out"].asString());
  file << out.dump(1) << "\n";
  return file ? 0 : 1;
}

double BusiestCoreShare(const json& before, const json& after, const std::string& name) {
  const double seconds = after["at_s"].get<double>() - before["at_s"].get<double>();
  double busiest = 0;
  for (const json& end : after["processes"]) {
    for (const json& start : before["processes"]) {
      if (end["name"] == name && end["pid"] == start["pid"]) {
        const double used = end["cpu_s"].get<double>() - start["cpu_s"].get<double>();
        busiest = std::max(busiest, used / seconds);
      }
    }
  }
  return busiest;
}

}  // namespace jd
