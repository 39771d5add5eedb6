#include "common/event_ring.h"

#include <utility>

namespace jd {

std::string_view EventKindName(EventKind kind) {
  switch (kind) {
    case EventKind::kCallStarted:
      return "call-started";
    case EventKind::kCallFinished:
      return "call-finished";
    case EventKind::kCallRefused:
      return "call-refused";
    case EventKind::kAttemptStarted:
      return "attempt-started";
    case EventKind::kAttemptEnded:
      return "attempt-ended";
    case EventKind::kEndpointCold:
      return "endpoint-cold";
    case EventKind::kEndpointWarm:
      return "endpoint-warm";
    case EventKind::kEndpointDraining:
      return "endpoint-draining";
    case EventKind::kEndpointEjected:
      return "endpoint-ejected";
    case EventKind::kEndpointLimit:
      return "endpoint-limit";
    case EventKind::kEndpointHeld:
      return "endpoint-held";
    case EventKind::kEndpointReleased:
      return "endpoint-released";
    case EventKind::kPermitRefused:
      return "permit-refused";
    case EventKind::kQuotaExceeded:
      return "quota-exceeded";
    case EventKind::kSlotsLent:
      return "slots-lent";
    case EventKind::kSlotsExpired:
      return "slots-expired";
    case EventKind::kOwnerChanged:
      return "owner-changed";
    case EventKind::kPeerLive:
      return "peer-live";
    case EventKind::kPeerDead:
      return "peer-dead";
    case EventKind::kPeerOneWay:
      return "peer-one-way";
    case EventKind::kPeerLeaving:
      return "peer-leaving";
    case EventKind::kConfigApplied:
      return "config-applied";
    case EventKind::kZoneChanged:
      return "zone-changed";
    case EventKind::kStoreDown:
      return "store-down";
    case EventKind::kStoreUp:
      return "store-up";
    case EventKind::kCrashFingerprint:
      return "crash-fingerprint";
    case EventKind::kProbe:
      return "probe";
    case EventKind::kLeaseTaken:
      return "lease-taken";
    case EventKind::kLeaseLost:
      return "lease-lost";
  }
  return "unknown";
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
