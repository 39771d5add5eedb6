#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jd {

/// One figure of the benchmark.
struct Row {
  std::string case_name;
  std::string metric;
  std::string unit;
  std::vector<double> values;  ///< One for each seed.
  std::string baseline;        ///< What the value is compared with; empty if nothing.
  std::vector<double> baseline_values;
  std::string parameters = {};  ///< Load and service times of the case.
};

/// Returns the fields of bench.json: medians over the seeds, the ratio of each seed's value to its
/// baseline as a median, and the lowest and highest ratio if there are several seeds.
nlohmann::json ToJson(const Row& row);

/// Writes rows as a JSON list. Throws std::runtime_error.
void WriteRows(const std::string& path, const std::vector<Row>& rows);

/// Reads a JSON file. Throws std::runtime_error that names the file.
nlohmann::json ReadJsonFile(const std::string& path);

/// Returns the middle value; the lower one of an even number. `values` must not be empty.
double MedianOf(std::vector<double> values);

}  // namespace jd
