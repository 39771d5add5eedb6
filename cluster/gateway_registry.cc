#include "cluster/gateway_registry.h"

#include <algorithm>
#include <utility>

namespace jd {
namespace {

// The list is read again once after the first time.
constexpr int kReads = 2;

bool SameAddress(const Vm& a, const Vm& b) {
  return a.name == b.name && a.zone == b.zone && a.address == b.address && a.port == b.port;
}

}  // namespace

std::optional<GatewayRegistry::Call> GatewayRegistry::Next(MonoTime now) {
  if (!due_ || now < *due_) {
    return std::nullopt;
  }
  due_.reset();
  return write_ ? Call::kWrite : Call::kRead;
}

void GatewayRegistry::OnList(MonoTime now, VmList gateways) {
  gateways_ = std::move(gateways);
  ++reads_;
  const bool listed = std::any_of(gateways_.begin(), gateways_.end(),
                                  [this](const Vm& vm) { return SameAddress(vm, self_); });
  write_ = !listed;
  if (write_) {
    due_ = now;
  } else if (reads_ < kReads) {
    due_ = now + kSettle;
  }
}

void GatewayRegistry::OnWritten(MonoTime now) {
  write_ = false;
  due_ = now + kSettle;
}

void GatewayRegistry::OnFailure(MonoTime now) {
  due_ = now + kRetryAfter;
}

std::optional<MonoTime> GatewayRegistry::next_timer() const {
  return due_;
}

}  // namespace jd
