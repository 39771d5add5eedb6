#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "cluster/node_settings.h"
#include "common/configuration.h"
#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// An IP number and a port; port 0 lets the system choose one.
struct ListenAddress {
  std::string address;
  uint16_t port = 0;
};

/// What one caller may take up.
struct Limits {
  int64_t header_bytes = 0;
  int64_t body_bytes = 0;
  int64_t response_bytes = 0;
  int64_t idle_connections = 0;
  Duration idle_timeout{0};
  Duration header_timeout{0};
  Duration body_timeout{0};
};

/// Everything that a gateway process reads from its settings file. Defaults are in the table of
/// settings, see AllSettings.
struct Settings {
  GatewayId id;
  ZoneId zone;
  std::string policy;
  std::string log_level;
  int64_t event_ring = 0;
  Duration grace{0};
  int64_t seed = 0;
  ListenAddress callers;
  ListenAddress status;
  ListenAddress peers;
  std::string shared_key;
  Duration peer_delay{0};
  std::vector<PeerSeed> seeds;
  ListenAddress platform;  ///< An empty address: there is no platform.
  /// Operators and upstreams write configuration and endpoints to the platform's store; without it
  /// they are in the gateways' own configuration log.
  bool discovery = false;
  /// All gateways together send at most this share of the calls of a service again in each window;
  /// 0: each profile's own budget alone holds.
  double retry_share = 0;
  Duration retry_window{0};
  /// Health pages that all gateways together ask an endpoint for, a second; 0: no bound.
  double probe_rate = 0;
  Limits limits;
  /// The embedded configuration, at version 1, or null if there is a platform.
  ConfigurationPtr configuration;
};

/// One setting, for the page that documents them.
struct SettingInfo {
  std::string key;       ///< Dotted; "[]" marks an array of tables.
  std::string accepted;  ///< Type, unit and range.
  std::string fallback;  ///< Default in TOML, or empty if the setting is required.
  std::string sentence;
};

/// Returns every setting in the order of the file.
std::vector<SettingInfo> AllSettings();

/// Thrown with all faults of a settings file, one "FILE:LINE: ..." each.
class SettingsError : public std::runtime_error {
 public:
  explicit SettingsError(std::vector<std::string> faults);
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  std::vector<std::string> faults_;
};

/// Reads and checks settings.
/// @param file name used in messages. @throws SettingsError
Settings ParseSettings(const std::string& text, const std::string& file);
/// @throws SettingsError also if the file cannot be read.
Settings LoadSettings(const std::string& file);

}  // namespace jd
