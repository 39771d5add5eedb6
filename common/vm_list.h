#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/ids.h"

namespace jd {

enum class VmRole : uint8_t { kGateway, kUpstream };
enum class VmState : uint8_t { kLive, kLeaving };

/// One VM in the platform's VM list. The list shows changes of the VMs only after a delay.
struct Vm {
  std::string name;  ///< Gateway id or endpoint id.
  VmRole role = VmRole::kGateway;
  VmState state = VmState::kLive;
  ZoneId zone;
  std::string address;
  uint16_t port = 0;  ///< Peer port of a gateway.
  bool operator==(const Vm&) const = default;
};

using VmList = std::vector<Vm>;

}  // namespace jd
