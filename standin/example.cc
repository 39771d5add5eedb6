#include "standin/example.h"

#include <toml++/toml.h>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <vector>

namespace jd {
namespace {

using nlohmann::json;

constexpr int kMaxGateways = 29;
// The key is published with the examples and therefore protects nothing; the example gateways
// listen on loopback only.
constexpr char kExampleKey[] = "example-key-for-loopback";

// A service of an example deployment.
struct ExampleService {
  std::string name;
  std::string profile;
  int endpoints = 0;
  double mean_ms = 0;  ///< Assumed; the users gave no service times.
};

// An example deployment, from which all its files are generated.
struct ExampleDeployment {
  std::vector<std::string> zones;
  std::vector<ExampleService> services;
  json workspaces;
  int slots = 0;
  int max_connections = 0;
  double probe_cost_ms = 0;
};

ExampleDeployment FindDeployment(const std::string& name) {
  if (name == "umurimo") {
    return {{"nyarugenge", "gasabo", "kicukiro"},
            {{"records", "standard", 30, 12}, {"intake", "keyed", 6, 12}},
            {{"umurimo", 3.0}, {"hosting", 1.0}},
            4,
            260,
            1};
  }
  if (name == "brillwerk") {
    return {{"munich", "nuremberg", "augsburg", "regensburg"},
            {{"fitting-bench", "standard", 21, 20}, {"lab-booking", "keyed", 8, 20}},
            {{"brillwerk", 3.0}, {"hosting", 1.0}},
            6,
            220,
            6};
  }
  throw std::runtime_error("unknown example: " + name + "; accepted: umurimo, brillwerk");
}

json BuildProfiles() {
  const json standard = {{"idempotent_methods", {"GET", "HEAD", "OPTIONS"}},
                         {"idempotent_paths", json::array()},
                         {"deadline_ms", 2000},
                         {"max_attempts", 3},
                         {"hedge", false},
                         {"hedge_after_ms", 50},
                         {"retry_budget", 0.1},
                         {"request_key_header", ""},
                         {"priority", "normal"},
                         {"max_queue", 256}};
  json keyed = standard;
  keyed["request_key_header"] = "x-request-key";
  return {{"standard", standard}, {"keyed", keyed}};
}

json BuildEndpoints(const ExampleDeployment& deployment,
                    const ExampleService& service,
                    const ExamplePorts& ports,
                    int first_index) {
  json endpoints = json::array();
  for (int i = 0; i < service.endpoints; ++i) {
    endpoints.push_back({{"id", service.name + "/" + std::to_string(i + 1)},
                         {"zone", deployment.zones[i % deployment.zones.size()]},
                         {"address", "127.0.0.1"},
                         {"port", ports.endpoint(first_index + i)},
                         {"slots", deployment.slots},
                         {"max_connections", deployment.max_connections}});
  }
  return endpoints;
}

json BuildConfiguration(const ExampleDeployment& deployment, const ExamplePorts& ports) {
  json out = {{"workspaces", deployment.workspaces}, {"profiles", BuildProfiles()}};
  json shares = json::array();
  for (const auto& [workspace, share] : deployment.workspaces.items()) {
    shares.push_back({{"workspace", workspace}, {"share", share}});
  }
  int first_index = 0;
  for (const ExampleService& service : deployment.services) {
    out["services"][service.name] = {
        {"profile", service.profile},
        {"endpoints", BuildEndpoints(deployment, service, ports, first_index)},
        {"shares", shares},
        {"probe_share", 0.005},
        {"probe_cost_ms", deployment.probe_cost_ms},
        {"connect_cost_ms", 1.0},
        {"health_path", "/health"}};
    first_index += service.endpoints;
  }
  for (const std::string& zone : deployment.zones) {
    out["zones"][zone] = {{"state", "in"}};
  }
  return out;
}

json BuildUpstreamSettings(const ExampleDeployment& deployment,
                           const json& configuration,
                           const ExamplePorts& ports) {
  json out = {{"control_port", ports.control()},
              {"seed", 1},
              {"defaults",
               {{"probe_cost_ms", deployment.probe_cost_ms},
                {"connect_cost_ms", 1.0},
                {"zone_delay_ms", 1.0},
                {"cold_slots", 1},
                {"cold_factor", 2.0},
                {"cold_bound", deployment.slots},
                {"warm_after", 20}}}};
  for (const ExampleService& service : deployment.services) {
    for (json endpoint : configuration["services"][service.name]["endpoints"]) {
      endpoint.erase("address");
      endpoint["service_time"] = {
          {"kind", "lognormal"}, {"mean_ms", service.mean_ms}, {"sigma", 0.5}};
      out["endpoints"].push_back(std::move(endpoint));
    }
  }
  return out;
}

std::string GatewayName(const std::string& name, int gateway) {
  return name + "-" + std::to_string(gateway + 1);
}

json BuildGatewaySettings(const std::string& name,
                          const ExampleDeployment& deployment,
                          const ExamplePorts& ports,
                          int gateway,
                          int gateways) {
  const auto zone = [&](int index) { return deployment.zones[index % deployment.zones.size()]; };
  json seeds = json::array();
  for (int other = 0; other < gateways; ++other) {
    if (other != gateway) {
      seeds.push_back({{"id", GatewayName(name, other)},
                       {"zone", zone(other)},
                       {"address", "127.0.0.1"},
                       {"port", ports.peers(other)}});
    }
  }
  return {{"gateway", {{"id", GatewayName(name, gateway)}, {"zone", zone(gateway)}}},
          {"callers", {{"address", "127.0.0.1"}, {"port", ports.callers(gateway)}}},
          {"status", {{"address", "127.0.0.1"}, {"port", ports.status(gateway)}}},
          {"peers",
           {{"address", "127.0.0.1"},
            {"port", ports.peers(gateway)},
            {"shared_key", kExampleKey},
            {"seeds", seeds}}}};
}

json MillisToMicros(const json& millis) {
  return static_cast<int64_t>(millis.get<double>() * 1000);
}

// Converts the configuration to the form it has in the settings file of a gateway without a
// platform: each kind of object is an array of tables with an id, and costs are in microseconds.
json ToSettingsTables(const json& configuration) {
  json out;
  for (const auto& [id, share] : configuration["workspaces"].items()) {
    out["workspaces"].push_back({{"id", id}, {"share", share}});
  }
  for (const char* kind : {"profiles", "services", "zones"}) {
    for (const auto& [id, object] : configuration[kind].items()) {
      json entry = object;
      entry["id"] = id;
      for (const char* cost : {"probe_cost", "connect_cost"}) {
        if (entry.contains(std::string(cost) + "_ms")) {
          entry[std::string(cost) + "_us"] = MillisToMicros(entry[std::string(cost) + "_ms"]);
          entry.erase(std::string(cost) + "_ms");
        }
      }
      out[kind].push_back(std::move(entry));
    }
  }
  return out;
}

template <typename Add>
void AddScalar(const json& value, const Add& add) {
  if (value.is_boolean()) {
    add(value.get<bool>());
  } else if (value.is_number_float()) {
    add(value.get<double>());
  } else if (value.is_number()) {
    add(value.get<int64_t>());
  } else {
    add(value.get<std::string>());
  }
}

toml::table ToTable(const json& object);

// Nested arrays are not handled, because settings have none.
toml::array ToArray(const json& list) {
  toml::array array;
  for (const json& element : list) {
    if (element.is_object()) {
      array.push_back(ToTable(element));
    } else {
      AddScalar(element, [&](const auto& scalar) { array.push_back(scalar); });
    }
  }
  return array;
}

toml::table ToTable(const json& object) {
  toml::table table;
  for (const auto& item : object.items()) {
    const std::string& key = item.key();
    if (item.value().is_object()) {
      table.insert(key, ToTable(item.value()));
    } else if (item.value().is_array()) {
      table.insert(key, ToArray(item.value()));
    } else {
      AddScalar(item.value(), [&](const auto& scalar) { table.insert(key, scalar); });
    }
  }
  return table;
}

std::string ToToml(const json& object) {
  std::ostringstream text;
  text << ToTable(object) << "\n";
  return text.str();
}

std::string BuildEnvironmentFile(const std::string& name, const ExamplePorts& ports, int gateways) {
  std::ostringstream text;
  text << "PLATFORM=127.0.0.1:" << ports.platform() << "\n"
       << "CONTROL=127.0.0.1:" << ports.control() << "\n"
       << "GATEWAYS=" << gateways << "\n";
  for (int i = 0; i < gateways; ++i) {
    text << "GATEWAY_" << i + 1 << "=" << GatewayName(name, i) << "\n"
         << "CALLERS_" << i + 1 << "=" << ports.callers(i) << "\n"
         << "STATUS_" << i + 1 << "=" << ports.status(i) << "\n";
  }
  return text.str();
}

json BuildVmList(const json& configuration,
                 const std::string& name,
                 const ExampleDeployment& deployment,
                 const ExamplePorts& ports,
                 int gateways) {
  json vms = json::array();
  for (int i = 0; i < gateways; ++i) {
    vms.push_back({{"name", GatewayName(name, i)},
                   {"role", "gateway"},
                   {"state", "live"},
                   {"zone", deployment.zones[i % deployment.zones.size()]},
                   {"address", "127.0.0.1"},
                   {"port", ports.peers(i)}});
  }
  for (const ExampleService& service : deployment.services) {
    for (const json& endpoint : configuration["services"][service.name]["endpoints"]) {
      vms.push_back({{"name", endpoint["id"]},
                     {"role", "upstream"},
                     {"state", "live"},
                     {"zone", endpoint["zone"]},
                     {"address", "127.0.0.1"},
                     {"port", endpoint["port"]}});
    }
  }
  return {{"vms", vms}};
}

}  // namespace

std::map<std::string, std::string> BuildExampleFiles(const std::string& name,
                                                     const ExamplePorts& ports,
                                                     int gateways) {
  if (gateways < 1 || gateways > kMaxGateways) {
    throw std::runtime_error("the number of gateways must be from 1 to " +
                             std::to_string(kMaxGateways));
  }
  const ExampleDeployment deployment = FindDeployment(name);
  const json configuration = BuildConfiguration(deployment, ports);
  std::map<std::string, std::string> files;
  files[name + ".configuration.json"] = configuration.dump(1) + "\n";
  files[name + ".upstream.json"] =
      BuildUpstreamSettings(deployment, configuration, ports).dump(1) + "\n";
  files[name + ".vms.json"] =
      BuildVmList(configuration, name, deployment, ports, gateways).dump(1) + "\n";
  files[name + ".env"] = BuildEnvironmentFile(name, ports, gateways);
  for (int i = 0; i < gateways; ++i) {
    const std::string number = std::to_string(i + 1);
    json settings = BuildGatewaySettings(name, deployment, ports, i, gateways);
    json standalone = settings;
    standalone.update(ToSettingsTables(configuration));
    files[name + ".alone-" + number + ".toml"] = ToToml(standalone);
    settings["platform"] = {{"address", "127.0.0.1"}, {"port", ports.platform()}};
    files[name + ".gateway-" + number + ".toml"] = ToToml(settings);
  }
  return files;
}

int WriteExample(const std::string& name,
                 const ExamplePorts& ports,
                 int gateways,
                 const std::string& directory) {
  for (const auto& [file, text] : BuildExampleFiles(name, ports, gateways)) {
    std::ofstream out(directory + "/" + file);
    out << text;
    if (!out) {
      throw std::runtime_error("cannot write " + directory + "/" + file);
    }
  }
  return 0;
}

}  // namespace jd
