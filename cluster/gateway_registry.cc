#include "cluster/gateway_registry.h"

#include <algorithm>
#include <utility>

namespace jd {
namespace {

bool SameAddress(const Vm& a, const Vm& b) {
  return a.name == b.name && a.zone == b.zone && a.address == b.address && a.port == b.port;
}

}  // namespace

std::optional<GatewayRegistry::Call> GatewayRegistry::NextCall(MonoTime now) {
  if (!due_ || now < *due_) {
    return std::nullopt;
  }
  due_.reset();
  return next_call_;
}

void GatewayRegistry::OnGatewayList(MonoTime now, VmList gateways) {
  gateways_ = std::move(gateways);
  const bool listed = std::any_of(gateways_.begin(), gateways_.end(),
                                  [this](const Vm& vm) { return SameAddress(vm, self_); });
  if (!listed) {
    next_call_ = Call::kWrite;
    due_ = now;
  }
}

void GatewayRegistry::OnRowWritten(MonoTime now) {
  next_call_ = Call::kRead;
  due_ = now + kReadDelay;
}

void GatewayRegistry::OnCallFailed(MonoTime now) {
  // A write whose reply was lost may have taken effect, so read the list to find out.
  next_call_ = Call::kRead;
  due_ = now + kRetryDelay;
}

std::optional<MonoTime> GatewayRegistry::next_timer() const {
  return due_;
}

}  // namespace jd
