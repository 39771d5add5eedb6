#pragma once

#include <string>
#include <vector>

namespace jd {

inline constexpr const char* kSettingsUsage = R"(Prints what settings and configuration accept.

Usage:
  jackdawdeck settings --markdown

Options:
  --markdown  Print the page docs/configuration.md.

Exit code: 0.
)";

/// Runs the command `settings`, see Command::run.
int RunSettingsCommand(const std::vector<std::string>& arguments);

}  // namespace jd
