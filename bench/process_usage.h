#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace jd {

/// Writes the current CPU time and resident memory of processes to a file.
/// @return exit status of the program.
int RunProcessUsage(int argc, char** argv);

/// Returns the share of one core that the busiest process with this name used between two snapshots
/// of RunProcessUsage, or 0 if no process of that name is in both.
double BusiestCoreShare(const nlohmann::json& before,
                        const nlohmann::json& after,
                        const std::string& name);

}  // namespace jd
