#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>
#include <vector>

namespace jd {

/// Exit codes of every command.
enum class ExitCode : int { kDone = 0, kFailed = 1, kUsage = 2, kUnknown = 3 };

using CommandArguments = std::map<std::string, docopt::value>;

/// A subcommand: its usage text in docopt form, and what runs it.
struct Command {
  const char* name;
  const char* usage;
  ExitCode (*run)(const CommandArguments& arguments);
};

/// Returns every subcommand.
const std::vector<Command>& AllCommands();

/// Parses a command line and runs its subcommand; usage errors are printed.
/// @param arguments without the program's name.
ExitCode RunCommandLine(const std::vector<std::string>& arguments);

}  // namespace jd
