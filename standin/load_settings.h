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

/// What the load generator sends.
struct LoadSettings {
  std::vector<HostPort> targets;
  std::string platform;  ///< Address of the platform; its balancer list replaces `targets`.
  WeightedNames workspaces;
  WeightedNames services;
  double get_share = 0.7;  ///< Status reads; the rest are orders by POST.
  double key_share = 0;    ///< Share of the orders that carry a request key.
  std::string key_header = "x-request-key";
  double rate = 100;  ///< Mean arrivals per second.
  Duration duration = 10s;
  Duration warm_up{};  ///< Arrivals before this are sent but left out of the report.
  uint64_t count = 0;  ///< Stops after this many requests; 0: by duration alone.
  uint64_t seed = 1;
  std::string id_prefix = "load";
  Duration one_way_latency{};  ///< Added twice to each reported latency.
  Duration deadline = 2s;
  Duration timeout = 5s;  ///< Time after which an unanswered request is unknown.
  size_t body_size = 64;
  std::vector<std::string> ledgers;  ///< Control addresses of upstream stand-ins.
  bool series = true;
};

/// One request as planned.
struct LoadRequest {
  std::string id;
  Duration at{};  ///< Intended arrival since the start.
  std::string method;
  std::string path;
  std::string workspace;
  std::string service;
  std::string key;
  std::string body;
};

/// Draws the arrivals of a run; equal settings give equal plans.
class LoadPlan {
 public:
  explicit LoadPlan(const LoadSettings& settings) : settings_(settings), random_(settings.seed) {}
  /// Returns the next request, in order of arrival.
  LoadRequest Next();

 private:
  const std::string& Pick(const WeightedNames& names);

  LoadSettings settings_;
  RandomEngine random_;
  Duration at_{};
  uint64_t sent_ = 0;
};

/// Parses "a:2,b" into names with weights. Throws std::runtime_error if empty.
WeightedNames ParseWeightedNames(const std::string& text);
std::vector<std::string> SplitList(const std::string& text);

}  // namespace jd
