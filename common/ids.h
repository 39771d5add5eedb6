#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace jd {

/// The name of an object. Each kind of object has its own type, and names of different kinds do not
/// convert into each other.
/// @tparam Tag makes the type of each kind distinct.
template <typename Tag>
struct NameId {
  std::string value;

  NameId() = default;
  explicit NameId(std::string name) : value(std::move(name)) {}

  bool empty() const { return value.empty(); }
  auto operator<=>(const NameId&) const = default;

  friend std::ostream& operator<<(std::ostream& out, const NameId& id) { return out << id.value; }
};

/// The numeric id of an object. Each kind of object has its own type.
/// @tparam Tag makes the type of each kind distinct.
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
/// Unique across all services; by convention "service/name".
using EndpointId = NameId<struct EndpointTag>;
/// Identifies one run of an upstream process; a new value means a restart.
using InstanceId = NameId<struct InstanceTag>;
/// Identifies a pool, which is a group of at most kMaxPoolEndpoints endpoints of one service. Has
/// the form "service#index".
using PoolId = NameId<struct PoolTag>;
using RequestId = NameId<struct RequestTag>;
/// The software release that an upstream process runs; processes of one service may differ in it.
using SoftwareVersion = NameId<struct SoftwareVersionTag>;

using CallId = NumberId<struct CallTag>;
using AttemptId = NumberId<struct AttemptTag>;
/// Identifies one run of a gateway process: its start time in microseconds of wall time. A higher
/// value is a newer run.
using Incarnation = NumberId<struct IncarnationTag>;
using ConfigVersion = NumberId<struct ConfigVersionTag>;
/// Identifies one history of the platform's store. It changes when the store has lost changes that
/// it had confirmed, after which it counts versions from an earlier one again.
using StoreEra = NumberId<struct StoreEraTag>;
/// Hash of a request's method, target and body.
using Fingerprint = NumberId<struct FingerprintTag>;

}  // namespace jd

// Hidden from Doxygen, which reports an inconsistency for specializations outside their namespace.
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
