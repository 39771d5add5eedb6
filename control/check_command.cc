#include "control/check_command.h"

#include <iostream>

#include "gateway/settings.h"

namespace jd {

ExitCode RunCheckCommand(const CommandArguments& arguments) {
  try {
    LoadSettings(arguments.at("FILE").asString());
  } catch (const SettingsError& error) {
    std::cerr << error.what() << "\n";
    return ExitCode::kUsage;
  }
  return ExitCode::kDone;
}

}  // namespace jd
