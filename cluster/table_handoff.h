#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "common/ids.h"
#include "common/units.h"
#include "common/vm_list.h"

namespace jd {

/// Decides which peer passes its tables to a gateway that starts, and remembers the peers that wait
/// for the tables of this gateway.
///
/// In a new deployment the gateways of a zone form a tree in the order of their ids. A gateway asks
/// its parent and passes the tables on to its children, so that the work of each gateway stays
/// bounded although all start at the same time. Only the root reads the store. A gateway without a
/// reply in time reads it too.
class TableHandoff {
 public:
  /// Maximum number of children of a gateway.
  static constexpr size_t kMaxChildren = 4;
  /// How long a gateway waits for the tables of a peer before it reads the store.
  static constexpr Duration kReplyTimeout = 400ms;

  /// Returns the gateway to ask for the tables.
  /// @param gateways all gateways, in any order; those of other zones are ignored.
  /// @return nothing for the root of the tree, and for a gateway that is not listed.
  static std::optional<GatewayId> ParentOf(const Vm& self, const VmList& gateways);

  void AddRequester(const GatewayId& requester) { requesters_.insert(requester); }
  /// Returns the peers that have asked for the tables since the last call.
  std::vector<GatewayId> TakeRequesters();

 private:
  std::set<GatewayId> requesters_;
};

}  // namespace jd
