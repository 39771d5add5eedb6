#include "common/configuration.h"

#include <algorithm>

namespace jd {

bool IsIdempotent(const Profile& profile, const std::string& method, const std::string& path) {
  if (std::find(profile.idempotent_methods.begin(), profile.idempotent_methods.end(), method) !=
      profile.idempotent_methods.end()) {
    return true;
  }
  return std::any_of(profile.idempotent_paths.begin(), profile.idempotent_paths.end(),
                     [&](const std::string& prefix) { return path.starts_with(prefix); });
}

}  // namespace jd
