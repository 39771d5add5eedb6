#pragma once

namespace jd {

/// Writes rows computed from the request ledger of the upstream stand-in: the cost of probes at a
/// low load, or the load that cold endpoints received.
/// @return exit status of the program.
int RunLedgerRows(int argc, char** argv);

}  // namespace jd
