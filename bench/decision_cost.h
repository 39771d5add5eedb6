#pragma once

namespace jd {

/// Measures the CPU time of choosing an endpoint, for each routing policy and several numbers of
/// endpoints, without I/O. Writes the results as rows.
/// @return exit status of the program.
int RunDecisionCost(int argc, char** argv);

}  // namespace jd
