#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "common/hybrid_clock.h"
#include "common/ids.h"

namespace jd {

enum class EventKind : uint8_t {
  kCallStarted,
  kCallFinished,
  kCallRefused,
  kAttemptStarted,
  kAttemptEnded,
  kEndpointCold,
  kEndpointWarm,
  kEndpointDraining,
  kEndpointEjected,
  kSlotsLent,
  kSlotsExpired,
  kOwnerChanged,
  kPeerLive,
  kPeerDead,
  kConfigApplied,
  kZoneChanged,
  kStoreDown,
  kStoreUp,
  kCrashFingerprint,
  kProbe,
  kLeaseTaken,
  kLeaseLost,
};

std::string_view EventKindName(EventKind kind);

/// One entry of the time line; fields that do not apply stay empty.
struct Event {
  HybridTime at;
  EventKind kind = EventKind::kCallStarted;
  GatewayId gateway;
  RequestId request;
  EndpointId endpoint;
  ZoneId zone;
  std::string detail;
};

/// The latest events of one process, in the order of their stamps.
class EventRing {
 public:
  explicit EventRing(size_t capacity) : capacity_(capacity) {}

  void Add(Event event);
  const std::deque<Event>& events() const { return events_; }
  /// Events that were pushed out by newer ones.
  uint64_t dropped() const { return dropped_; }

 private:
  size_t capacity_;
  std::deque<Event> events_;
  uint64_t dropped_ = 0;
};

}  // namespace jd
