#pragma once

namespace jd {

/// Writes rows that compare the latency of calls through one gateway with that of direct calls to
/// the endpoints.
/// @return exit status of the program.
int RunAddedLatency(int argc, char** argv);

/// Writes rows that compare the tail latency of the routing policies with that of `pooled` and of
/// `least_request`, and that of `pooled` with a queueing model.
/// @return exit status of the program.
int RunTails(int argc, char** argv);

}  // namespace jd
