#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/random.h"
#include "common/units.h"

namespace jd {

enum class ServiceTimeKind : uint8_t { kConstant, kExponential, kLognormal, kBimodal };

/// Distribution of the service time: how long one request occupies a slot of a warm endpoint.
struct ServiceTime {
  ServiceTimeKind kind = ServiceTimeKind::kExponential;
  Duration mean = 10ms;     ///< The mean; bimodal: the shorter of the two values.
  double sigma = 0.5;       ///< Lognormal: standard deviation of the logarithm.
  Duration slow = 100ms;    ///< Bimodal: the longer of the two values.
  double slow_share = 0.1;  ///< Bimodal: share of requests that take `slow`.

  /// Returns a random service time.
  Duration Sample(RandomEngine& random) const;
};

/// Settings of one endpoint of the upstream stand-in.
struct EndpointSettings {
  std::string id;
  std::string zone;
  uint16_t port = 0;
  int32_t slots = 4;
  int32_t max_connections = 1000;
  int32_t queue_limit = 1000;  ///< Maximum number of requests that wait for a slot.
  ServiceTime service_time;
  Duration connect_cost = 1ms;  ///< Added to the service time of the first request of a connection.
  Duration probe_cost = 1ms;    ///< How long a probe occupies a slot.
  Duration zone_delay{};        ///< Added between the end of a request and its answer.
  bool shed = false;         ///< Refuses requests when all slots are busy instead of queueing them.
  bool cold = false;         ///< Whether the endpoint starts cold.
  int32_t cold_slots = 1;    ///< Usable slots while cold.
  double cold_factor = 4.0;  ///< Multiplies service times and probe cost while cold.
  int32_t cold_bound = 4;    ///< A cold endpoint with more calls in flight than this collapses.
  Duration collapse_time = 2s;  ///< How long a collapsed endpoint starts no requests.
  int32_t warm_after = 20;      ///< Completed calls after which a cold endpoint is warm.
  Duration report_lag{};        ///< Age of the in-flight count in reports.
  int32_t report_fixed = -1;    ///< Wrong count to report; if negative, the real count is reported.
  int32_t padding = 0;          ///< Extra bytes in each answer.
};

/// Settings of the upstream stand-in.
struct UpstreamSettings {
  uint16_t control_port = 0;
  uint64_t seed = 1;
  std::string crash_marker = "crash-upstream";  ///< A request whose body contains this text
                                                ///< crashes its endpoint; if empty, none does.
  std::vector<EndpointSettings> endpoints;
};

/// Parses the settings. The object "defaults" holds fields that apply to every endpoint.
/// @throws nlohmann::json::exception or std::runtime_error on a missing or malformed field.
UpstreamSettings ParseUpstreamSettings(const nlohmann::json& json);

/// Reads a TOML file if the path ends with ".toml", else a JSON file.
/// @throws std::exception if the file cannot be read or parsed.
nlohmann::json ReadStandinFile(const std::string& path);

}  // namespace jd
