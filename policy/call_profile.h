#pragma once

#include "common/configuration.h"
#include "policy/call_request.h"

namespace jd {

/// Returns the profile of a request: that of its route, or without a route table that of the
/// service that it names. Null if there is none.
const Profile* FindProfile(const Configuration& configuration, const CallRequest& request);

/// Returns whether the configuration allows a request to be executed more than once.
bool IsIdempotent(const Configuration& configuration, const CallRequest& request);

}  // namespace jd
