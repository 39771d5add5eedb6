#include "common/route_table.h"

#include <cctype>
#include <limits>
#include <utility>

namespace jd {
namespace {

std::string NormalizeHost(std::string_view host) {
  // A colon inside brackets belongs to an IPv6 address.
  const size_t bracket = host.find(']');
  const size_t colon = host.find(':', bracket == std::string_view::npos ? 0 : bracket);
  std::string name(host.substr(0, colon));
  for (char& c : name) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return name;
}

}  // namespace

RouteTable::RouteTable(std::vector<Route> routes) : routes_(std::move(routes)) {
  for (size_t i = 0; i < routes_.size(); ++i) {
    hosts_[NormalizeHost(routes_[i].host)].emplace(routes_[i].prefix, i);
  }
}

const Route* RouteTable::Find(std::string_view host, std::string_view target) const {
  const auto prefixes = hosts_.find(NormalizeHost(host));
  if (prefixes == hosts_.end()) {
    return nullptr;
  }
  std::string_view path = target.substr(0, target.find_first_of("?#"));
  // Every prefix ends with a slash, so only prefixes that end at a slash of the path can match.
  for (size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
    const auto found = prefixes->second.find(path.substr(0, slash + 1));
    if (found != prefixes->second.end()) {
      return &routes_[found->second];
    }
  }
  return nullptr;
}

const ServiceId& ChooseTarget(const Route& route, uint64_t draw) {
  double total = 0;
  for (const RouteTarget& target : route.targets) {
    total += target.weight;
  }
  double position = total * (static_cast<double>(draw) /
                             static_cast<double>(std::numeric_limits<uint64_t>::max()));
  for (const RouteTarget& target : route.targets) {
    if (position < target.weight) {
      return target.service;
    }
    position -= target.weight;
  }
  return route.targets.back().service;
}

}  // namespace jd
