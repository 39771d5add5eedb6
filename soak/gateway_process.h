#pragma once

#include <cstdint>
#include <string>

#include "standin/child_process.h"

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
  GatewayProcess(const std::string& program, const std::string& directory, GatewayPlace place);

  /// Throws std::runtime_error if the program cannot be started.
  void Start() { process_.Start(command_); }
  ChildProcess& process() { return process_; }
  const GatewayPlace& place() const { return place_; }

 private:
  GatewayPlace place_;
  ChildProcess::Command command_;
  ChildProcess process_;
};

}  // namespace jd
