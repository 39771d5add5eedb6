#pragma once

#include <string>
#include <vector>

namespace jd {

/// Returns whether `name` is the first word of an operator command.
bool IsOperatorCommand(const std::string& name);

/// Runs one operator command and prints its result.
/// @param args the command line without the program's name.
/// @return the exit code.
int RunOperatorCommand(const std::vector<std::string>& args);

}  // namespace jd
