#pragma once

#include <unordered_map>

#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// The usual latency of each endpoint, as an exponential mean of its answers.
class LatencyBook {
 public:
  void Add(const EndpointId& endpoint, Duration latency) {
    Duration& mean = means_[endpoint];
    mean = mean == Duration(0) ? latency : mean + (latency - mean) / kWeight;
  }

  /// Returns zero if the endpoint has not answered yet.
  Duration usual(const EndpointId& endpoint) const {
    const auto mean = means_.find(endpoint);
    return mean == means_.end() ? Duration(0) : mean->second;
  }

 private:
  // A single slow answer moves the mean by a sixteenth.
  static constexpr int kWeight = 16;

  std::unordered_map<EndpointId, Duration> means_;
};

}  // namespace jd
