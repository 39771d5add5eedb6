#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "common/hybrid_clock.h"
#include "common/ids.h"

namespace jd {

/// Kinds of events in the timeline.
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
  kEndpointLimit,
  kEndpointHeld,
  kEndpointReleased,
  kPermitRefused,
  kQuotaExceeded,
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
  kPeerOneWay,
  kPeerLeaving,
};
inline constexpr size_t kEventKinds = static_cast<size_t>(EventKind::kPeerLeaving) + 1;

/// Returns the kind's name in log lines and in the timeline, for example "call-started".
std::string_view EventKindName(EventKind kind);

/// One entry of the timeline. Fields that do not apply to the kind are empty.
struct Event {
  HybridTime at;
  EventKind kind = EventKind::kCallStarted;
  GatewayId gateway;
  RequestId request;
  EndpointId endpoint;
  ZoneId zone;
  std::string detail;
};

/// A ring buffer with the latest events of one gateway process, in the order of their timestamps.
class EventRing {
 public:
  explicit EventRing(size_t capacity) : capacity_(capacity) {}

  /// Appends an event; removes the oldest event if the buffer is full.
  void Add(Event event);
  /// Returns the events, oldest first.
  const std::deque<Event>& events() const { return events_; }
  /// Returns the number of events that were removed to make room for newer ones, or that were
  /// discarded because the capacity is 0.
  uint64_t dropped() const { return dropped_; }

 private:
  size_t capacity_;
  std::deque<Event> events_;
  uint64_t dropped_ = 0;
};

}  // namespace jd
