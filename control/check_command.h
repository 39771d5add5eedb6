#pragma once

#include <string>
#include <vector>

namespace jd {

inline constexpr const char* kCheckUsage = R"(Checks a settings file and prints one line per error.

Usage:
  jackdawdeck check FILE

Exit code: 0 if the file is accepted, otherwise 2.
)";

/// Runs the command `check`, see Command::run.
int RunCheckCommand(const std::vector<std::string>& arguments);

}  // namespace jd
