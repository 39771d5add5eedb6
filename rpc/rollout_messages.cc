#include "rpc/rollout_messages.h"

#include "rpc/frame.h"
#include "rpc/wire_integers.h"

namespace jd {
namespace {

// Larger counts cannot come from a gateway, and their sums would overflow.
constexpr int64_t kMaxCount = int64_t{1} << 40;

int64_t CheckedCount(int64_t value) {
  if (value < 0 || value > kMaxCount) {
    throw FrameError("a count of a roll-out is out of range");
  }
  return value;
}

wire::RolloutId ToWire(const RolloutId& in) {
  wire::RolloutId out;
  out.service_id = in.service.value;
  out.to = in.to.value;
  out.row = ToSigned(in.row.value);
  return out;
}

RolloutId FromWire(const wire::RolloutId& in) {
  return {ServiceId(in.service_id), SoftwareVersion(in.to), RowVersion(ToUnsigned(in.row))};
}

wire::CallCounts ToWire(const CallCounts& in) {
  wire::CallCounts out;
  out.calls = in.calls;
  out.failures = in.failures;
  out.slow = in.slow;
  return out;
}

CallCounts FromWire(const wire::CallCounts& in) {
  return {CheckedCount(in.calls), CheckedCount(in.failures), CheckedCount(in.slow)};
}

}  // namespace

wire::VersionEvidence VersionEvidenceToWire(const VersionEvidence& in) {
  wire::VersionEvidence out;
  out.rollout = ToWire(in.rollout);
  out.zone_sum = in.zone_sum;
  out.zone = in.zone.value;
  out.age = in.age.count();
  out.phase = static_cast<int8_t>(in.phase);
  out.bad = in.bad;
  out.gateways_on_old = in.gateways_on_old;
  for (const auto& [route, counts] : in.counts.routes) {
    wire::RouteCounts sides;
    sides.route = route.value;
    sides.old_side = ToWire(counts.old_side);
    sides.new_side = ToWire(counts.new_side);
    sides.old_latency = counts.old_latency.count();
    out.routes.push_back(std::move(sides));
  }
  for (const auto& [endpoint, counts] : in.counts.endpoints) {
    wire::EndpointCounts ended;
    ended.endpoint = endpoint.value;
    ended.counts = ToWire(counts);
    out.endpoints.push_back(std::move(ended));
  }
  out.endpoints_used = in.counts.endpoints_used;
  return out;
}

VersionEvidence VersionEvidenceFromWire(const wire::VersionEvidence& in) {
  if (in.phase < 0 || in.phase > static_cast<int8_t>(RolloutPhase::kFull)) {
    throw FrameError("the phase of a roll-out is out of range");
  }
  VersionEvidence out;
  out.rollout = FromWire(in.rollout);
  out.zone_sum = in.zone_sum;
  out.zone = ZoneId(in.zone);
  out.age = Duration(CheckedCount(in.age));
  out.phase = static_cast<RolloutPhase>(in.phase);
  out.bad = in.bad;
  out.gateways_on_old = in.gateways_on_old;
  for (const wire::RouteCounts& counts : in.routes) {
    out.counts.routes[ProfileId(counts.route)] = {FromWire(counts.old_side),
                                                  FromWire(counts.new_side),
                                                  Duration(CheckedCount(counts.old_latency))};
  }
  for (const wire::EndpointCounts& counts : in.endpoints) {
    out.counts.endpoints[EndpointId(counts.endpoint)] = FromWire(counts.counts);
  }
  out.counts.endpoints_used = CheckedCount(in.endpoints_used);
  return out;
}

wire::RolloutNotice RolloutNoticeToWire(const RolloutNotice& in) {
  wire::RolloutNotice out;
  out.rollout = ToWire(in.rollout);
  out.state = static_cast<int8_t>(in.state);
  out.status_row = ToSigned(in.status_row.value);
  return out;
}

RolloutNotice RolloutNoticeFromWire(const wire::RolloutNotice& in) {
  if (in.state < 0 || in.state > static_cast<int8_t>(RolloutState::kReverted)) {
    throw FrameError("the state of a roll-out is out of range");
  }
  return {FromWire(in.rollout), static_cast<RolloutState>(in.state),
          RowVersion(ToUnsigned(in.status_row))};
}

}  // namespace jd
