#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "common/random.h"
#include "common/units.h"
#include "standin/standin_http.h"

namespace jd {

/// Names with relative weights.
using WeightedNames = std::vector<std::pair<std::string, double>>;

/// Settings of the load generator.
struct LoadSettings {
  std::vector<HostPort> targets;
  std::string platform;  ///< Address of the platform, or empty. If set, the gateways in the
                         ///< platform's balancer list replace `targets`.
  WeightedNames workspaces;
  WeightedNames services;
  double get_share = 0.7;  ///< Share of GET requests (status reads); the rest are POST (orders).
  double key_share = 0;    ///< Share of the POST requests that carry a request key.
  std::string key_header = "x-request-key";
  double rate = 100;  ///< Mean arrivals per second; gaps are exponential.
  Duration duration = 10s;
  Duration warm_up{};  ///< Requests that arrive before this time are not in the report.
  uint64_t count = 0;  ///< Number of requests to send; if 0, `duration` is the limit.
  uint64_t seed = 1;
  std::string id_prefix = "load";
  Duration one_way_latency{};  ///< Simulated client latency; added twice to each reported latency.
  Duration deadline = 2s;
  Duration timeout = 5s;  ///< If no answer comes in this time, the outcome is unknown.
  size_t body_size = 64;  ///< Bytes added to the body of each POST request.
  std::vector<std::string> ledger_addresses;  ///< Control addresses of upstream stand-ins.
  bool include_series = true;                 ///< Adds the results of each second to the report.
};

/// One planned request.
struct LoadRequest {
  std::string id;
  Duration arrival{};  ///< Intended arrival time, measured from the start of the run.
  std::string method;
  std::string path;
  std::string workspace;
  std::string service;
  std::string key;  ///< Request key, or empty.
  std::string body;
};

/// Generates the random requests of a run. Equal settings give equal sequences.
class LoadPlan {
 public:
  explicit LoadPlan(const LoadSettings& settings) : settings_(settings), random_(settings.seed) {}
  /// Returns the next request. Arrival times never decrease.
  LoadRequest NextRequest();

 private:
  const std::string& PickWeighted(const WeightedNames& names);

  LoadSettings settings_;
  RandomEngine random_;
  Duration last_arrival_{};
  uint64_t requests_generated_ = 0;
};

/// Parses a list such as "a:2,b" into names with weights; the default weight is 1.
/// @throws std::runtime_error if the list is empty.
WeightedNames ParseWeightedNames(const std::string& text);
/// Splits a comma-separated list and drops empty parts.
std::vector<std::string> SplitList(const std::string& text);

}  // namespace jd
