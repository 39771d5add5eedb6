#include "rpc/upstream_evidence.h"

#include "rpc/wire_integers.h"

namespace jd {
namespace {

wire::LossReport LossToWire(const ObservedLoss& in) {
  wire::LossReport out;
  out.fingerprint = ToSigned(in.loss.fingerprint.value);
  out.gateway = in.loss.gateway.value;
  out.call = ToSigned(in.loss.call.value);
  out.service_name = in.loss.service.value;
  out.endpoint = in.loss.endpoint.value;
  out.sent = Micros(in.loss.sent);
  out.lost = Micros(in.lost);
  out.idempotent = in.loss.idempotent;
  return out;
}

ObservedLoss LossFromWire(const wire::LossReport& in) {
  ConnectionLoss loss;
  loss.fingerprint = Fingerprint(ToUnsigned(in.fingerprint));
  loss.gateway = GatewayId(in.gateway);
  loss.call = CallId(ToUnsigned(in.call));
  loss.service = ServiceId(in.service_name);
  loss.endpoint = EndpointId(in.endpoint);
  loss.sent = MonoFromMicros(in.sent);
  loss.idempotent = in.idempotent;
  return {loss, MonoFromMicros(in.lost)};
}

}  // namespace

wire::EndpointStatement StatementToWire(const EndpointStatement& in) {
  wire::EndpointStatement out;
  for (const LeavingEndpoint& leaving : in.leaving) {
    wire::LeavingEndpoint& added = out.leaving.emplace_back();
    added.endpoint = leaving.endpoint.value;
    added.run = ToSigned(leaving.run.value);
  }
  return out;
}

EndpointStatement StatementFromWire(const wire::EndpointStatement& in) {
  EndpointStatement out;
  for (const wire::LeavingEndpoint& leaving : in.leaving) {
    out.leaving.push_back({EndpointId(leaving.endpoint), Incarnation(ToUnsigned(leaving.run))});
  }
  return out;
}

wire::CrashEvidence EvidenceToWire(const CrashEvidence& in) {
  wire::CrashEvidence out;
  for (const ObservedLoss& loss : in.losses) {
    out.losses.push_back(LossToWire(loss));
  }
  for (const Fingerprint fingerprint : in.answered) {
    out.answered.push_back(ToSigned(fingerprint.value));
  }
  for (const BlockedRequest& blocked : in.blocked) {
    wire::BlockReport& added = out.blocked.emplace_back();
    added.fingerprint = ToSigned(blocked.fingerprint.value);
    added.since = Micros(blocked.since);
  }
  out.told = Micros(in.told);
  return out;
}

CrashEvidence EvidenceFromWire(const wire::CrashEvidence& in) {
  CrashEvidence out;
  for (const wire::LossReport& loss : in.losses) {
    out.losses.push_back(LossFromWire(loss));
  }
  for (const int64_t fingerprint : in.answered) {
    out.answered.emplace_back(ToUnsigned(fingerprint));
  }
  for (const wire::BlockReport& blocked : in.blocked) {
    out.blocked.push_back(
        {Fingerprint(ToUnsigned(blocked.fingerprint)), MonoFromMicros(blocked.since)});
  }
  out.told = MonoFromMicros(in.told);
  return out;
}

}  // namespace jd
