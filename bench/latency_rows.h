#pragma once

namespace jd {

/// Compares calls through one gateway with direct calls to the endpoints.
int RunAddedLatency(int argc, char** argv);

/// Compares the tail latency of the policies with each other, with `pooled` and with theory.
int RunTails(int argc, char** argv);

}  // namespace jd
