#include "cluster/gateway_registry.h"

#include <algorithm>
#include <random>
#include <utility>

namespace jd {
namespace {

bool SameAddress(const Vm& a, const Vm& b) {
  return a.name == b.name && a.zone == b.zone && a.address == b.address && a.port == b.port;
}

}  // namespace

GatewayRegistry::GatewayRegistry(Vm self, bool new_deployment, uint64_t seed)
    : self_(std::move(self)), new_deployment_(new_deployment), random_(seed) {}

void GatewayRegistry::Start(MonoTime now) {
  next_call_ = new_deployment_ ? Call::kWrite : Call::kAskPeers;
  due_ = new_deployment_ ? now : now + RandomSpread();
}

Duration GatewayRegistry::RandomSpread() {
  std::uniform_int_distribution<int64_t> spread(0, kReadSpread.count());
  return Duration(spread(random_));
}

bool GatewayRegistry::Lists(const VmList& gateways) const {
  return std::any_of(gateways.begin(), gateways.end(),
                     [this](const Vm& vm) { return SameAddress(vm, self_); });
}

std::optional<GatewayRegistry::Call> GatewayRegistry::NextCall(MonoTime now) {
  if (!due_ || now < *due_) {
    return std::nullopt;
  }
  due_.reset();
  const Call call = next_call_;
  if (call == Call::kAskPeers) {
    next_call_ = Call::kRead;
    due_ = now + kPeerReplyTimeout;
  }
  return call;
}

void GatewayRegistry::OnGatewayList(MonoTime now, VmList gateways) {
  gateways_ = std::move(gateways);
  due_.reset();
  if (!Lists(gateways_)) {
    next_call_ = Call::kWrite;
    due_ = now;
  }
}

bool GatewayRegistry::OnPeerList(VmList gateways) {
  if (!gateways_.empty() || !Lists(gateways)) {
    return false;
  }
  gateways_ = std::move(gateways);
  due_.reset();
  return true;
}

void GatewayRegistry::OnRowWritten(MonoTime now) {
  next_call_ = Call::kRead;
  due_ = now + kReadDelay + RandomSpread();
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
