#include "cluster/zone_contacts.h"

#include <algorithm>

namespace jd {

void ZoneContacts::SetGateways(const VmList& gateways) {
  gateways_.clear();
  by_zone_.clear();
  std::map<ZoneId, GatewayId> first;
  for (const Vm& vm : gateways) {
    const GatewayId id(vm.name);
    gateways_.insert(id);
    by_zone_[vm.zone].push_back(id);
    const auto [lowest, added] = first.emplace(vm.zone, id);
    lowest->second = std::min(lowest->second, id);
  }
  std::erase_if(contacts_, [&](const auto& contact) {
    return !first.contains(contact.first) || !gateways_.contains(contact.second);
  });
  contacts_.insert(first.begin(), first.end());
}

void ZoneContacts::OnReader(const GatewayId& reader, const ZoneId& zone) {
  if (gateways_.contains(reader)) {
    contacts_[zone] = reader;
  }
}

std::optional<GatewayId> ZoneContacts::contact(const ZoneId& zone) const {
  const auto found = contacts_.find(zone);
  return found == contacts_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<GatewayId> ZoneContacts::contacts() const {
  std::vector<GatewayId> ids;
  for (const auto& [zone, id] : contacts_) {
    ids.push_back(id);
  }
  return ids;
}

std::vector<GatewayId> ZoneContacts::OneOfEachZone(size_t index) const {
  std::vector<GatewayId> chosen;
  for (const auto& [zone, gateways] : by_zone_) {
    chosen.push_back(gateways[index % gateways.size()]);
  }
  return chosen;
}

std::vector<ZoneId> ZoneContacts::zones() const {
  std::vector<ZoneId> zones;
  for (const auto& [zone, contact] : contacts_) {
    zones.push_back(zone);
  }
  return zones;
}

}  // namespace jd
