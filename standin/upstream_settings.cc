#include "standin/upstream_settings.h"

#include <toml++/toml.h>
#include <cmath>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace jd {
namespace {

using nlohmann::json;

Duration ParseMillis(const json& object, const char* name, Duration default_value) {
  if (!object.contains(name)) {
    return default_value;
  }
  return Duration(static_cast<int64_t>(object.at(name).get<double>() * 1000));
}

ServiceTimeKind ParseKind(const std::string& name) {
  if (name == "constant") {
    return ServiceTimeKind::kConstant;
  }
  if (name == "exponential") {
    return ServiceTimeKind::kExponential;
  }
  if (name == "lognormal") {
    return ServiceTimeKind::kLognormal;
  }
  if (name == "bimodal") {
    return ServiceTimeKind::kBimodal;
  }
  throw std::runtime_error("unknown service time distribution: " + name);
}

ServiceTime ParseServiceTime(const json& object) {
  ServiceTime time;
  time.kind = ParseKind(object.value("kind", "exponential"));
  time.mean = ParseMillis(object, "mean_ms", time.mean);
  time.sigma = object.value("sigma", time.sigma);
  time.slow = ParseMillis(object, "slow_ms", time.slow);
  time.slow_share = object.value("slow_share", time.slow_share);
  return time;
}

EndpointSettings ParseEndpoint(const json& object) {
  EndpointSettings endpoint;
  endpoint.id = object.at("id");
  endpoint.zone = object.value("zone", "");
  endpoint.port = object.at("port");
  endpoint.slots = object.value("slots", endpoint.slots);
  endpoint.max_connections = object.value("max_connections", endpoint.max_connections);
  endpoint.queue_limit = object.value("queue_limit", endpoint.queue_limit);
  endpoint.service_time = ParseServiceTime(object.value("service_time", json::object()));
  endpoint.connect_cost = ParseMillis(object, "connect_cost_ms", endpoint.connect_cost);
  endpoint.probe_cost = ParseMillis(object, "probe_cost_ms", endpoint.probe_cost);
  endpoint.zone_delay = ParseMillis(object, "zone_delay_ms", endpoint.zone_delay);
  endpoint.shed = object.value("shed", endpoint.shed);
  endpoint.cold = object.value("cold", endpoint.cold);
  endpoint.cold_slots = object.value("cold_slots", endpoint.cold_slots);
  endpoint.cold_factor = object.value("cold_factor", endpoint.cold_factor);
  endpoint.cold_bound = object.value("cold_bound", endpoint.cold_bound);
  endpoint.collapse_time = ParseMillis(object, "collapse_ms", endpoint.collapse_time);
  endpoint.warm_after = object.value("warm_after", endpoint.warm_after);
  endpoint.report_lag = ParseMillis(object, "report_lag_ms", endpoint.report_lag);
  endpoint.report_fixed = object.value("report_fixed", endpoint.report_fixed);
  endpoint.padding = object.value("padding", endpoint.padding);
  return endpoint;
}

}  // namespace

Duration ServiceTime::Sample(RandomEngine& random) const {
  switch (kind) {
    case ServiceTimeKind::kConstant:
      return mean;
    case ServiceTimeKind::kExponential:
      return Scale(mean, std::exponential_distribution<double>(1.0)(random));
    case ServiceTimeKind::kLognormal:
      // With the location parameter -sigma^2/2, the factor has a mean of 1.
      return Scale(mean, std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(random));
    case ServiceTimeKind::kBimodal:
      return std::bernoulli_distribution(slow_share)(random) ? slow : mean;
  }
  return mean;
}

UpstreamSettings ParseUpstreamSettings(const json& object) {
  UpstreamSettings settings;
  settings.control_port = object.at("control_port");
  settings.seed = object.value("seed", settings.seed);
  settings.crash_marker = object.value("crash_marker", settings.crash_marker);
  for (const json& endpoint : object.at("endpoints")) {
    json merged = object.value("defaults", json::object());
    merged.update(endpoint);
    settings.endpoints.push_back(ParseEndpoint(merged));
  }
  return settings;
}

json ReadStandinFile(const std::string& path) {
  if (path.ends_with(".toml")) {
    std::ostringstream text;
    text << toml::json_formatter{toml::parse_file(path)};
    return json::parse(text.str());
  }
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  return json::parse(file);
}

}  // namespace jd
