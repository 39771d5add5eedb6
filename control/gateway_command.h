#pragma once

#include <string>
#include <vector>

namespace jd {

inline constexpr const char* kGatewayUsage = R"(Runs a gateway until it receives SIGTERM.

Usage:
  jackdawdeck gateway [--config FILE]

Options:
  --config FILE  Settings, see docs/configuration.md; without it the file that the variable
                 JACKDAWDECK_NODE_FILE names.

Exit code: 0 stopped without cutting off a call, 1 a port cannot be opened, 2 wrong settings.
)";

/// Runs the command `gateway`, see Command::run.
int RunGatewayCommand(const std::vector<std::string>& arguments);

}  // namespace jd
