#pragma once

namespace jd {

/// Merges the row files of all cases into one JSON file and prints the rows as a table.
/// @return exit status of the program.
int RunReport(int argc, char** argv);

}  // namespace jd
