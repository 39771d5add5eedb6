#include "common/event_ring.h"

#include <iterator>
#include <utility>

namespace jd {

namespace {

struct NamedKind {
  EventKind kind;
  std::string_view name;
};

constexpr NamedKind kNamedKinds[] = {
    {EventKind::kCallStarted, "call-started"},
    {EventKind::kCallFinished, "call-finished"},
    {EventKind::kCallRefused, "call-refused"},
    {EventKind::kAttemptStarted, "attempt-started"},
    {EventKind::kAttemptEnded, "attempt-ended"},
    {EventKind::kEndpointCold, "endpoint-cold"},
    {EventKind::kEndpointWarm, "endpoint-warm"},
    {EventKind::kEndpointDraining, "endpoint-draining"},
    {EventKind::kEndpointEjected, "endpoint-ejected"},
    {EventKind::kEndpointLimit, "endpoint-limit"},
    {EventKind::kEndpointHeld, "endpoint-held"},
    {EventKind::kEndpointReleased, "endpoint-released"},
    {EventKind::kPermitRefused, "permit-refused"},
    {EventKind::kQuotaExceeded, "quota-exceeded"},
    {EventKind::kSlotsLent, "slots-lent"},
    {EventKind::kSlotsExpired, "slots-expired"},
    {EventKind::kOwnerChanged, "owner-changed"},
    {EventKind::kPeerLive, "peer-live"},
    {EventKind::kPeerDead, "peer-dead"},
    {EventKind::kConfigApplied, "config-applied"},
    {EventKind::kZoneChanged, "zone-changed"},
    {EventKind::kStoreDown, "store-down"},
    {EventKind::kStoreUp, "store-up"},
    {EventKind::kCrashFingerprint, "crash-fingerprint"},
    {EventKind::kProbe, "probe"},
    {EventKind::kLeaseTaken, "lease-taken"},
    {EventKind::kLeaseLost, "lease-lost"},
    {EventKind::kPeerOneWay, "peer-one-way"},
    {EventKind::kPeerLeaving, "peer-leaving"},
};

/// Returns whether each kind stands at the index that is its value.
constexpr bool InOrderOfKinds() {
  for (size_t i = 0; i < std::size(kNamedKinds); ++i) {
    if (static_cast<size_t>(kNamedKinds[i].kind) != i)
      return false;
  }
  return true;
}
static_assert(InOrderOfKinds());
static_assert(std::size(kNamedKinds) == kEventKinds, "a kind has no name");

}  // namespace

std::string_view EventKindName(EventKind kind) {
  const auto index = static_cast<size_t>(kind);
  return index < kEventKinds ? kNamedKinds[index].name : "unknown";
}

void EventRing::Add(Event event) {
  if (capacity_ == 0) {
    ++dropped_;
    return;
  }
  if (events_.size() == capacity_) {
    events_.pop_front();
    ++dropped_;
  }
  events_.push_back(std::move(event));
}

}  // namespace jd
