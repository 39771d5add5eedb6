#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "common/event_ring.h"
#include "common/now.h"

namespace jd {

/// The timeline of one gateway: keeps the most recent events with their times and answers queries
/// about them.
class NodeTimeline {
 public:
  NodeTimeline(GatewayId self, size_t capacity) : self_(std::move(self)), ring_(capacity) {}

  HybridClock& clock() { return clock_; }
  /// Sets the event's time and gateway, and adds the event.
  void Add(Now now, Event event);
  /// Returns the events that match all given filters, and the number of events dropped so far.
  /// @param filters a JSON object with any of "request", "endpoint", "zone" and "kind".
  nlohmann::json Query(const nlohmann::json& filters) const;

 private:
  GatewayId self_;
  HybridClock clock_;
  EventRing ring_;
};

}  // namespace jd
