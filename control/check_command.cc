#include "control/check_command.h"

#include <docopt/docopt.h>

#include <iostream>

#include "control/command.h"
#include "gateway/settings.h"

namespace jd {

int RunCheckCommand(const std::vector<std::string>& arguments) {
  const auto options = docopt::docopt_parse(kCheckUsage, arguments, true, false);
  try {
    LoadSettings(options.at("FILE").asString());
  } catch (const SettingsError& error) {
    std::cerr << error.what() << "\n";
    return kExitUsageError;
  }
  return kExitSuccess;
}

}  // namespace jd
