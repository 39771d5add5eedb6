#include "rpc/convert.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "rpc/frame.h"
#include "rpc/packed_gateways.h"
#include "rpc/quota_wire.h"
#include "rpc/rollout_messages.h"
#include "rpc/table_update.h"
#include "rpc/upstream_evidence.h"
#include "rpc/wire_integers.h"

namespace jd {
namespace {

template <typename Enum>
Enum CheckedEnum(int8_t value, Enum highest) {
  if (value < 0 || value > static_cast<int8_t>(highest)) {
    throw FrameError("enum value out of range");
  }
  return static_cast<Enum>(value);
}

wire::HybridStamp ToWire(const HybridTime& time) {
  wire::HybridStamp out;
  out.wall_micros = time.wall_micros;
  out.counter = static_cast<int32_t>(time.counter);
  return out;
}

HybridTime FromWire(const wire::HybridStamp& in) {
  return {in.wall_micros, static_cast<uint32_t>(in.counter)};
}

wire::Heartbeat ToWire(const Heartbeat& in) {
  wire::Heartbeat out;
  out.zone = in.zone.value;
  out.address = in.address;
  out.peer_port = in.peer_port;
  out.version = ToSigned(in.version.value);
  out.ready = in.ready;
  out.leaving = in.leaving;
  out.sent = Micros(in.sent);
  out.echo = Micros(in.echo);
  out.echo_incarnation = ToSigned(in.echo_incarnation.value);
  out.can_own = in.can_own;
  out.view_generation = ToSigned(in.view_generation);
  out.view_settled = ToSigned(in.view_settled);
  if (!in.unreleased.empty()) {
    out.__set_unreleased(PackGateways(in.unreleased));
  }
  out.view_echo = ToSigned(in.view_echo);
  if (in.view != nullptr) {
    out.__set_view(PackGateways(in.view->gateways()));
  }
  return out;
}

Heartbeat FromWire(const wire::Heartbeat& in) {
  Heartbeat out;
  out.zone = ZoneId(in.zone);
  out.address = in.address;
  out.peer_port = static_cast<uint16_t>(in.peer_port);
  out.version = ConfigVersion(ToUnsigned(in.version));
  out.ready = in.ready;
  out.leaving = in.leaving;
  out.sent = MonoFromMicros(in.sent);
  out.echo = MonoFromMicros(in.echo);
  out.echo_incarnation = Incarnation(ToUnsigned(in.echo_incarnation));
  out.can_own = in.can_own;
  out.view_generation = ToUnsigned(in.view_generation);
  out.view_settled = ToUnsigned(in.view_settled);
  if (in.__isset.unreleased) {
    out.unreleased = UnpackGateways(in.unreleased);
  }
  out.view_echo = ToUnsigned(in.view_echo);
  if (in.__isset.view) {
    out.view = std::make_shared<const GatewayView>(UnpackGateways(in.view));
  }
  return out;
}

wire::HeldSlots ToWire(const HeldSlots& in) {
  wire::HeldSlots out;
  out.endpoint = in.endpoint.value;
  out.held = in.held;
  out.in_flight = in.in_flight;
  out.longest_left = in.longest_left.count();
  out.bound = in.bound;
  return out;
}

HeldSlots FromWire(const wire::HeldSlots& in) {
  return {EndpointId(in.endpoint), in.held, in.in_flight, Duration(in.longest_left), in.bound};
}

wire::EndpointEvidence ToWire(const EndpointEvidence& in) {
  wire::EndpointEvidence out;
  out.endpoint = in.endpoint.value;
  out.instance = in.instance.value;
  out.successes = in.successes;
  out.failures = in.failures;
  out.refusals = in.refusals;
  out.latency_sum = in.latency_sum.count();
  out.latency_max = in.latency_max.count();
  out.state = static_cast<int8_t>(in.state);
  out.reported = in.reported;
  return out;
}

EndpointEvidence FromWire(const wire::EndpointEvidence& in) {
  EndpointEvidence out;
  out.endpoint = EndpointId(in.endpoint);
  out.instance = InstanceId(in.instance);
  out.successes = in.successes;
  out.failures = in.failures;
  out.refusals = in.refusals;
  out.latency_sum = Duration(in.latency_sum);
  out.latency_max = Duration(in.latency_max);
  out.state = CheckedEnum(in.state, EndpointState::kDraining);
  out.reported = in.reported;
  return out;
}

wire::GrantedSlots ToWire(const GrantedSlots& in) {
  wire::GrantedSlots out;
  out.endpoint = in.endpoint.value;
  out.added = in.added;
  out.limit = in.limit;
  out.bound = in.bound;
  return out;
}

GrantedSlots FromWire(const wire::GrantedSlots& in) {
  return {EndpointId(in.endpoint), in.added, in.limit, in.bound};
}

wire::ConfigEntry ToWire(const ConfigEntry& in) {
  wire::ConfigEntry out;
  out.version = ToSigned(in.version.value);
  out.change = in.change;
  out.nonce = in.nonce;
  out.author = in.author;
  out.written = Micros(in.written);
  return out;
}

ConfigEntry FromWire(const wire::ConfigEntry& in) {
  return {ConfigVersion(ToUnsigned(in.version)), in.change, in.nonce, in.author,
          WallFromMicros(in.written)};
}

template <typename In>
auto ToWireList(const std::vector<In>& in) {
  std::vector<decltype(ToWire(in.front()))> out;
  out.reserve(in.size());
  for (const In& item : in) {
    out.push_back(ToWire(item));
  }
  return out;
}

template <typename In>
auto FromWireList(const std::vector<In>& in) {
  std::vector<decltype(FromWire(in.front()))> out;
  out.reserve(in.size());
  for (const In& item : in) {
    out.push_back(FromWire(item));
  }
  return out;
}

wire::SlotRequest ToWire(const SlotRequest& in) {
  wire::SlotRequest out;
  out.pool = in.pool.value;
  out.owner = ToSigned(in.owner.value);
  out.sequence = ToSigned(in.sequence);
  out.last_grant = ToSigned(in.last_grant);
  out.sent = Micros(in.sent);
  out.demand = in.demand;
  out.zone = in.zone.value;
  out.held = ToWireList(in.held);
  out.evidence = ToWireList(in.evidence);
  out.wanted = in.wanted;
  out.reserve_in = in.reserve_in.count();
  out.handed_over = in.handed_over;
  return out;
}

SlotRequest FromWire(const wire::SlotRequest& in) {
  SlotRequest out;
  out.pool = PoolId(in.pool);
  out.owner = Incarnation(ToUnsigned(in.owner));
  out.sequence = ToUnsigned(in.sequence);
  out.last_grant = ToUnsigned(in.last_grant);
  out.sent = MonoFromMicros(in.sent);
  out.demand = in.demand;
  out.zone = ZoneId(in.zone);
  out.held = FromWireList(in.held);
  out.evidence = FromWireList(in.evidence);
  out.wanted = in.wanted;
  out.reserve_in = Duration(in.reserve_in);
  out.handed_over = in.handed_over;
  return out;
}

wire::SlotGrant ToWire(const SlotGrant& in) {
  wire::SlotGrant out;
  out.pool = in.pool.value;
  out.owner = ToSigned(in.owner.value);
  out.sequence = ToSigned(in.sequence);
  out.request = ToSigned(in.request);
  out.request_sent = Micros(in.request_sent);
  out.lifetime = in.lifetime.count();
  out.pressure = in.pressure;
  out.slots = ToWireList(in.slots);
  out.holder = ToSigned(in.holder.value);
  out.handed_over = in.handed_over;
  return out;
}

SlotGrant FromWire(const wire::SlotGrant& in) {
  SlotGrant out;
  out.pool = PoolId(in.pool);
  out.owner = Incarnation(ToUnsigned(in.owner));
  out.sequence = ToUnsigned(in.sequence);
  out.request = ToUnsigned(in.request);
  out.request_sent = MonoFromMicros(in.request_sent);
  out.lifetime = Duration(in.lifetime);
  out.pressure = in.pressure;
  out.slots = FromWireList(in.slots);
  out.holder = Incarnation(ToUnsigned(in.holder));
  out.handed_over = in.handed_over;
  return out;
}

wire::EndpointNotice ToWire(const EndpointNotice& in) {
  wire::EndpointNotice out;
  out.endpoint = in.endpoint.value;
  out.instance = in.instance.value;
  out.kind = static_cast<int8_t>(in.kind);
  return out;
}

EndpointNotice FromWire(const wire::EndpointNotice& in) {
  return {EndpointId(in.endpoint), InstanceId(in.instance),
          CheckedEnum(in.kind, EndpointNoticeKind::kServing)};
}

wire::TableFetch ToWire(const TableFetch& in) {
  wire::TableFetch out;
  out.list_only = in.list_only;
  return out;
}

TableFetch FromWire(const wire::TableFetch& in) {
  return {in.list_only};
}

wire::PermitRequest ToWire(const PermitRequest& in) {
  wire::PermitRequest out;
  out.requester = in.requester.value;
  out.call = ToSigned(in.call.value);
  out.endpoint = in.endpoint.value;
  out.zone = in.zone.value;
  out.limit = in.limit.per_second;
  out.priority = static_cast<int8_t>(in.priority);
  out.relayed = in.relayed;
  return out;
}

PermitRequest FromWire(const wire::PermitRequest& in) {
  if (!(in.limit >= 0)) {
    throw FrameError("the limit of a permit request is negative or not a number");
  }
  return {GatewayId(in.requester),
          CallId(ToUnsigned(in.call)),
          EndpointId(in.endpoint),
          ZoneId(in.zone),
          CallRate{in.limit},
          CheckedEnum(in.priority, Priority::kHigh),
          in.relayed};
}

wire::PermitReply ToWire(const PermitReply& in) {
  wire::PermitReply out;
  out.call = ToSigned(in.call.value);
  out.endpoint = in.endpoint.value;
  out.granted = in.decision.granted;
  out.retry_after = in.decision.retry_after.count();
  return out;
}

PermitReply FromWire(const wire::PermitReply& in) {
  return {
      CallId(ToUnsigned(in.call)), EndpointId(in.endpoint), {in.granted, Duration(in.retry_after)}};
}

wire::CrashNotice ToWire(const CrashNotice& in) {
  wire::CrashNotice out;
  out.fingerprint = ToSigned(in.fingerprint.value);
  return out;
}

CrashNotice FromWire(const wire::CrashNotice& in) {
  return {Fingerprint(ToUnsigned(in.fingerprint))};
}

wire::ConfigEntries ToWire(const ConfigEntries& in) {
  wire::ConfigEntries out;
  out.snapshot_version = ToSigned(in.snapshot_version.value);
  out.snapshot = in.snapshot;
  out.entries = ToWireList(in.entries);
  return out;
}

ConfigEntries FromWire(const wire::ConfigEntries& in) {
  return {ConfigVersion(ToUnsigned(in.snapshot_version)), in.snapshot, FromWireList(in.entries)};
}

wire::ConfigFetch ToWire(const ConfigFetch& in) {
  wire::ConfigFetch out;
  out.after = ToSigned(in.after.value);
  return out;
}

ConfigFetch FromWire(const wire::ConfigFetch& in) {
  return {ConfigVersion(ToUnsigned(in.after))};
}

wire::UnrecordedZone ToWire(const UnrecordedZone& in) {
  wire::UnrecordedZone out;
  out.zone = in.zone.value;
  out.taken_out = in.out;
  out.base = ToSigned(in.base.value);
  out.decided = ToWire(in.decided);
  out.author = in.author;
  return out;
}

UnrecordedZone FromWire(const wire::UnrecordedZone& in) {
  return {ZoneId(in.zone), in.taken_out, ConfigVersion(ToUnsigned(in.base)), FromWire(in.decided),
          in.author};
}

wire::OperatorRequest ToWire(const OperatorRequest& in) {
  wire::OperatorRequest out;
  out.id = ToSigned(in.id);
  out.command = in.command;
  out.body = in.body;
  out.timeout = in.timeout.count();
  return out;
}

OperatorRequest FromWire(const wire::OperatorRequest& in) {
  return {ToUnsigned(in.id), in.command, in.body, Duration(in.timeout)};
}

wire::OperatorReply ToWire(const OperatorReply& in) {
  wire::OperatorReply out;
  out.id = ToSigned(in.id);
  out.status = static_cast<int8_t>(in.status);
  out.body = in.body;
  return out;
}

OperatorReply FromWire(const wire::OperatorReply& in) {
  return {ToUnsigned(in.id), CheckedEnum(in.status, OperatorStatus::kUnknown), in.body};
}

// Sets the field of the union `Body` that matches the type of the message.
struct BodyWriter {
  wire::Body* body;
  RowPacker* packer;
  void operator()(const Heartbeat& in) { body->__set_heartbeat(ToWire(in)); }
  void operator()(const SlotRequest& in) { body->__set_slot_request(ToWire(in)); }
  void operator()(const SlotGrant& in) { body->__set_slot_grant(ToWire(in)); }
  void operator()(const EndpointNotice& in) { body->__set_endpoint_notice(ToWire(in)); }
  void operator()(const TableUpdate& in) { body->__set_table_news(TableUpdateToWire(in, packer)); }
  void operator()(const TableFetch& in) { body->__set_table_fetch(ToWire(in)); }
  void operator()(const PermitRequest& in) { body->__set_permit_request(ToWire(in)); }
  void operator()(const PermitReply& in) { body->__set_permit_reply(ToWire(in)); }
  void operator()(const QuotaRequest& in) { body->__set_quota_request(QuotaRequestToWire(in)); }
  void operator()(const QuotaGrant& in) { body->__set_quota_grant(QuotaGrantToWire(in)); }
  void operator()(const VersionEvidence& in) {
    body->__set_version_evidence(VersionEvidenceToWire(in));
  }
  void operator()(const RolloutNotice& in) { body->__set_rollout_notice(RolloutNoticeToWire(in)); }
  void operator()(const EndpointStatement& in) {
    body->__set_endpoint_statement(StatementToWire(in));
  }
  void operator()(const CrashEvidence& in) { body->__set_crash_evidence(EvidenceToWire(in)); }
  void operator()(const CrashNotice& in) { body->__set_crash_notice(ToWire(in)); }
  void operator()(const ConfigEntries& in) { body->__set_config_entries(ToWire(in)); }
  void operator()(const ConfigFetch& in) { body->__set_config_fetch(ToWire(in)); }
  void operator()(const UnrecordedZone& in) { body->__set_unrecorded_zone(ToWire(in)); }
};

std::optional<PeerBody> ReadPeerBody(const wire::Body& body) {
  const auto& set = body.__isset;
  if (set.heartbeat) {
    return FromWire(body.heartbeat);
  }
  if (set.slot_request) {
    return FromWire(body.slot_request);
  }
  if (set.slot_grant) {
    return FromWire(body.slot_grant);
  }
  if (set.endpoint_notice) {
    return FromWire(body.endpoint_notice);
  }
  if (set.table_news) {
    return TableUpdateFromWire(body.table_news);
  }
  if (set.table_fetch) {
    return FromWire(body.table_fetch);
  }
  if (set.permit_request) {
    return FromWire(body.permit_request);
  }
  if (set.permit_reply) {
    return FromWire(body.permit_reply);
  }
  if (set.quota_request) {
    return QuotaRequestFromWire(body.quota_request);
  }
  if (set.quota_grant) {
    return QuotaGrantFromWire(body.quota_grant);
  }
  if (set.version_evidence) {
    return VersionEvidenceFromWire(body.version_evidence);
  }
  if (set.rollout_notice) {
    return RolloutNoticeFromWire(body.rollout_notice);
  }
  if (set.endpoint_statement) {
    return StatementFromWire(body.endpoint_statement);
  }
  if (set.crash_evidence) {
    return EvidenceFromWire(body.crash_evidence);
  }
  if (set.crash_notice) {
    return FromWire(body.crash_notice);
  }
  if (set.config_entries) {
    return FromWire(body.config_entries);
  }
  if (set.config_fetch) {
    return FromWire(body.config_fetch);
  }
  if (set.unrecorded_zone) {
    return FromWire(body.unrecorded_zone);
  }
  return std::nullopt;
}

}  // namespace

wire::Envelope ToEnvelope(const PeerMessage& message, const std::string& key, RowPacker* packer) {
  wire::Envelope envelope;
  envelope.key = key;
  envelope.sender = message.from.value;
  envelope.incarnation = ToSigned(message.incarnation.value);
  envelope.stamp = ToWire(message.stamp);
  std::visit(BodyWriter{&envelope.body, packer}, message.body);
  return envelope;
}

wire::Envelope ToEnvelope(const OperatorRequest& request, const std::string& key) {
  wire::Envelope envelope;
  envelope.key = key;
  envelope.body.__set_operator_request(ToWire(request));
  return envelope;
}

wire::Envelope ToEnvelope(const OperatorReply& reply, const std::string& key) {
  wire::Envelope envelope;
  envelope.key = key;
  envelope.body.__set_operator_reply(ToWire(reply));
  return envelope;
}

ReceivedMessage FromEnvelope(const wire::Envelope& envelope) {
  if (envelope.body.__isset.operator_request) {
    return FromWire(envelope.body.operator_request);
  }
  if (envelope.body.__isset.operator_reply) {
    return FromWire(envelope.body.operator_reply);
  }
  std::optional<PeerBody> body = ReadPeerBody(envelope.body);
  if (!body) {
    throw FrameError("envelope has no body of a known type");
  }
  PeerMessage message;
  message.from = GatewayId(envelope.sender);
  message.incarnation = Incarnation(ToUnsigned(envelope.incarnation));
  message.stamp = FromWire(envelope.stamp);
  message.body = std::move(*body);
  return message;
}

bool EqualsInConstantTime(const std::string& a, const std::string& b) {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned difference = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

}  // namespace jd
