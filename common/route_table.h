#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/configuration.h"

namespace jd {

/// Finds the route of a call by its host and the longest matching path prefix.
class RouteTable {
 public:
  explicit RouteTable(std::vector<Route> routes);

  /// @param host value of the Host header; its case and port are ignored.
  /// @param target request target; its query and fragment are ignored.
  /// @return the route of this host whose prefix is the longest that matches the path, or null.
  const Route* Find(std::string_view host, std::string_view target) const;
  size_t size() const { return routes_.size(); }
  const std::vector<Route>& routes() const { return routes_; }

 private:
  std::vector<Route> routes_;
  /// Indices into routes_, by normalized host and then by path prefix.
  std::map<std::string, std::map<std::string, size_t, std::less<>>, std::less<>> hosts_;
};

/// Chooses one of a route's services in proportion to their weights.
/// @param draw uniformly distributed random number or hash.
/// @return the service; equal draws give the same service.
const ServiceId& ChooseTarget(const Route& route, uint64_t draw);

}  // namespace jd
