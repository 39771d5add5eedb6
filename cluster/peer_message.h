#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cluster/table_watch.h"
#include "common/config_entry.h"
#include "common/event_ring.h"
#include "common/hybrid_clock.h"
#include "common/ids.h"
#include "common/units.h"
#include "policy/slot_message.h"

namespace jd {

/// Says that the sender lives, and what it heard of the receiver.
struct Heartbeat {
  ZoneId zone;
  std::string address;
  uint16_t peer_port = 0;
  ConfigVersion version;
  bool ready = false;
  bool leaving = false;
  bool can_own = true;           ///< False until the sender has a configuration to lend from.
  MonoTime sent;                 ///< Sender's clock.
  MonoTime echo;                 ///< `sent` of the latest heartbeat received from the receiver.
  Incarnation echo_incarnation;  ///< Incarnation of the receiver that `echo` belongs to.
};

enum class EndpointNoticeKind : uint8_t {
  kDraining,
  kServing,  ///< A new instance serves again.
};

/// Tells peers what one gateway learned of an endpoint first.
struct EndpointNotice {
  EndpointId endpoint;
  InstanceId instance;
  EndpointNoticeKind kind = EndpointNoticeKind::kDraining;
};

/// Tells peers that a request crashes upstreams.
struct CrashNotice {
  Fingerprint fingerprint;
};

/// Entries in order of version, the answer to ConfigFetch or a push.
struct ConfigEntries {
  ConfigVersion snapshot_version;  ///< 0: no snapshot, entries only.
  std::string snapshot;            ///< JSON of the whole configuration.
  std::vector<ConfigEntry> entries;
};

/// Asks for everything above a version.
struct ConfigFetch {
  ConfigVersion after;
};

/// A zone decision made during a store outage, not yet recorded in the table.
struct UnrecordedZone {
  ZoneId zone;
  bool out = true;
  ConfigVersion base;  ///< Version that last changed the zone's recorded state.
  HybridTime decided;
  std::string author;
};

using PeerBody = std::variant<Heartbeat,
                              SlotRequest,
                              SlotGrant,
                              EndpointNotice,
                              CrashNotice,
                              ConfigEntries,
                              ConfigFetch,
                              UnrecordedZone,
                              TableUpdate>;

/// One message between gateways, without the shared key, which stays with the transport.
struct PeerMessage {
  GatewayId from;
  Incarnation incarnation;
  HybridTime stamp;
  PeerBody body;
};

/// A command of an operator, as JSON fields so that commands can grow without a new message.
struct OperatorRequest {
  uint64_t id = 0;      ///< Chosen by the event loop, echoed in the reply.
  std::string command;  ///< For example "zone-out".
  std::string body;     ///< JSON object with the command's arguments.
  Duration timeout{0};
};

enum class OperatorStatus : uint8_t { kDone, kRefused, kUnknown };

struct OperatorReply {
  uint64_t id = 0;
  OperatorStatus status = OperatorStatus::kUnknown;
  std::string body;  ///< JSON object; "error" holds a sentence unless done.
};

}  // namespace jd
