#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>

#include "common/units.h"

namespace jd {

/// How a gateway of the soak is reached, and what it is told.
struct GatewayPlace {
  std::string name;
  std::string zone;
  uint16_t callers_port = 0;
  uint16_t status_port = 0;
  uint16_t peer_port = 0;
  uint16_t store_port = 0;
};

/// A gateway as a process of its own, started and ended by the soak.
class GatewayProcess {
 public:
  /// @param program path of the product.
  /// @param directory for its settings file and log.
  GatewayProcess(std::string program, const std::string& directory, GatewayPlace place);
  /// Kills the process if it still runs.
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  /// Throws std::runtime_error if the program cannot be started.
  void Start();
  void Signal(int signal) const;
  /// @return whether the process runs; collects it when it has ended.
  bool Running();
  /// Exit status as waitpid gives it, of the latest process that ended.
  int exit_status() const { return exit_status_; }
  const GatewayPlace& place() const { return place_; }

 private:
  std::string program_;
  std::string settings_;
  std::string log_;
  GatewayPlace place_;
  pid_t pid_ = -1;
  int exit_status_ = 0;
};

}  // namespace jd
