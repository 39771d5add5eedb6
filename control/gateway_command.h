#pragma once

#include "control/command.h"

namespace jd {

inline constexpr const char* kGatewayUsage = R"(Runs a gateway until it receives SIGTERM.

Usage:
  jackdawdeck gateway --config FILE

Options:
  --config FILE  Settings, see docs/configuration.md.

Exit code: 0 stopped without cutting off a call, 1 a port cannot be opened, 2 wrong settings.
)";

ExitCode RunGatewayCommand(const CommandArguments& arguments);

}  // namespace jd
