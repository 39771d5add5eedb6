#pragma once

namespace jd {

/// Times the choice of an endpoint by each routing policy and number of endpoints, without I/O.
int RunDecisionCost(int argc, char** argv);

}  // namespace jd
