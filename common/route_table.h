#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/configuration.h"

namespace jd {

/// Finds the route of a call by host and path.
class RouteTable {
 public:
  explicit RouteTable(std::vector<Route> routes);

  /// @param host value of the Host header; case and a port do not matter.
  /// @param target request target; its query does not matter.
  /// @return the route of that host with the longest prefix of the path, or null.
  const Route* Find(std::string_view host, std::string_view target) const;
  size_t size() const { return routes_.size(); }
  const std::vector<Route>& routes() const { return routes_; }

 private:
  std::vector<Route> routes_;
  /// Positions in routes_ by prefix, for each host.
  std::map<std::string, std::map<std::string, size_t, std::less<>>, std::less<>> hosts_;
};

/// Chooses one of a route's services in proportion to their weights.
/// @param draw uniformly distributed number.
/// @return the service, the same for the same draw.
const ServiceId& ChooseTarget(const Route& route, uint64_t draw);

}  // namespace jd
