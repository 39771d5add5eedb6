#include "control/command.h"

#include <docopt/docopt.h>

#include <iostream>

#include "control/check_command.h"
#include "control/gateway_command.h"
#include "control/operator_commands.h"
#include "control/operator_usage.h"
#include "control/settings_command.h"

namespace jd {
namespace {

void PrintUsage(std::ostream& out) {
  out << "Usage:\n";
  for (const Command& command : AllCommands()) {
    const std::string usage = command.usage;
    const size_t start = usage.find("  jackdawdeck");
    out << usage.substr(start, usage.find("\n\n", start) - start) << "\n";
  }
}

// The operator commands share one usage text, so they have one entry with an empty name.
bool MatchesName(const Command& command, const std::string& name) {
  return command.name[0] == '\0' ? IsOperatorCommand(name) : name == command.name;
}

}  // namespace

const std::vector<Command>& AllCommands() {
  static const std::vector<Command> commands = {
      {"gateway", kGatewayUsage, &RunGatewayCommand},
      {"check", kCheckUsage, &RunCheckCommand},
      {"settings", kSettingsUsage, &RunSettingsCommand},
      {"", kOperatorUsage, &RunOperatorCommand},
  };
  return commands;
}

int RunCommandLine(const std::vector<std::string>& arguments) {
  if (!arguments.empty() && (arguments[0] == "--help" || arguments[0] == "-h")) {
    PrintUsage(std::cout);
    return kExitSuccess;
  }
  for (const Command& command : AllCommands()) {
    if (arguments.empty() || !MatchesName(command, arguments[0])) {
      continue;
    }
    try {
      return command.run(arguments);
    } catch (const docopt::DocoptExitHelp&) {
      std::cout << command.usage;
      return kExitSuccess;
    } catch (const docopt::DocoptArgumentError& error) {
      std::cerr << "jackdawdeck: " << error.what() << "\n" << command.usage;
      return kExitUsageError;
    }
  }
  std::cerr << "jackdawdeck: "
            << (arguments.empty() ? "no command given" : "unknown command '" + arguments[0] + "'")
            << "\n";
  PrintUsage(std::cerr);
  return kExitUsageError;
}

}  // namespace jd
