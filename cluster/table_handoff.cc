#include "cluster/table_handoff.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jd {
namespace {

// Returns the ids of the gateways in the zone, in ascending order.
std::vector<GatewayId> GatewaysOf(const ZoneId& zone, const VmList& gateways) {
  std::vector<GatewayId> ids;
  for (const Vm& vm : gateways) {
    if (vm.zone == zone) {
      ids.emplace_back(vm.name);
    }
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

}  // namespace

std::optional<GatewayId> TableHandoff::ParentOf(const Vm& self, const VmList& gateways) {
  const std::vector<GatewayId> ids = GatewaysOf(self.zone, gateways);
  const auto own = std::find(ids.begin(), ids.end(), GatewayId(self.name));
  if (own == ids.begin() || own == ids.end()) {
    return std::nullopt;
  }
  const auto rank = static_cast<size_t>(std::distance(ids.begin(), own));
  return ids[(rank - 1) / kMaxChildren];
}

std::vector<GatewayId> TableHandoff::TakeRequesters() {
  const std::set<GatewayId> requesters = std::exchange(requesters_, {});
  return {requesters.begin(), requesters.end()};
}

}  // namespace jd
