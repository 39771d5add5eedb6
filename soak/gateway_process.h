#pragma once

#include <cstdint>
#include <string>

#include "standin/child_process.h"

namespace jd {

/// Identity and loopback ports of a gateway, written into its settings file.
struct GatewayConfig {
  std::string name;
  std::string zone;
  uint16_t callers_port = 0;
  uint16_t status_port = 0;
  uint16_t peer_port = 0;
  uint16_t store_port = 0;  ///< Port at which the gateway reaches the store.
};

/// A gateway that the soak runs as a child process. Each start uses the same settings file.
class GatewayProcess {
 public:
  /// Writes the settings file; the process is not started yet.
  /// @param program path of the jackdawdeck program.
  /// @param directory directory of the settings file and the log.
  GatewayProcess(const std::string& program, const std::string& directory, GatewayConfig config);

  /// Starts the process. @throws std::runtime_error if the program cannot be started.
  void Start() { process_.Start(command_); }
  ChildProcess& process() { return process_; }
  const GatewayConfig& config() const { return config_; }

 private:
  GatewayConfig config_;
  ChildProcess::Command command_;
  ChildProcess process_;
};

}  // namespace jd
