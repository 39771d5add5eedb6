#include "bench/report.h"

#include <docopt/docopt.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>
#include <string>

#include "bench/row.h"

namespace jd {
namespace {

using nlohmann::json;

constexpr char kUsage[] = R"(Merges the rows of all cases into FILE and prints them as a table.

Usage:
  report --rows=DIR --out=FILE
)";

std::string FormatNumber(const json& value) {
  if (!value.is_number()) {
    return "-";
  }
  char text[32];
  std::snprintf(text, sizeof(text), "%.4g", value.get<double>());
  return text;
}

std::string FormatSpread(const json& row) {
  if (!row.contains("ratio_min") || row.value("seeds", 1) < 2) {
    return "";
  }
  return FormatNumber(row["ratio_min"]) + " to " + FormatNumber(row["ratio_max"]);
}

void PrintTable(const json& rows) {
  std::printf("%-19s %-34s %-7s %10s  %-22s %10s %8s %s\n", "case", "metric", "unit", "value",
              "baseline", "its value", "ratio", "spread");
  std::string parameters;
  for (const json& row : rows) {
    if (row.value("parameters", "") != parameters) {
      parameters = row.value("parameters", "");
      std::printf("%s: %s\n", row["case"].get<std::string>().c_str(),
                  parameters.empty() ? "no parameters" : parameters.c_str());
    }
    const std::string baseline =
        row["baseline"].is_string() ? row["baseline"].get<std::string>() : "-";
    std::printf("%-19s %-34s %-7s %10s  %-22s %10s %8s %s\n",
                row["case"].get<std::string>().c_str(), row["metric"].get<std::string>().c_str(),
                row["unit"].get<std::string>().c_str(), FormatNumber(row["value"]).c_str(),
                baseline.c_str(), FormatNumber(row["baseline_value"]).c_str(),
                FormatNumber(row["ratio"]).c_str(), FormatSpread(row).c_str());
  }
}

}  // namespace

int RunReport(int argc, char** argv) {
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  std::set<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(arguments["--rows"].asString())) {
    files.insert(entry.path());
  }
  json rows = json::array();
  for (const auto& file : files) {
    for (json& row : ReadJsonFile(file.string())) {
      rows.push_back(std::move(row));
    }
  }
  const std::string path = arguments["--out"].asString();
  std::ofstream out(path);
  out << rows.dump(1) << "\n";
  if (!out) {
    throw std::runtime_error("cannot write " + path);
  }
  PrintTable(rows);
  return 0;
}

}  // namespace jd
