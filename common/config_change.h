#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "common/configuration.h"
#include "common/ids.h"
#include "common/json_fields.h"

namespace jd {

/// A workspace's default share of every service.
struct Workspace {
  WorkspaceId id;
  double share = 1.0;
  bool operator==(const Workspace&) const = default;
};

enum class ObjectKind : uint8_t { kProfile, kService, kWorkspace, kZone };

/// Names one object of the configuration.
struct ObjectRef {
  ObjectKind kind = ObjectKind::kProfile;
  std::string name;
  /// Returns "kind/name", the key of Configuration::object_versions.
  std::string key() const;
  bool operator==(const ObjectRef&) const = default;
};

/// Removes an object; a removed zone counts as in.
struct Removal {
  ObjectRef object;
  bool operator==(const Removal&) const = default;
};

/// One operator change: puts a whole object in place of the old one, or removes it.
using ConfigChange = std::variant<Profile, Service, Workspace, Zone, Removal>;

/// Returns the object that a change writes.
ObjectRef ObjectOf(const ConfigChange& change);

/// Returns the change that gives an object the content it has in `configuration`: a put, or a
/// removal if it is absent there.
ConfigChange ChangeTo(const Configuration& configuration, const ObjectRef& object);

/// Returns why the change cannot be made to this configuration, for example because the profile
/// of a service does not exist.
ConfigErrors CheckChange(const Configuration& configuration, const ConfigChange& change);

/// Reports what a service refers to that does not exist, and endpoints that another service has.
/// @param path prefix of the fields' paths.
void CheckReferences(const Configuration& configuration,
                     const Service& service,
                     const std::string& path,
                     ConfigErrors* errors);

/// Returns the configuration with the change made, at the next version, without checks.
Configuration WithChange(const Configuration& configuration, const ConfigChange& change);

}  // namespace jd
