#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cluster/gateway_view.h"
#include "cluster/rollout_message.h"
#include "cluster/table_watch.h"
#include "common/config_entry.h"
#include "common/configuration.h"
#include "common/event_ring.h"
#include "common/hybrid_clock.h"
#include "common/ids.h"
#include "common/units.h"
#include "policy/crash_evidence.h"
#include "policy/endpoint_statements.h"
#include "policy/permit.h"
#include "policy/quota_message.h"
#include "policy/slot_message.h"

namespace jd {

/// Shows that the sender is live, and echoes the latest heartbeat that it received from the
/// receiver.
struct Heartbeat {
  ZoneId zone;
  std::string address;
  uint16_t peer_port = 0;
  ConfigVersion version;
  bool ready = false;
  bool leaving = false;  ///< The sender is shutting down.
  bool can_own = true;   ///< False until the sender has a configuration, and so can lend slots.
  MonoTime sent;         ///< By the sender's clock.
  MonoTime echo;         ///< `sent` of the latest heartbeat received from the receiver.
  Incarnation echo_incarnation;  ///< Incarnation of the receiver that sent the echoed heartbeat.
  uint64_t view_generation = 0;  ///< Counts the views that the sender has announced.
  uint64_t view_settled = 0;     ///< Latest of them that is settled, see ViewAnnouncer.
  /// Owners in later views but the latest that may still count the sender's support, ordered.
  std::vector<GatewayHash> unreleased;
  GatewayViewPtr view;     ///< That view; null if the receiver has it.
  uint64_t view_echo = 0;  ///< Generation of the receiver's view that the sender has; 0: none.
};

enum class EndpointNoticeKind : uint8_t {
  kDraining,
  kServing,  ///< A new instance serves calls.
};

/// Tells peers that an endpoint is draining or serves calls again, as first seen by the sender.
struct EndpointNotice {
  EndpointId endpoint;
  InstanceId instance;
  EndpointNoticeKind kind = EndpointNoticeKind::kDraining;
};

/// Tells peers the fingerprint of a request that crashes upstreams.
struct CrashNotice {
  Fingerprint fingerprint;
};

/// Tells peers which endpoints have said in a response that they leave.
struct EndpointStatement {
  std::vector<LeavingEndpoint> leaving;
};

/// Configuration entries in order of version, sent as the reply to a ConfigFetch or pushed without
/// a request.
struct ConfigEntries {
  ConfigVersion snapshot_version;  ///< 0: no snapshot, entries only.
  std::string snapshot;            ///< JSON of the whole configuration.
  std::vector<ConfigEntry> entries;
};

/// Requests all configuration entries after a version.
struct ConfigFetch {
  ConfigVersion after;
};

/// An operator's decision about a zone that was made during a store outage and is not yet recorded
/// in the table.
struct UnrecordedZone {
  ZoneId zone;
  bool out = true;
  ConfigVersion base;  ///< Version that last changed the zone's recorded state.
  HybridTime decided;  ///< Time of the decision.
  std::string author;
};

/// Requests the list of gateways and, unless `list_only`, snapshots of the tables of the platform's
/// store. The sender has just started.
struct TableFetch {
  bool list_only = false;
};

/// Requests a permit to send one call to an endpoint that names a limit for all gateways together.
struct PermitRequest {
  GatewayId requester;  ///< Gateway that has the call and gets the reply.
  CallId call;          ///< Echoed in the reply.
  EndpointId endpoint;
  ZoneId zone;  ///< Of the endpoint.
  CallRate limit;
  Priority priority = Priority::kNormal;
  bool relayed = false;  ///< Another gateway than the requester has passed the request on.
};

/// The reply to a PermitRequest.
struct PermitReply {
  CallId call;
  EndpointId endpoint;
  PermitDecision decision;
};

using PeerBody = std::variant<Heartbeat,
                              SlotRequest,
                              SlotGrant,
                              EndpointNotice,
                              CrashNotice,
                              ConfigEntries,
                              ConfigFetch,
                              UnrecordedZone,
                              TableUpdate,
                              TableFetch,
                              PermitRequest,
                              PermitReply,
                              QuotaRequest,
                              QuotaGrant,
                              VersionEvidence,
                              RolloutNotice,
                              EndpointStatement,
                              CrashEvidence>;

/// A message between gateways. The shared key that authenticates it is added and checked by the
/// transport.
struct PeerMessage {
  GatewayId from;
  Incarnation incarnation;
  HybridTime stamp;
  PeerBody body;
};

/// An operator's command. Its arguments are JSON, so that commands can be extended without changing
/// the message type.
struct OperatorRequest {
  uint64_t id = 0;      ///< Chosen by the event loop, echoed in the reply.
  std::string command;  ///< For example "zone" or "status".
  std::string body;     ///< JSON object with the command's arguments.
  Duration timeout{0};
};

enum class OperatorStatus : uint8_t { kDone, kRefused, kUnknown };

/// The reply to an OperatorRequest.
struct OperatorReply {
  uint64_t id = 0;
  OperatorStatus status = OperatorStatus::kUnknown;
  std::string body;  ///< JSON object; holds "error" unless the status is kDone.
};

}  // namespace jd
