#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace jd {

/// Ports of an example deployment, from one base.
struct ExamplePorts {
  uint16_t base = 0;
  uint16_t platform() const { return base; }
  uint16_t control() const { return base + 1; }
  uint16_t callers(int gateway) const { return static_cast<uint16_t>(base + 10 + 3 * gateway); }
  uint16_t status(int gateway) const { return callers(gateway) + 1; }
  uint16_t peers(int gateway) const { return callers(gateway) + 2; }
  /// Ports of up to 29 gateways fit below the endpoints' ports.
  uint16_t endpoint(int index) const { return static_cast<uint16_t>(base + 100 + index); }
};

/// Returns the files of a deployment of section 1.2 of docs/design.md, by file name:
/// NAME.upstream.json for the upstream stand-in, NAME.configuration.json with what operators
/// decide, NAME.vms.json, NAME.gateway-N.toml for each gateway at the platform,
/// NAME.alone-N.toml for each gateway without a platform, and NAME.env with the ports.
/// @param name "umurimo" or "brillwerk"; throws std::runtime_error on other names.
std::map<std::string, std::string> ExampleFiles(const std::string& name,
                                                const ExamplePorts& ports,
                                                int gateways);

/// Writes the files into a directory that exists. Throws std::runtime_error.
int WriteExample(const std::string& name,
                 const ExamplePorts& ports,
                 int gateways,
                 const std::string& directory);

}  // namespace jd
