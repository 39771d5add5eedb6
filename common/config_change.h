#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "common/configuration.h"
#include "common/ids.h"
#include "common/json_fields.h"

namespace jd {

/// Kinds of configuration objects that an operator can write.
enum class ObjectKind : uint8_t { kProfile, kService, kWorkspace, kZone };

/// Identifies one object of the configuration.
struct ObjectRef {
  ObjectKind kind = ObjectKind::kProfile;
  std::string name;
  /// Returns "kind/name", the object's key in Configuration::object_versions.
  std::string key() const;
  bool operator==(const ObjectRef&) const = default;
};

/// Removes an object. A zone that has no object is treated as ZoneState::kIn.
struct Removal {
  ObjectRef object;
  bool operator==(const Removal&) const = default;
};

/// One change by an operator: writes a whole object, replacing an existing one, or removes it.
using ConfigChange = std::variant<Profile, Service, Workspace, Zone, Removal>;

/// Returns the object that a change writes or removes.
ObjectRef ObjectOf(const ConfigChange& change);

/// Returns the change that gives an object the content it has in `configuration`: a write of the
/// object, or its removal if `configuration` does not contain it.
ConfigChange ChangeToRestore(const Configuration& configuration, const ObjectRef& object);

/// Returns the reasons why the change cannot be applied to the configuration, for example that the
/// profile of a service does not exist. The result is empty if the change is valid.
ConfigErrors CheckChange(const Configuration& configuration, const ConfigChange& change);

/// Adds an error for each reference of the service to a profile or workspace that does not exist,
/// and for each endpoint id that another service uses.
/// @param path prefix of the field paths in the errors.
void CheckReferences(const Configuration& configuration,
                     const Service& service,
                     const std::string& path,
                     ConfigErrors* errors);

/// Adds an error for each key of the workspace that is malformed or that another workspace has. No
/// error contains a key.
/// @param path prefix of the field paths in the errors.
void CheckKeys(const Configuration& configuration,
               const Workspace& workspace,
               const std::string& path,
               ConfigErrors* errors);

/// Returns the configuration that results from applying the change, at the next version. Does not
/// check the change.
Configuration WithChange(const Configuration& configuration, const ConfigChange& change);

}  // namespace jd
