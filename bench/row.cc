#include "bench/row.h"

#include <algorithm>
#include <cassert>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace jd {

using nlohmann::json;

double Median(std::vector<double> values) {
  assert(!values.empty());
  std::sort(values.begin(), values.end());
  return values[(values.size() - 1) / 2];
}

json ToJson(const Row& row) {
  json out = {{"case", row.case_name}, {"metric", row.metric},      {"unit", row.unit},
              {"value", nullptr},      {"baseline", nullptr},       {"baseline_value", nullptr},
              {"ratio", nullptr},      {"seeds", row.values.size()}};
  if (!row.parameters.empty()) {
    out["parameters"] = row.parameters;
  }
  if (row.values.empty()) {
    return out;
  }
  out["value"] = Median(row.values);
  if (row.baseline.empty() || row.baseline_values.empty()) {
    return out;
  }
  out["baseline"] = row.baseline;
  out["baseline_value"] = Median(row.baseline_values);
  std::vector<double> ratios;
  for (size_t i = 0; i < std::min(row.values.size(), row.baseline_values.size()); ++i) {
    if (row.baseline_values[i] > 0) {
      ratios.push_back(row.values[i] / row.baseline_values[i]);
    }
  }
  if (!ratios.empty()) {
    out["ratio"] = Median(ratios);
    out["ratio_min"] = *std::min_element(ratios.begin(), ratios.end());
    out["ratio_max"] = *std::max_element(ratios.begin(), ratios.end());
  }
  return out;
}

void WriteRows(const std::string& path, const std::vector<Row>& rows) {
  json list = json::array();
  for (const Row& row : rows) {
    list.push_back(ToJson(row));
  }
  std::ofstream out(path);
  out << list.dump(1) << "\n";
  if (!out) {
    throw std::runtime_error("cannot write " + path);
  }
}

json ReadJsonFile(const std::string& path) {
  std::ifstream file(path);
  json out = json::parse(file, nullptr, false);
  if (!file || out.is_discarded()) {
    throw std::runtime_error("cannot read or parse JSON file: " + path);
  }
  return out;
}

}  // namespace jd
