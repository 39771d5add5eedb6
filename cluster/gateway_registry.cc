#include "cluster/gateway_registry.h"

#include <algorithm>
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
  return RandomDuration(&random_, Duration(0), kReadSpread);
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
  } else if (call == Call::kWrite) {
    joins_ = !new_deployment_ && !was_listed_;
  }
  return call;
}

bool GatewayRegistry::OnGatewayPage(MonoTime now,
                                    const VmList& page,
                                    StoreEra era,
                                    const std::string& next_key) {
  if (!page_key_.empty() && era != pages_era_) {
    // The pages belong to different states of the store.
    ForgetPages();
    next_call_ = Call::kRead;
    due_ = now + RandomSpread();
    return false;
  }
  pages_.insert(pages_.end(), page.begin(), page.end());
  pages_era_ = era;
  page_key_ = next_key;
  if (!page_key_.empty()) {
    next_call_ = Call::kRead;
    due_ = now;
    return false;
  }
  OnGatewayList(now, std::exchange(pages_, {}), era);
  return true;
}

void GatewayRegistry::ForgetPages() {
  pages_.clear();
  page_key_.clear();
}

void GatewayRegistry::OnGatewayList(MonoTime now, VmList gateways, StoreEra era) {
  listed_ = Lists(gateways);
  TakeList(std::move(gateways), era);
  due_.reset();
  if (!listed_) {
    next_call_ = Call::kWrite;
    due_ = now;
  } else {
    OnStoreEra(now, store_era_);
  }
}

bool GatewayRegistry::OnPeerList(VmList gateways, StoreEra era) {
  const bool known = !gateways_.empty() && era <= listed_era_;
  if (known || !Lists(gateways)) {
    return false;
  }
  listed_ = true;
  TakeList(std::move(gateways), era);
  due_.reset();
  return true;
}

bool GatewayRegistry::OnGatewayAdded(const Vm& gateway) {
  if (gateways_.empty() || gateway.name == self_.name) {
    return false;
  }
  const auto known = std::find_if(gateways_.begin(), gateways_.end(),
                                  [&](const Vm& vm) { return vm.name == gateway.name; });
  if (known == gateways_.end()) {
    gateways_.push_back(gateway);
    return true;
  }
  if (SameAddress(*known, gateway)) {
    return false;
  }
  *known = gateway;
  return true;
}

bool GatewayRegistry::TakeAnnouncement() {
  return listed_ && std::exchange(joins_, false);
}

void GatewayRegistry::TakeList(VmList gateways, StoreEra era) {
  if (era > listed_era_) {
    for (const Vm& vm : gateways_) {
      const bool named = std::any_of(gateways.begin(), gateways.end(),
                                     [&vm](const Vm& other) { return other.name == vm.name; });
      if (!named) {
        gateways.push_back(vm);
      }
    }
  }
  gateways_ = std::move(gateways);
  was_listed_ = was_listed_ || listed_;
  listed_era_ = std::max(listed_era_, era);
  store_era_ = std::max(store_era_, era);
}

void GatewayRegistry::OnStoreEra(MonoTime now, StoreEra era) {
  store_era_ = std::max(store_era_, era);
  if (store_era_ > listed_era_ && !gateways_.empty() && !due_) {
    next_call_ = Call::kRead;
    due_ = now + RandomSpread();
  }
}

void GatewayRegistry::OnRowWritten(MonoTime now) {
  next_call_ = Call::kRead;
  due_ = now + kReadDelay + RandomSpread();
}

void GatewayRegistry::OnCallFailed(MonoTime now) {
  ForgetPages();
  // A write whose reply was lost may have taken effect, so read the list to find out.
  next_call_ = Call::kRead;
  due_ = now + kRetryDelay;
}

std::optional<MonoTime> GatewayRegistry::next_timer() const {
  return due_;
}

}  // namespace jd
