#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jd {

/// One result of the benchmark: a metric of a case, with its values and an optional baseline.
struct Row {
  std::string case_name;
  std::string metric;
  std::string unit;
  std::vector<double> values;  ///< One for each seed.
  std::string baseline;        ///< Name of what the values are compared with; empty if nothing.
  std::vector<double> baseline_values;  ///< One for each seed.
  std::string parameters = {};          ///< Load and service times of the case.
};

/// Returns a row as in bench.json: the median values over the seeds, and the median, lowest and
/// highest ratio of a seed's value to its baseline.
nlohmann::json ToJson(const Row& row);

/// Writes rows as a JSON list.
/// @throws std::runtime_error if the file cannot be written.
void WriteRows(const std::string& path, const std::vector<Row>& rows);

/// Reads a JSON file.
/// @throws std::runtime_error with the file name if it cannot be read or parsed.
nlohmann::json ReadJsonFile(const std::string& path);

/// Returns the median; of an even number of values the lower middle one. `values` must not be
/// empty.
double Median(std::vector<double> values);

}  // namespace jd
