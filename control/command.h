#pragma once

#include <string>
#include <vector>

namespace jd {

/// Exit codes of every command.
inline constexpr int kCommandDone = 0;
inline constexpr int kCommandFailed = 1;
inline constexpr int kCommandUsage = 2;
inline constexpr int kCommandUnknown = 3;  ///< The change may or may not be recorded.

/// A subcommand, chosen by its first word.
struct Command {
  const char* name;
  const char* usage;  ///< Read by docopt: the text is the grammar of the command line.
  /// Runs the whole command line, without the program's name, and returns the exit code.
  /// Throws docopt's exceptions if the line does not follow the usage.
  int (*run)(const std::vector<std::string>& arguments);
};

/// Returns every subcommand.
const std::vector<Command>& AllCommands();

/// Parses a command line and runs its subcommand; usage errors are printed.
/// @param arguments without the program's name. @return the exit code.
int RunCommandLine(const std::vector<std::string>& arguments);

}  // namespace jd
