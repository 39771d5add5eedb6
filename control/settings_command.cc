#include "control/settings_command.h"

#include <docopt/docopt.h>

#include <iostream>

#include "control/command.h"
#include "gateway/configuration_page.h"

namespace jd {

int RunSettingsCommand(const std::vector<std::string>& arguments) {
  docopt::docopt_parse(kSettingsUsage, arguments, true, false);
  std::cout << ConfigurationPage();
  return kExitSuccess;
}

}  // namespace jd
