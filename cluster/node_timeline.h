#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "common/event_ring.h"
#include "common/now.h"

namespace jd {

/// The time line of one gateway: stamps events and answers queries.
class NodeTimeline {
 public:
  NodeTimeline(GatewayId self, size_t capacity) : self_(std::move(self)), ring_(capacity) {}

  HybridClock& clock() { return clock_; }
  /// Fills in stamp and gateway.
  void Add(Now now, Event event);
  /// Returns the events that match every filter given: "request", "endpoint", "zone", "kind".
  nlohmann::json Query(const nlohmann::json& filters) const;

 private:
  GatewayId self_;
  HybridClock clock_;
  EventRing ring_;
};

}  // namespace jd
