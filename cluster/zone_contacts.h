#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/ids.h"
#include "common/vm_list.h"

namespace jd {

/// The gateways of the other zones, and for each of these zones the one gateway, the contact, that
/// passes table updates on to the others of its zone.
///
/// Gateways of other zones send no heartbeats, so a contact may have failed. The gateways of its
/// zone then read the table themselves, and the one that did becomes the contact.
class ZoneContacts {
 public:
  /// Sets the gateways of other zones. A contact that is no longer among them is replaced.
  void SetGateways(const VmList& gateways);
  /// Makes a gateway that has just read a table the contact of its zone. Has no effect if the
  /// gateway is not known.
  void OnReader(const GatewayId& reader, const ZoneId& zone);
  /// Returns the contacts, one for each zone.
  std::vector<GatewayId> contacts() const;
  /// Returns the contact of a zone, or nothing if the zone has no gateways.
  std::optional<GatewayId> contact(const ZoneId& zone) const;
  /// Returns one gateway of each zone, another one for each `index`, so that requests of many
  /// gateways are spread and one that has failed is not asked for long.
  std::vector<GatewayId> OneOfEachZone(size_t index) const;
  /// Returns the other zones that have gateways.
  std::vector<ZoneId> zones() const;
  /// Returns all gateways of other zones.
  const std::set<GatewayId>& gateways() const { return gateways_; }

 private:
  std::set<GatewayId> gateways_;
  std::map<ZoneId, std::vector<GatewayId>> by_zone_;
  std::map<ZoneId, GatewayId> contacts_;
};

}  // namespace jd
