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

/// An IP address and a port; with port 0 the system chooses a free port.
struct ListenAddress {
  std::string address;
  uint16_t port = 0;
};

/// Limits on the requests, responses and connections of callers. Lengths are in bytes.
struct Limits {
  int64_t header_bytes = 0;
  int64_t body_bytes = 0;
  int64_t response_bytes = 0;
  double memory_mb = 0;
  double caller_memory_mb = 0;  ///< 0: a quarter of memory_mb.
  int64_t idle_connections = 0;
  Duration idle_timeout{0};
  Duration header_timeout{0};
  Duration body_timeout{0};
};

/// The settings of a gateway process, as read from its settings file. The default values are
/// defined in setting_table.cc; see AllSettings.
struct Settings {
  GatewayId id;
  ZoneId zone;
  std::string policy;
  std::string log_level;
  int64_t event_capacity = 0;
  Duration grace_period{0};
  Duration stop_limit{0};  ///< Time from SIGTERM until the platform kills the process; 0: never.
  int64_t random_seed = 0;
  ListenAddress callers;
  ListenAddress status;
  ListenAddress peers;
  std::string shared_key;
  /// Another key that peers and operators may use; empty if there is none.
  std::string accepted_key;
  Duration added_peer_delay{0};
  std::vector<PeerSeed> seeds;
  ListenAddress platform;  ///< The address is empty if there is no platform.
  /// Whether operators and upstreams write the configuration and the endpoints to the platform's
  /// store. If false, the gateways keep them in their own configuration log.
  bool uses_discovery = false;
  /// Whether all gateways of the deployment start for the first time.
  bool new_deployment = false;
  /// Largest share of a service's calls that all gateways together may retry or hedge in each
  /// window; 0: only the retry budget of each profile applies.
  double retry_share = 0;
  Duration retry_window{0};
  /// Largest number of probes per second that all gateways together send to an endpoint; 0: no
  /// limit.
  double probe_rate = 0;
  /// What a software version that is not proved yet may get.
  RolloutBounds rollout_bounds;
  Limits limits;
  /// The embedded configuration, at version 1, or null if there is a platform.
  ConfigurationPtr configuration;
};

/// Describes one setting for the documentation page.
struct SettingInfo {
  std::string key;            ///< Dotted path; "[]" marks an array of tables.
  std::string accepted;       ///< Type, range and unit.
  std::string default_value;  ///< Default in TOML, or empty if the setting is required.
  std::string description;    ///< What the setting means; ends with a full stop.
};

/// Returns every setting, in the order in which the documentation lists them.
std::vector<SettingInfo> AllSettings();

/// Reports all errors of a settings file, each as "FILE:LINE: ...".
class SettingsError : public std::runtime_error {
 public:
  explicit SettingsError(std::vector<std::string> errors);
  const std::vector<std::string>& errors() const { return errors_; }

 private:
  std::vector<std::string> errors_;
};

/// Parses and validates settings.
/// @param text contents of the file, in TOML. @param file name used in error messages.
/// @throws SettingsError if there is any error.
Settings ParseSettings(const std::string& text, const std::string& file);
/// Reads a settings file and parses it.
/// @throws SettingsError if the file cannot be read or has any error.
Settings LoadSettings(const std::string& file);

}  // namespace jd
