#pragma once

namespace jd {

/// Reads the ledger of the upstreams after runs at a low load and with cold endpoints: what the
/// probes cost, and what cold endpoints were given.
int RunLedgerRows(int argc, char** argv);

}  // namespace jd
