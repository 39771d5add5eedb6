#pragma once

#include "control/command.h"

namespace jd {

inline constexpr const char* kCheckUsage = R"(Checks a settings file; prints one line per fault.

Usage:
  jackdawdeck check FILE

Exit code: 0 the file is accepted, 2 it is not.
)";

ExitCode RunCheckCommand(const CommandArguments& arguments);

}  // namespace jd
