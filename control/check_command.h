#pragma once

#include <string>
#include <vector>

namespace jd {

inline constexpr const char* kCheckUsage = R"(Checks a settings file; prints one line per fault.

Usage:
  jackdawdeck check FILE

Exit code: 0 the file is accepted, 2 it is not.
)";

/// Runs the command `check`, see Command::run.
int RunCheckCommand(const std::vector<std::string>& arguments);

}  // namespace jd
