#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace jd {

/// A name of one kind of object; names of different kinds do not convert into each other.
/// @tparam Tag distinguishes the kind.
template <typename Tag>
struct NameId {
  std::string value;

  NameId() = default;
  explicit NameId(std::string name) : value(std::move(name)) {}

  bool empty() const { return value.empty(); }
  auto operator<=>(const NameId&) const = default;

  friend std::ostream& operator<<(std::ostream& out, const NameId& id) { return out << id.value; }
};

/// A number that identifies one object of a kind.
/// @tparam Tag distinguishes the kind.
template <typename Tag>
struct NumberId {
  uint64_t value = 0;

  NumberId() = default;
  explicit constexpr NumberId(uint64_t number) : value(number) {}

  auto operator<=>(const NumberId&) const = default;

  friend std::ostream& operator<<(std::ostream& out, NumberId id) { return out << id.value; }
};

using GatewayId = NameId<struct GatewayTag>;
using ZoneId = NameId<struct ZoneTag>;
using WorkspaceId = NameId<struct WorkspaceTag>;
using ServiceId = NameId<struct ServiceTag>;
using ProfileId = NameId<struct ProfileTag>;
using RouteId = NameId<struct RouteTag>;
/// Unique over all services, by convention "service/name".
using EndpointId = NameId<struct EndpointTag>;
/// Identifies one run of an upstream process; a new value means a restart.
using InstanceId = NameId<struct InstanceTag>;
/// A pool is up to kMaxPoolEndpoints endpoints of one service, "service#index".
using PoolId = NameId<struct PoolTag>;
using RequestId = NameId<struct RequestTag>;

using CallId = NumberId<struct CallTag>;
using AttemptId = NumberId<struct AttemptTag>;
/// Start time of a gateway process in microseconds of wall time; higher is newer.
using Incarnation = NumberId<struct IncarnationTag>;
using ConfigVersion = NumberId<struct ConfigVersionTag>;
using Fingerprint = NumberId<struct FingerprintTag>;

}  // namespace jd

// Doxygen reports an inconsistency for specialisations outside their namespace.
/// @cond
template <typename Tag>
struct std::hash<jd::NameId<Tag>> {
  size_t operator()(const jd::NameId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value);
  }
};

template <typename Tag>
struct std::hash<jd::NumberId<Tag>> {
  size_t operator()(jd::NumberId<Tag> id) const noexcept { return std::hash<uint64_t>()(id.value); }
};
/// @endcond
