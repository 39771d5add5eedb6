#include "policy/call_profile.h"

#include "common/route_table.h"

namespace jd {

const Profile* FindProfile(const Configuration& configuration, const CallRequest& request) {
  if (configuration.routes != nullptr) {
    const Route* route = configuration.routes->Find(request.host, request.path);
    return route == nullptr ? nullptr : &route->profile;
  }
  const auto service = configuration.services.find(request.service);
  if (service == configuration.services.end()) {
    return nullptr;
  }
  const auto profile = configuration.profiles.find(service->second.profile);
  return profile == configuration.profiles.end() ? nullptr : &profile->second;
}

bool IsIdempotent(const Configuration& configuration, const CallRequest& request) {
  const Profile* profile = FindProfile(configuration, request);
  return profile != nullptr && IsIdempotent(*profile, request.method, request.path);
}

}  // namespace jd
