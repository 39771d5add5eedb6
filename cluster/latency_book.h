#pragma once

#include <unordered_map>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// Keeps an exponential moving average of the response latency of each endpoint.
class LatencyBook {
 public:
  void Add(const EndpointId& endpoint, Duration latency) {
    Duration& mean = means_[endpoint];
    mean = mean == Duration(0) ? latency : mean + (latency - mean) / kWeight;
  }

  /// Returns the average latency, or zero if the endpoint has not responded yet.
  Duration usual(const EndpointId& endpoint) const {
    const auto mean = means_.find(endpoint);
    return mean == means_.end() ? Duration(0) : mean->second;
  }

 private:
  // Each response moves the average by a sixteenth of the difference, which limits the effect of a
  // single slow response.
  static constexpr int kWeight = 16;

  std::unordered_map<EndpointId, Duration> means_;
};

}  // namespace jd
