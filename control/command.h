#pragma once

#include <string>
#include <vector>

namespace jd {

/// Exit codes of all commands.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsageError = 2;
inline constexpr int kExitOutcomeUnknown = 3;  ///< The change may or may not have been recorded.

/// A subcommand of the program, or the group of operator commands.
struct Command {
  const char* name;   ///< First word of the command line; empty for the operator commands.
  const char* usage;  ///< Usage text, from which docopt parses the command line.
  /// Runs the command.
  /// @param arguments the whole command line without the program's name.
  /// @return the exit code.
  /// @throws docopt::DocoptExitHelp, docopt::DocoptArgumentError if help is requested, or if the
  /// arguments do not match the usage.
  int (*run)(const std::vector<std::string>& arguments);
};

/// Returns every subcommand.
const std::vector<Command>& AllCommands();

/// Runs the subcommand that a command line names. Prints usage errors to standard error.
/// @param arguments the command line without the program's name.
/// @return the exit code.
int RunCommandLine(const std::vector<std::string>& arguments);

}  // namespace jd
