#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/random.h"
#include "common/units.h"

namespace jd {

enum class ServiceTimeKind : uint8_t { kConstant, kExponential, kLognormal, kBimodal };

/// Distribution of the time that one request occupies a slot of a warm endpoint.
struct ServiceTime {
  ServiceTimeKind kind = ServiceTimeKind::kExponential;
  Duration mean = 10ms;
  double sigma = 0.5;       ///< Lognormal: deviation of the logarithm.
  Duration slow = 100ms;    ///< Bimodal: the longer of the two values; `mean` is the shorter.
  double slow_share = 0.1;  ///< Bimodal: share of requests that take `slow`.

  Duration Sample(RandomEngine& random) const;
};

/// One endpoint of the upstream stand-in.
struct UpstreamEndpoint {
  std::string id;
  std::string zone;
  uint16_t port = 0;
  int32_t slots = 4;
  int32_t max_connections = 1000;
  int32_t queue_limit = 1000;  ///< Requests that wait beyond the slots.
  ServiceTime service_time;
  Duration connect_cost = 1ms;  ///< Added to the first request of a connection.
  Duration probe_cost = 1ms;
  Duration zone_delay{};  ///< Added between the end of the work and its answer.
  bool shed = false;      ///< Refuses beyond the slots instead of queueing.
  bool cold = false;      ///< State at the start.
  int32_t cold_slots = 1;
  double cold_factor = 4.0;
  int32_t cold_bound = 4;  ///< More calls in flight while cold make the endpoint collapse.
  Duration collapse_time = 2s;
  int32_t warm_after = 20;    ///< Requests served until warm.
  Duration report_lag{};      ///< Age of the in-flight count in reports.
  int32_t report_fixed = -1;  ///< Misleading count to report; negative reports the real one.
  int32_t padding = 0;        ///< Extra bytes in each answer.
};

struct UpstreamSettings {
  uint16_t control_port = 0;
  uint64_t seed = 1;
  std::string crash_marker = "crash-upstream";  ///< A request body that contains it crashes.
  std::vector<UpstreamEndpoint> endpoints;
};

/// Reads settings; "defaults" holds fields for every endpoint. Throws on malformed fields.
UpstreamSettings ParseUpstreamSettings(const nlohmann::json& json);

/// Reads a JSON or TOML file, by its extension. Throws std::runtime_error.
nlohmann::json ReadStandinFile(const std::string& path);

}  // namespace jd
