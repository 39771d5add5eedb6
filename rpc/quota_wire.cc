#include "rpc/quota_wire.h"

#include <utility>

#include "rpc/frame.h"

namespace jd {
namespace {

// Sums of two numbers of tokens fit into 32 bits.
constexpr int32_t kMaxTokens = 1'000'000'000;

bool IsTokenCount(int32_t value) {
  return value >= 0 && value <= kMaxTokens;
}

}  // namespace

wire::QuotaRequest QuotaRequestToWire(const QuotaRequest& request) {
  wire::QuotaRequest out;
  out.requester = request.requester.value;
  out.sent = Micros(request.sent);
  for (const QuotaDemand& demand : request.demands) {
    wire::QuotaDemand item;
    item.workspace = demand.workspace.value;
    item.needed = demand.needed;
    item.ahead = demand.ahead;
    item.returned = demand.returned;
    out.demands.push_back(std::move(item));
  }
  out.relayed = request.relayed;
  out.transfer = request.transfer;
  return out;
}

QuotaRequest QuotaRequestFromWire(const wire::QuotaRequest& request) {
  QuotaRequest out;
  out.requester = GatewayId(request.requester);
  out.sent = MonoFromMicros(request.sent);
  for (const wire::QuotaDemand& demand : request.demands) {
    if (!IsTokenCount(demand.needed) || !IsTokenCount(demand.ahead)) {
      throw FrameError("demand for a quota out of range");
    }
    out.demands.push_back(
        {WorkspaceId(demand.workspace), demand.needed, demand.ahead, demand.returned});
  }
  out.relayed = request.relayed;
  out.transfer = request.transfer;
  return out;
}

wire::QuotaGrant QuotaGrantToWire(const QuotaGrant& grant) {
  wire::QuotaGrant out;
  out.request_sent = Micros(grant.request_sent);
  for (const QuotaLease& lease : grant.leases) {
    wire::QuotaLease item;
    item.workspace = lease.workspace.value;
    item.needed = lease.needed;
    item.granted = lease.granted;
    item.retry_after = lease.retry_after.count();
    out.leases.push_back(std::move(item));
  }
  out.transfer = grant.transfer;
  return out;
}

QuotaGrant QuotaGrantFromWire(const wire::QuotaGrant& grant) {
  QuotaGrant out;
  out.request_sent = MonoFromMicros(grant.request_sent);
  for (const wire::QuotaLease& lease : grant.leases) {
    if (!IsTokenCount(lease.needed) || !IsTokenCount(lease.granted) || lease.retry_after < 0) {
      throw FrameError("grant of a quota out of range");
    }
    out.leases.push_back(
        {WorkspaceId(lease.workspace), lease.needed, lease.granted, Duration(lease.retry_after)});
  }
  out.transfer = grant.transfer;
  return out;
}

}  // namespace jd
