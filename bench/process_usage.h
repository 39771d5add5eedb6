#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace jd {

/// Writes CPU time and resident memory of processes at one moment.
int RunProcessUsage(int argc, char** argv);

/// Returns the share of one core that the busiest process of a name used between two files that
/// RunProcessUsage wrote, or 0 if there is none.
double BusiestShare(const nlohmann::json& before,
                    const nlohmann::json& after,
                    const std::string& name);

}  // namespace jd
