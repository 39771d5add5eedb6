#pragma once

#include <unordered_map>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// Keeps an exponential moving average of the response latency of each endpoint.
class LatencyAverages {
 public:
  void Add(const EndpointId& endpoint, Duration latency) {
    Duration& average = averages_[endpoint];
    average = average == Duration(0) ? latency : average + (latency - average) / kInverseWeight;
  }

  /// Returns the average latency, or zero if the endpoint has not responded yet.
  Duration average(const EndpointId& endpoint) const {
    const auto found = averages_.find(endpoint);
    return found == averages_.end() ? Duration(0) : found->second;
  }

 private:
  // Each response moves the average by a sixteenth of the difference, which limits the effect of a
  // single slow response.
  static constexpr int kInverseWeight = 16;

  std::unordered_map<EndpointId, Duration> averages_;
};

}  // namespace jd
