#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace jd {

/// The loopback ports of an example deployment, counted up from one base port. Gateways and
/// endpoints are numbered from 0.
struct ExamplePorts {
  uint16_t base = 0;
  uint16_t platform() const { return base; }
  uint16_t control() const { return base + 1; }
  uint16_t callers(int gateway) const { return static_cast<uint16_t>(base + 10 + 3 * gateway); }
  uint16_t status(int gateway) const { return callers(gateway) + 1; }
  uint16_t peers(int gateway) const { return callers(gateway) + 2; }
  /// Endpoint ports start at base + 100, which leaves room for the ports of 29 gateways.
  uint16_t endpoint(int index) const { return static_cast<uint16_t>(base + 100 + index); }
};

/// Returns the files of an example deployment, which is described in section 1.2 of
/// docs/design.md. The key of each entry is the file name, the value is the content:
/// - NAME.upstream.json: settings of the upstream stand-in
/// - NAME.configuration.json: the configuration that operators maintain
/// - NAME.vms.json: the VM list of the platform
/// - NAME.gateway-N.toml: settings of each gateway, for use with the platform
/// - NAME.alone-N.toml: settings of each gateway, for use without a platform
/// - NAME.env: ports and gateway names as shell variables
/// @param name "umurimo" or "brillwerk".
/// @throws std::runtime_error if the name is unknown or `gateways` is not from 1 to 29.
std::map<std::string, std::string> BuildExampleFiles(const std::string& name,
                                                     const ExamplePorts& ports,
                                                     int gateways);

/// Writes the files of an example deployment into an existing directory.
/// @return 0. @throws std::runtime_error as above, or if a file cannot be written.
int WriteExample(const std::string& name,
                 const ExamplePorts& ports,
                 int gateways,
                 const std::string& directory);

}  // namespace jd
